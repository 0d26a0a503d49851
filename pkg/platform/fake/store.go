// Package fake is an object store in memory with switches for the faults that
// the platform can show. It backs the stand-in server and serves tests directly;
// it opens no sockets and runs no goroutines, so it can live in a synctest
// bubble.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// maxLogChanges is the number of changes that a watch can start from at least;
// older ones are compacted now and then.
const maxLogChanges = 4096

// Store is a platform.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[platform.Key]platform.Object
	// log holds the changes after the revision compacted, oldest first.
	log       []logged
	compacted uint64
	// changed is closed and replaced whenever a watch has something to look at.
	changed chan struct{}
	// session changes when running watches are dropped.
	session  uint64
	faults   faults
	deferred []func()
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    Calls
}

type logged struct {
	revision uint64
	change   platform.Change
}

// Calls counts the calls that the store was asked for, refused ones included. A
// waiting watch counts as one.
type Calls struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	// Refused counts the calls among them that were refused as down or over the rate.
	Refused uint64 `json:"refused"`
}

// Total returns the number of calls of every kind.
func (c Calls) Total() uint64 { return c.Get + c.List + c.Put + c.Delete + c.Watch }

// New returns an empty store without faults or rate limits.
func New() *Store {
	return &Store{
		objects: make(map[platform.Key]platform.Object),
		changed: make(chan struct{}),
		reads:   newLimiter(0),
		writes:  newLimiter(0),
	}
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.admit(ctx, &s.calls.Get); err != nil {
		return platform.Object{}, fmt.Errorf("get %s/%s: %w", key.Collection, key.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, fmt.Errorf("get %s/%s: %w", key.Collection, key.Name, platform.ErrNotFound)
	}
	return o, nil
}

// List reads a collection, sorted by name, and the revision to watch from.
func (s *Store) List(ctx context.Context, c platform.Collection) ([]platform.Object, platform.Revision, error) {
	if err := s.admit(ctx, &s.calls.List); err != nil {
		return nil, "", fmt.Errorf("list %s: %w", c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []platform.Object
	for key, o := range s.objects {
		if key.Collection == c {
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key.Name < objects[j].Key.Name })
	return objects, formatRevision(s.revision), nil
}

// Put writes value if the object still has revision ifRevision.
func (s *Store) Put(ctx context.Context, key platform.Key, value json.RawMessage, ifRevision platform.Revision) (platform.Revision, error) {
	var next platform.Revision
	err := s.write(ctx, &s.calls.Put, func() error {
		if len(value) > platform.MaxValueBytes {
			return fmt.Errorf("%d bytes: %w", len(value), platform.ErrTooLarge)
		}
		if !json.Valid(value) {
			return fmt.Errorf("value is not JSON")
		}
		if err := s.checkRevision(key, ifRevision); err != nil {
			return err
		}
		s.revision++
		next = formatRevision(s.revision)
		o := platform.Object{Key: key, Revision: next, Value: append(json.RawMessage(nil), value...)}
		s.objects[key] = o
		s.record(platform.Change{Type: platform.ChangePut, Object: o})
		return nil
	})
	if err != nil {
		return "", fmt.Errorf("put %s/%s: %w", key.Collection, key.Name, err)
	}
	return next, nil
}

// Delete removes the object if it still has revision ifRevision.
func (s *Store) Delete(ctx context.Context, key platform.Key, ifRevision platform.Revision) error {
	err := s.write(ctx, &s.calls.Delete, func() error {
		o, ok := s.objects[key]
		if !ok {
			return platform.ErrNotFound
		}
		if err := s.checkRevision(key, ifRevision); err != nil {
			return err
		}
		s.revision++
		delete(s.objects, key)
		o.Revision = formatRevision(s.revision)
		s.record(platform.Change{Type: platform.ChangeDelete, Object: o})
		return nil
	})
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", key.Collection, key.Name, err)
	}
	return nil
}

// write runs effect under the lock and applies the write faults to its answer.
func (s *Store) write(ctx context.Context, count *uint64, effect func() error) error {
	if err := s.admitWrite(ctx, count); err != nil {
		return err
	}
	late := s.delay(ctx) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.deferWrites > 0 {
		s.faults.deferWrites--
		s.deferred = append(s.deferred, func() { _ = effect() })
		return platform.ErrUnknownOutcome
	}
	err := effect()
	if late {
		return platform.ErrUnknownOutcome
	}
	if err == nil && s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		return platform.ErrUnknownOutcome
	}
	return err
}

// checkRevision must be called with the lock held.
func (s *Store) checkRevision(key platform.Key, want platform.Revision) error {
	got := s.objects[key].Revision
	if got != want {
		return fmt.Errorf("revision is %q, not %q: %w", got, want, platform.ErrConflict)
	}
	return nil
}

// record appends to the log and wakes the watches. The lock must be held.
func (s *Store) record(c platform.Change) {
	s.log = append(s.log, logged{revision: s.revision, change: c})
	if len(s.log) > 2*maxLogChanges {
		over := len(s.log) - maxLogChanges
		s.compacted = s.log[over-1].revision
		s.log = append([]logged(nil), s.log[over:]...)
	}
	s.wake()
}

// wake must be called with the lock held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a read and refuses it when the store is down or over its rate.
func (s *Store) admit(ctx context.Context, count *uint64) error {
	if err := s.check(count, &s.reads); err != nil {
		return err
	}
	return s.delay(ctx)
}

// admitWrite is admit without the delay, which a write takes with its effect.
func (s *Store) admitWrite(ctx context.Context, count *uint64) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
	return s.check(count, &s.writes)
}

// check takes the limiter by address because SetRates replaces it.
func (s *Store) check(count *uint64, l **rate.Limiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	if s.faults.down {
		s.calls.Refused++
		return platform.ErrUnavailable
	}
	if !(*l).Allow() {
		s.calls.Refused++
		return platform.ErrRateLimited
	}
	return nil
}

// delay waits for the configured delay; it returns an error if ctx ends first.
func (s *Store) delay(ctx context.Context) error {
	s.mu.Lock()
	d := s.faults.delay
	s.mu.Unlock()
	if d <= 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
}

func formatRevision(r uint64) platform.Revision {
	return platform.Revision(strconv.FormatUint(r, 10))
}

func parseRevision(r platform.Revision) (uint64, error) {
	n, err := strconv.ParseUint(string(r), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("revision %q is not a number", r)
	}
	return n, nil
}

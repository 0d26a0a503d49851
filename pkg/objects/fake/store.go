// Package fake is an object store in memory with switches for the faults that
// the platform can show. It opens no sockets and runs no goroutines, so it can
// live in a synctest bubble.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Store is an objects.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[objects.Key]objects.Object
	inForce  objects.InForce
	faults   faults
	deferred []func()
	writes   int
}

// New returns an empty store without faults.
func New() *Store { return &Store{objects: make(map[objects.Key]objects.Object)} }

// Writes counts the writes that the store was asked for.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, key objects.Key) (objects.Object, error) {
	if err := s.read(ctx); err != nil {
		return objects.Object{}, fmt.Errorf("get %s/%s: %w", key.Collection, key.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return objects.Object{}, fmt.Errorf("get %s/%s: %w", key.Collection, key.Name, objects.ErrNotFound)
	}
	return o, nil
}

// List reads a collection, sorted by name.
func (s *Store) List(ctx context.Context, c objects.Collection) ([]objects.Object, error) {
	if err := s.read(ctx); err != nil {
		return nil, fmt.Errorf("list %s: %w", c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []objects.Object
	for key, o := range s.objects {
		if key.Collection == c {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key.Name < list[j].Key.Name })
	return list, nil
}

// Put writes value if the object still has revision ifRevision.
func (s *Store) Put(ctx context.Context, key objects.Key, value json.RawMessage, ifRevision objects.Revision) (objects.Revision, error) {
	var next objects.Revision
	err := s.write(ctx, func() error {
		if len(value) > objects.MaxValueBytes {
			return fmt.Errorf("%d bytes: %w", len(value), objects.ErrTooLarge)
		}
		if !json.Valid(value) {
			return fmt.Errorf("value is not JSON: %w", objects.ErrMalformed)
		}
		if err := compare(s.objects[key].Revision, ifRevision); err != nil {
			return err
		}
		next = s.step()
		s.objects[key] = objects.Object{Key: key, Revision: next, Value: append(json.RawMessage(nil), value...)}
		return nil
	})
	if err != nil {
		return "", fmt.Errorf("put %s/%s: %w", key.Collection, key.Name, err)
	}
	return next, nil
}

// Delete removes the object if it still has revision ifRevision.
func (s *Store) Delete(ctx context.Context, key objects.Key, ifRevision objects.Revision) error {
	err := s.write(ctx, func() error {
		o, ok := s.objects[key]
		if !ok {
			return objects.ErrNotFound
		}
		if err := compare(o.Revision, ifRevision); err != nil {
			return err
		}
		s.step()
		delete(s.objects, key)
		return nil
	})
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", key.Collection, key.Name, err)
	}
	return nil
}

// InForce reads what is in force.
func (s *Store) InForce(ctx context.Context) (objects.InForce, error) {
	if err := s.read(ctx); err != nil {
		return objects.InForce{}, fmt.Errorf("get what is in force: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce, nil
}

// Accept puts a configuration in force.
func (s *Store) Accept(ctx context.Context, next objects.InForce) (objects.Revision, error) {
	var revision objects.Revision
	err := s.write(ctx, func() error {
		if err := compare(s.inForce.Revision, next.Revision); err != nil {
			return err
		}
		revision = s.step()
		s.inForce = next
		s.inForce.Revision = revision
		return nil
	})
	if err != nil {
		return "", fmt.Errorf("accept version %d: %w", next.Config.Version, err)
	}
	return revision, nil
}

// step returns the next revision. The lock must be held.
func (s *Store) step() objects.Revision {
	s.revision++
	return objects.Revision(strconv.FormatUint(s.revision, 10))
}

func compare(got, want objects.Revision) error {
	if got != want {
		return fmt.Errorf("revision is %q, not %q: %w", got, want, objects.ErrConflict)
	}
	return nil
}

// write runs effect under the lock and applies the write faults to its answer.
func (s *Store) write(ctx context.Context, effect func() error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", objects.ErrUnavailable, ctx.Err())
	}
	s.mu.Lock()
	s.writes++
	down := s.faults.down
	s.mu.Unlock()
	if down {
		return objects.ErrUnavailable
	}
	isLate := s.delay(ctx) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.deferWrites > 0 {
		s.faults.deferWrites--
		s.deferred = append(s.deferred, func() { _ = effect() })
		return objects.ErrUnknownOutcome
	}
	err := effect()
	if isLate {
		return objects.ErrUnknownOutcome
	}
	if err == nil && s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		return objects.ErrUnknownOutcome
	}
	return err
}

// read refuses a read while the store is down.
func (s *Store) read(ctx context.Context) error {
	s.mu.Lock()
	down := s.faults.down
	s.mu.Unlock()
	if down {
		return objects.ErrUnavailable
	}
	return s.delay(ctx)
}

// delay waits for the configured delay; it returns an error if ctx ends first.
func (s *Store) delay(ctx context.Context) error {
	s.mu.Lock()
	d := s.faults.delay
	s.mu.Unlock()
	if d <= 0 && ctx.Err() == nil {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		if ctx.Err() == nil {
			return nil
		}
	case <-ctx.Done():
	}
	return fmt.Errorf("%w: %w", objects.ErrUnavailable, ctx.Err())
}

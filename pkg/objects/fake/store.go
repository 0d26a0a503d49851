// Package fake is an in-memory object store that simulates the faults of the platform's
// store: unavailability, delay, lost responses and late writes. It opens no sockets and
// starts no goroutines, so tests can use it inside a synctest bubble.
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

// Store is an in-memory objects.Store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// revision is the number of the last revision; all objects share one counter.
	revision uint64
	objects  map[objects.Key]objects.Object
	inForce  objects.InForce
	faults   faults
	// deferred holds the writes that ApplyDeferredWrites applies, oldest first.
	deferred []func()
	writes   int
}

// New returns an empty store without faults.
func New() *Store { return &Store{objects: make(map[objects.Key]objects.Object)} }

// WriteCount returns the number of write calls, whether or not they took effect.
func (s *Store) WriteCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, key objects.Key) (objects.Object, error) {
	if err := s.simulateReadFaults(ctx); err != nil {
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
	if err := s.simulateReadFaults(ctx); err != nil {
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
	err := s.applyWrite(ctx, func() error {
		if len(value) > objects.MaxValueBytes {
			return fmt.Errorf("value has %d bytes: %w", len(value), objects.ErrTooLarge)
		}
		if !json.Valid(value) {
			return fmt.Errorf("value is not valid JSON: %w", objects.ErrMalformed)
		}
		if err := checkRevision(s.objects[key].Revision, ifRevision); err != nil {
			return err
		}
		next = s.nextRevision()
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
	err := s.applyWrite(ctx, func() error {
		o, ok := s.objects[key]
		if !ok {
			return objects.ErrNotFound
		}
		if err := checkRevision(o.Revision, ifRevision); err != nil {
			return err
		}
		s.nextRevision()
		delete(s.objects, key)
		return nil
	})
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", key.Collection, key.Name, err)
	}
	return nil
}

// InForce reads the configuration in force with its record.
func (s *Store) InForce(ctx context.Context) (objects.InForce, error) {
	if err := s.simulateReadFaults(ctx); err != nil {
		return objects.InForce{}, fmt.Errorf("get configuration in force: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce, nil
}

// Accept puts the configuration of next in force if the stored object still has the
// revision of next.
func (s *Store) Accept(ctx context.Context, next objects.InForce) (objects.Revision, error) {
	var revision objects.Revision
	err := s.applyWrite(ctx, func() error {
		if err := checkRevision(s.inForce.Revision, next.Revision); err != nil {
			return err
		}
		revision = s.nextRevision()
		s.inForce = next
		s.inForce.Revision = revision
		return nil
	})
	if err != nil {
		return "", fmt.Errorf("accept version %d: %w", next.Config.Version, err)
	}
	return revision, nil
}

// nextRevision advances the revision counter and returns the new revision. The lock
// must be held.
func (s *Store) nextRevision() objects.Revision {
	s.revision++
	return objects.Revision(strconv.FormatUint(s.revision, 10))
}

// checkRevision returns objects.ErrConflict if the revision of an object is not the one
// that a write expects.
func checkRevision(got, want objects.Revision) error {
	if got != want {
		return fmt.Errorf("revision is %q, expected %q: %w", got, want, objects.ErrConflict)
	}
	return nil
}

// applyWrite runs apply under the lock and simulates the faults that are set: it may fail
// before apply runs, defer apply, or hide its result behind an unknown outcome.
func (s *Store) applyWrite(ctx context.Context, apply func() error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", objects.ErrUnavailable, ctx.Err())
	}
	s.mu.Lock()
	s.writes++
	unavailable := s.faults.unavailable
	s.mu.Unlock()
	if unavailable {
		return objects.ErrUnavailable
	}
	timedOut := s.waitDelay(ctx) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.writesToDefer > 0 {
		s.faults.writesToDefer--
		s.deferred = append(s.deferred, func() { _ = apply() })
		return objects.ErrUnknownOutcome
	}
	err := apply()
	if timedOut {
		return objects.ErrUnknownOutcome
	}
	if err == nil && s.faults.lostResponses > 0 {
		s.faults.lostResponses--
		return objects.ErrUnknownOutcome
	}
	return err
}

// simulateReadFaults waits for the configured delay. It returns objects.ErrUnavailable
// if the store is set to be unavailable or if ctx ends first.
func (s *Store) simulateReadFaults(ctx context.Context) error {
	s.mu.Lock()
	unavailable := s.faults.unavailable
	s.mu.Unlock()
	if unavailable {
		return objects.ErrUnavailable
	}
	return s.waitDelay(ctx)
}

// waitDelay waits for the configured delay. It returns objects.ErrUnavailable if ctx ends
// first.
func (s *Store) waitDelay(ctx context.Context) error {
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

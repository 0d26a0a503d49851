package fake

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// watch reads the store's log from a position on.
type watch struct {
	store      *Store
	collection platform.Collection
	position   uint64
	session    uint64
	closed     atomic.Bool
	done       chan struct{}
}

// Watch reports changes of a collection after the given revision. Unlike other
// stores, the watch goes on after a Next whose context ended.
func (s *Store) Watch(ctx context.Context, c platform.Collection, from platform.Revision) (platform.Watch, error) {
	if err := s.admit(ctx, &s.calls.Watch); err != nil {
		return nil, fmt.Errorf("watch %s: %w", c, err)
	}
	position, err := parseRevision(from)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", c, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if position < s.compacted {
		return nil, fmt.Errorf("watch %s from %d, oldest is %d: %w", c, position, s.compacted, platform.ErrCompacted)
	}
	return &watch{store: s, collection: c, position: position, session: s.session, done: make(chan struct{})}, nil
}

// Next waits for the next change.
func (w *watch) Next(ctx context.Context) (platform.Change, error) {
	for {
		change, ok, wait, err := w.poll()
		if err != nil {
			return platform.Change{}, fmt.Errorf("watch %s: %w", w.collection, err)
		}
		if ok {
			return change, nil
		}
		select {
		case <-wait:
		case <-w.done:
		case <-ctx.Done():
			return platform.Change{}, fmt.Errorf("watch %s: %w", w.collection, ctx.Err())
		}
	}
}

// Revision returns the revision up to which the watch has reported everything.
func (w *watch) Revision() platform.Revision {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return formatRevision(w.position)
}

// Close releases the watch; a waiting Next returns.
func (w *watch) Close() error {
	if w.closed.CompareAndSwap(false, true) {
		close(w.done)
	}
	return nil
}

// poll returns the next change of the collection, or a channel that is closed
// when it is worth looking again.
func (w *watch) poll() (change platform.Change, ok bool, wait <-chan struct{}, err error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.closed.Load() {
		return change, false, nil, fmt.Errorf("closed: %w", platform.ErrUnavailable)
	}
	if w.session != s.session {
		return change, false, nil, fmt.Errorf("dropped: %w", platform.ErrUnavailable)
	}
	if w.position < s.compacted {
		return change, false, nil, platform.ErrCompacted
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > w.position })
	for _, l := range s.log[first:] {
		w.position = l.revision
		if l.change.Object.Key.Collection == w.collection {
			return l.change, true, nil, nil
		}
	}
	return change, false, s.changed, nil
}

package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// batch collects entries for a short time and hands them on together. Of two
// entries of one member the later one is kept.
type batch struct {
	mu      sync.Mutex
	entries map[model.NodeID]membership.Entry
	order   []model.NodeID
	signal  chan struct{}
	flush   func([]membership.Entry)
}

func newBatch(flush func([]membership.Entry)) *batch {
	return &batch{
		entries: make(map[model.NodeID]membership.Entry),
		signal:  make(chan struct{}, 1),
		flush:   flush,
	}
}

func (b *batch) add(entries []membership.Entry) {
	b.mu.Lock()
	for _, e := range entries {
		id := e.Record.ID
		if _, ok := b.entries[id]; !ok {
			b.order = append(b.order, id)
		}
		b.entries[id] = e
	}
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// run flushes until ctx is done.
func (b *batch) run(ctx context.Context) {
	for {
		select {
		case <-b.signal:
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(batchDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		for entries := b.take(); len(entries) > 0; entries = b.take() {
			b.flush(entries)
		}
	}
}

// take returns up to updateEntries entries in the order in which they came.
func (b *batch) take() []membership.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.order), updateEntries)
	entries := make([]membership.Entry, n)
	for i, id := range b.order[:n] {
		entries[i] = b.entries[id]
		delete(b.entries, id)
	}
	b.order = b.order[n:]
	return entries
}

// recent remembers which updates and entries passed through this node, in two
// generations of bounded size.
type recent struct {
	young, old map[recentKey]struct{}
}

// recentKey identifies an update by its root and sequence number, or an entry
// by its member, stamp and status.
type recentKey struct {
	id     model.NodeID
	a, b   uint64
	status membership.Status
}

const maxRecent = 4096

func newRecent() *recent {
	return &recent{young: make(map[recentKey]struct{}), old: make(map[recentKey]struct{})}
}

// seen reports whether k was seen before, and remembers it.
func (r *recent) seen(k recentKey) bool {
	if _, ok := r.young[k]; ok {
		return true
	}
	if _, ok := r.old[k]; ok {
		return true
	}
	if len(r.young) >= maxRecent {
		r.young, r.old = make(map[recentKey]struct{}), r.young
	}
	r.young[k] = struct{}{}
	return false
}

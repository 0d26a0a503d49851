// Package memory bounds the bytes of the messages that a process holds.
package memory

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that messages share. It is safe for concurrent use. A
// nil Budget has no bound.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// waiters get their bytes in the order in which they came.
	waiters []*waiter
}

type waiter struct {
	bytes int64
	ready chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Take takes n bytes and reports whether they were free.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// Wait takes n bytes as soon as they are free, or returns an error when ctx is done
// or n is larger than the budget. Whoever waits must not hold bytes of the budget,
// or two could wait for each other.
func (b *Budget) Wait(ctx context.Context, n int64) error {
	if n > b.Limit() {
		return fmt.Errorf("%d bytes are more than the budget of %d", n, b.limit)
	}
	if b.Take(n) {
		return nil
	}
	w := &waiter{bytes: n, ready: make(chan struct{})}
	b.mu.Lock()
	b.waiters = append(b.waiters, w)
	b.grant()
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.waiters {
		if b.waiters[i] == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.grant()
			return fmt.Errorf("wait for %d bytes: %w", n, ctx.Err())
		}
	}
	return nil // they were given just now
}

// Give returns n bytes.
func (b *Budget) Give(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grant()
}

// grant gives free bytes to those that wait. The caller holds mu.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.limit {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.used += w.bytes
		close(w.ready)
	}
}

// Hold is a part of a budget that belongs to one message. A nil Hold is empty.
type Hold struct {
	budget *Budget
	bytes  atomic.Int64
}

// Hold returns a part of the budget without bytes.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Grow takes n more bytes and reports whether they were free.
func (h *Hold) Grow(n int64) bool {
	if !h.budget.Take(n) {
		return false
	}
	h.bytes.Add(n)
	return true
}

// Wait takes the first n bytes as soon as they are free.
func (h *Hold) Wait(ctx context.Context, n int64) error {
	if err := h.budget.Wait(ctx, n); err != nil {
		return err
	}
	h.bytes.Add(n)
	return nil
}

// Release returns all bytes. It may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	if n := h.bytes.Swap(0); n > 0 {
		h.budget.Give(n)
	}
}

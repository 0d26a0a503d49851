// Package memory limits the bytes that the messages in a process occupy.
package memory

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
)

// Budget is a limit on the bytes that all messages together occupy. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// waiters is a queue in order of arrival.
	waiters []*waiter
}

// waiter is a pending Acquire. ready is closed when its bytes are granted.
type waiter struct {
	bytes int64
	ready chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// TryAcquire takes n bytes without waiting and reports whether they were available. It fails while
// others wait, so that they are served first.
func (b *Budget) TryAcquire(n int64) bool {
	return b.TryAcquireLeaving(n, 0)
}

// TryAcquireLeaving does the same as TryAcquire, but only if reserve bytes are left afterwards.
func (b *Budget) TryAcquireLeaving(n, reserve int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) > 0 || b.used+n > b.limit-reserve {
		return false
	}
	b.used += n
	return true
}

// IsOver reports whether more than a share of the limit is taken, or requests wait for bytes.
func (b *Budget) IsOver(share float64) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters) > 0 || float64(b.used) > share*float64(b.limit)
}

// Acquire takes n bytes as soon as they are available. It returns an error if ctx ends first or
// n exceeds the limit. The caller must not hold bytes of the budget, or two callers could
// deadlock.
func (b *Budget) Acquire(ctx context.Context, n int64) error {
	if n > b.Limit() {
		return fmt.Errorf("%d bytes exceed the budget of %d", n, b.limit)
	}
	if b.TryAcquire(n) {
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
	return nil // grant served w after ctx ended
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grant()
}

// grant gives available bytes to the waiters in their order. The caller holds mu.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.limit {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.used += w.bytes
		close(w.ready)
	}
}

// Reservation tracks the bytes of a budget that one message occupies. A nil Reservation is empty.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// NewReservation returns an empty Reservation on the budget.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// TryGrow takes n more bytes without waiting and reports whether they were available.
func (h *Reservation) TryGrow(n int64) bool { return h.TryGrowLeaving(n, 0) }

// TryGrowLeaving does the same as TryGrow, but only if reserve bytes are left afterwards.
func (h *Reservation) TryGrowLeaving(n, reserve int64) bool {
	if !h.budget.TryAcquireLeaving(n, reserve) {
		return false
	}
	h.bytes.Add(n)
	return true
}

// Acquire takes the first n bytes of the message as soon as they are available.
func (h *Reservation) Acquire(ctx context.Context, n int64) error {
	if err := h.budget.Acquire(ctx, n); err != nil {
		return err
	}
	h.bytes.Add(n)
	return nil
}

// Shrink returns n of the bytes to the budget, when the message turns out to be smaller.
func (h *Reservation) Shrink(n int64) {
	h.bytes.Add(-n)
	h.budget.Release(n)
}

// Release returns all bytes to the budget. It may be called more than once.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	if n := h.bytes.Swap(0); n > 0 {
		h.budget.Release(n)
	}
}

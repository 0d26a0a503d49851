package ledger

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time between two writes while the
	// platform fails.
	minBackoff = time.Second
	maxBackoff = 20 * time.Second
)

// backoff spaces writes to a platform that fails. The zero value waits for
// nothing.
type backoff struct {
	wait time.Duration
	next time.Time
}

// ready reports whether the next write is due.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.next) }

// failing reports whether the last write failed.
func (b *backoff) failing() bool { return b.wait > 0 }

// note takes the outcome of a write.
func (b *backoff) note(now time.Time, err error) {
	if err == nil {
		*b = backoff{}
		return
	}
	b.wait = min(maxBackoff, max(minBackoff, 2*b.wait))
	b.next = now.Add(b.wait/2 + rand.N(b.wait/2))
}

package fake

import (
	"time"

	"golang.org/x/time/rate"
)

type faults struct {
	down        bool
	delay       time.Duration
	loseAnswers int
	deferWrites int
}

// SetDown refuses every call as unavailable and drops the running watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.session++
		s.wake()
	}
}

// SetDelay makes every call wait for d first. A read whose context ends first
// is unavailable; a write still takes effect, with an unknown outcome.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n writes that take effect report an unknown outcome.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// DeferWrites makes the next n writes report an unknown outcome and holds their
// effect back until ReleaseWrites.
func (s *Store) DeferWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.deferWrites = n
}

// ReleaseWrites lets the held-back writes take effect where their revisions
// still match.
func (s *Store) ReleaseWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range s.deferred {
		effect()
	}
	s.deferred = nil
}

// DropWatches ends every running watch as unavailable.
func (s *Store) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session++
	s.wake()
}

// Compact forgets the changes so far: a watch from an older revision is refused.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
	s.wake()
}

// SetRates bounds the calls per second, with a burst of one second; zero means
// no bound.
func (s *Store) SetRates(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = newLimiter(reads)
	s.writes = newLimiter(writes)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

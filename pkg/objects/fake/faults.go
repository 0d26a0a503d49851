package fake

import "time"

type faults struct {
	down        bool
	delay       time.Duration
	loseAnswers int
	deferWrites int
}

// SetDown refuses every call as unavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
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

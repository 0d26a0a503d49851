package fake

import "time"

// faults is the set of faults that the store simulates at present.
type faults struct {
	unavailable bool
	delay       time.Duration
	// lostResponses is how many more writes take effect but report an unknown outcome.
	lostResponses int
	// writesToDefer is how many more writes are held back until ApplyDeferredWrites.
	writesToDefer int
}

// SetUnavailable sets whether every call fails with objects.ErrUnavailable.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unavailable = unavailable
}

// SetDelay makes every call wait for d first. If the context ends during that time, a
// read fails with objects.ErrUnavailable; a write still takes effect but reports
// objects.ErrUnknownOutcome.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses makes the next n writes that take effect return
// objects.ErrUnknownOutcome, as if the response was lost.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lostResponses = n
}

// DeferWrites makes the next n writes return objects.ErrUnknownOutcome and delays their
// effect until ApplyDeferredWrites.
func (s *Store) DeferWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.writesToDefer = n
}

// ApplyDeferredWrites applies the deferred writes in the order in which they came. A write
// whose expected revision no longer matches has no effect.
func (s *Store) ApplyDeferredWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.deferred {
		apply()
	}
	s.deferred = nil
}

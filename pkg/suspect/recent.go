package suspect

import "time"

const (
	// recentPeriod is how long a recentSet keeps its members at least. It keeps them up to
	// twice as long.
	recentPeriod = time.Second
	// maxRecent is the maximum number of members that are added in one recentPeriod. Further
	// ones are left out.
	maxRecent = 4096
)

// recentSet holds the fingerprints that were added lately. The zero value is empty.
type recentSet struct {
	current, previous map[uint64]struct{}
	// since is when current was begun.
	since time.Time
}

// add adds a fingerprint.
func (s *recentSet) add(now time.Time, fingerprint uint64) {
	s.expire(now)
	if len(s.current) < maxRecent {
		s.current[fingerprint] = struct{}{}
	}
}

// has reports whether a fingerprint was added lately.
func (s *recentSet) has(now time.Time, fingerprint uint64) bool {
	s.expire(now)
	_, inCurrent := s.current[fingerprint]
	_, inPrevious := s.previous[fingerprint]
	return inCurrent || inPrevious
}

// expire drops the members that are too old.
func (s *recentSet) expire(now time.Time) {
	age := now.Sub(s.since)
	if s.current != nil && age < recentPeriod {
		return
	}
	s.previous, s.current = s.current, make(map[uint64]struct{})
	if age >= 2*recentPeriod {
		s.previous = nil
	}
	s.since = now
}

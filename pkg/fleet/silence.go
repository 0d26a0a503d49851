package fleet

import "time"

const (
	// AskAfter is how long a contact may say nothing before it is asked for a sign of
	// life: a lead's announcements come every 0.3 s.
	AskAfter = 400 * time.Millisecond
	// PassAfter is how long it may say nothing before it is passed over. A node with a
	// sixth of a core and full of work answers within some 100 ms.
	PassAfter = 700 * time.Millisecond
)

// Silence decides when a node asks a contact for a sign of life and when it passes over
// it for the next one. The load that it answers: hosts lose power without a word, those
// that followed them hear of no new configuration until their connections time out, and
// all of them begin to read the store.
type Silence struct {
	asked  time.Time
	passed time.Time
}

// Look takes in when the contact was heard last. It reports whether to ask it now.
func (s *Silence) Look(now, heard time.Time) (ask bool) {
	silent := now.Sub(heard)
	if silent > PassAfter && s.asked.After(heard) && now.Sub(s.asked) >= PassAfter-AskAfter {
		s.passed = now
		return false
	}
	if silent > AskAfter && !s.asked.After(heard) {
		s.asked = now
		return true
	}
	return false
}

// IsPassed reports whether the contact is passed over: until it is heard again.
func (s *Silence) IsPassed(heard time.Time) bool { return s.passed.After(heard) }

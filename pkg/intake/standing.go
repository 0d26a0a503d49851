package intake

const (
	// failingWeight is the weight of the newest request in the share that fails.
	failingWeight = 0.08
	// garbledRow is the number of answers in a row that are no answers after which an
	// upstream counts as failing: of one that spoils a third of its answers, one row in
	// 27 is that long.
	garbledRow = 3
	// garbledFailing is the share that such an upstream reports at least. Nodes prefer
	// others from 0.5 on, and count a report half after 2 s: for some 1.2 s.
	garbledFailing = 0.75
)

// standing is what the newest requests tell about the upstream.
type standing struct {
	// failing is the share of the newest requests that failed, 0 to 1.
	failing float64
	// garbled counts the newest answers that were no answers.
	garbled int
}

// note takes in a request that ended. It reports whether those that wait are better
// off elsewhere. The load that it answers: an upstream turns to bytes that are no
// answer while a burst waits for it, and each request that then reaches it takes
// from the budget for repeats of all.
func (s *standing) note(good, garbled bool) (handBack bool) {
	target := 1.0
	if good {
		target = 0
	}
	s.failing += failingWeight * (target - s.failing)
	if !garbled {
		s.garbled = 0
		return false
	}
	s.garbled++
	if s.garbled < garbledRow {
		return false
	}
	s.failing = max(s.failing, garbledFailing)
	return true
}

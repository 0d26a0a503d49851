package release

import "math"

// Entry selects the requests of one node that go to the new version. The zero value is ready
// for use. It is not safe for concurrent use.
type Entry struct {
	// credit is the share of requests counted so far that did not go to the new version.
	credit float64
}

const (
	// maxCredit bounds how far a node catches up after a time without a canary that has a
	// free slot.
	maxCredit = 1.5
	// selectProbability is the probability with which a request is selected once the credit
	// allows one. It keeps the choice independent of patterns in the order of the requests.
	selectProbability = 0.25
)

// Arrive counts a request and reports whether it goes to the new version, which gets the given
// share of the requests. The selected requests never exceed that share of those counted. While
// isOpen is false, requests are counted and none is selected; they are not made up for later, so
// that the nodes together do not begin with a burst. random is in [0,1).
func (e *Entry) Arrive(share float64, isOpen bool, random float64) bool {
	if share >= 1 {
		return isOpen
	}
	e.credit = min(e.credit+share, maxCredit)
	if !isOpen {
		e.credit -= math.Floor(e.credit)
		return false
	}
	if e.credit < 1 || random >= max(selectProbability, share) {
		return false
	}
	e.credit--
	return true
}

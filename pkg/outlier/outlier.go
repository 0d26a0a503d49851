// Package outlier decides from the outcomes of calls which endpoints of a
// service are ejected and when they return. It is pure: the time of day is an
// argument.
package outlier

import "time"

const (
	// maxConsecutive failures in a row eject an endpoint.
	maxConsecutive = 5
	// minCalls in a window are needed to eject by the share of failures.
	minCalls = 10
	// maxFailureShare of a window ejects an endpoint.
	maxFailureShare = 0.5
	windowLength    = 10 * time.Second
	// baseEjection is the length of the first ejection; it doubles each time.
	baseEjection = 5 * time.Second
	maxEjection  = 5 * time.Minute
	// calmSuccesses in a row halve the length of the next ejection.
	calmSuccesses = 50
	// rampStart is the weight of an endpoint that returns, and rampStep what each
	// success adds to it.
	rampStart = 0.1
	rampStep  = 0.1
)

// Endpoint keeps the outcomes of one endpoint. The zero value is a good
// endpoint. It is not safe for concurrent use.
type Endpoint struct {
	consecutive int
	successes   int
	window      time.Time
	calls       int
	failures    int
	ejections   int
	until       time.Time
	out         bool
	// ramp is the weight taken off by the last ejection.
	ramp float64
}

// Record takes in the outcome of a call and reports whether the endpoint should
// be ejected. inARow is the number of failures in a row that the endpoint's own
// node counts over all senders, so that not every sender has to fail as often.
// The caller asks Allowed and then calls Eject.
func (e *Endpoint) Record(now time.Time, ok bool, inARow int) bool {
	if now.Sub(e.window) >= windowLength {
		e.window = now
		e.calls, e.failures = 0, 0
	}
	e.calls++
	if ok {
		e.succeed()
		return false
	}
	e.failures++
	e.consecutive++
	e.successes = 0
	if e.out {
		return false
	}
	if max(e.consecutive, inARow) >= maxConsecutive {
		return true
	}
	return e.calls >= minCalls && float64(e.failures) > maxFailureShare*float64(e.calls)
}

func (e *Endpoint) succeed() {
	e.consecutive = 0
	e.ramp = max(0, e.ramp-rampStep)
	e.successes++
	if e.successes >= calmSuccesses && e.ejections > 0 {
		e.successes = 0
		e.ejections--
	}
}

// Eject takes the endpoint out. Each ejection lasts twice as long as the one
// before, up to a bound.
func (e *Endpoint) Eject(now time.Time) {
	length := min(baseEjection<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.until = now.Add(length)
	e.out = true
	e.consecutive, e.calls, e.failures = 0, 0, 0
	e.ramp = 1 - rampStart
}

// Ejected reports whether the endpoint is out at the given time.
func (e *Endpoint) Ejected(now time.Time) bool {
	if e.out && !now.Before(e.until) {
		e.out = false
	}
	return e.out
}

// Weight returns the share of its usual calls that the endpoint should get:
// a tenth after an ejection, growing with each success.
func (e *Endpoint) Weight() float64 { return 1 - e.ramp }

// Allowed reports whether one more of total endpoints may be ejected when
// ejected of them are out, with at most maxPercent of them out at a time.
func Allowed(ejected, total, maxPercent int) bool {
	return (ejected+1)*100 <= total*maxPercent
}

// Panic reports whether so many endpoints are out that ejection is ignored and
// all of them get calls: more than maxPercent, for example because others left.
func Panic(ejected, total, maxPercent int) bool {
	return ejected > 0 && (ejected >= total || ejected*100 > total*maxPercent)
}

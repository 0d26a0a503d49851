package cost

import (
	"math"
	"time"
)

const (
	// speedWeight is the weight of the newest answer. With 40 answers a second the speed follows
	// within 0.3 s, so that it averages bursts of noise of 90 ms and still shows an upstream that
	// takes 5 times as long within half a second.
	speedWeight = 0.08
	// speedHalfLife is the time after the newest answer in which the speed moves half-way back
	// to 1, so that a slow upstream is tried again.
	speedHalfLife = 10 * time.Second
	// maxSpeed and its inverse limit the speed.
	maxSpeed = 16
)

// Speed is the time that an upstream takes relative to the estimates, 1 for one of usual speed. The
// zero value is ready for use. It is not safe for concurrent use.
type Speed struct {
	value float64
	at    time.Time
}

// Observe adds the time of a request in a slot and its estimate.
func (s *Speed) Observe(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(expected)
	if expected <= 0 || took < 0 || math.IsInf(ratio, 0) {
		return
	}
	value := s.Value(now)
	ratio = min(max(ratio, value/clipFactor), value*clipFactor)
	s.value, s.at = Limit(value+speedWeight*(ratio-value)), now
}

// Value returns the speed, 1 without an answer.
func (s *Speed) Value(now time.Time) float64 {
	if s.value == 0 {
		return 1
	}
	age := max(0, float64(now.Sub(s.at)))
	return 1 + (s.value-1)*math.Exp2(-age/float64(speedHalfLife))
}

// Limit returns a speed within the limits, and 1 for one that is not positive. A node uses it for
// speeds that other nodes report.
func Limit(speed float64) float64 {
	if !(speed > 0) {
		return 1
	}
	return min(max(speed, 1.0/maxSpeed), maxSpeed)
}

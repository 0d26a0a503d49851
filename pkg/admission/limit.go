package admission

import "time"

// Outcome says how a call ended, as far as the upstream's capacity goes.
type Outcome string

// The outcomes.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeShed: the upstream turned the call away.
	OutcomeShed Outcome = "shed"
	// OutcomeFailed: the call broke, timed out or was given up.
	OutcomeFailed Outcome = "failed"
)

// Sample is one ended call.
type Sample struct {
	Class   int
	Took    time.Duration
	Outcome Outcome
	// Saturated tells that the limit was reached while the call ran.
	Saturated bool
}

const (
	// windowCalls is the number of calls after which the limit is weighed again.
	windowCalls = 50
	// maxShedShare of a window lowers the limit.
	maxShedShare = 0.05
	// maxSlowdown is the ratio of service time to its usual value from which on
	// the upstream counts as overloaded.
	maxSlowdown = 2.5
	shedFactor  = 0.8
	slowFactor  = 0.9
	// usualWeight is the weight of a window in which slots were free in the usual
	// service time, and usualCalls the calls of a class that a window must have.
	usualWeight = 0.1
	usualCalls  = 5
	// slowFloor is the divisor of the slots under which slow answers alone do not
	// push the limit.
	slowFloor = 4
	// probeFactor is the step above the limit that is tried while calls wait, and
	// probeGain the gain in throughput for which the step is kept.
	probeFactor = 1.25
	probeGain   = 1.10
	// probeRest is the number of windows after a step that was not kept; it
	// doubles up to maxProbeRest.
	probeRest    = 4
	maxProbeRest = 256
)

// Limit adapts the number of calls that an upstream runs at the same time. It
// starts at the announced slots, falls when the upstream sheds calls or slows
// down, and rises above the slots only where that raises the throughput. It is
// never under 1 and never over the announced connections.
type Limit struct {
	slots   int
	ceiling int
	current int

	window window
	// usual is the mean service time of each class while slots were free.
	usual [numClasses]time.Duration

	probing  bool
	before   float64 // calls a second before the step
	previous int     // limit before the step
	rest     int
	nextRest int
}

type window struct {
	start     time.Time
	calls     int
	saturated int
	shed      int
	took      [numClasses]time.Duration
	ok        [numClasses]int
}

// NewLimit returns a limit for the announced slots and connections. Missing
// connections count as many as slots.
func NewLimit(slots, connections int) *Limit {
	slots = max(1, slots)
	if connections <= 0 {
		connections = slots
	}
	return &Limit{slots: min(slots, connections), ceiling: connections, current: min(slots, connections), nextRest: probeRest}
}

// Current returns the limit.
func (l *Limit) Current() int { return l.current }

// Observe takes in one ended call.
func (l *Limit) Observe(now time.Time, s Sample) {
	w := &l.window
	if w.calls == 0 {
		w.start = now
	}
	w.calls++
	if s.Saturated {
		w.saturated++
	}
	switch s.Outcome {
	case OutcomeShed:
		w.shed++
	case OutcomeOK:
		w.took[s.Class] += s.Took
		w.ok[s.Class]++
	}
	if w.calls < windowCalls {
		return
	}
	l.weigh(now)
	l.window = window{}
}

// weigh sets the limit at the end of a window.
func (l *Limit) weigh(now time.Time) {
	w := &l.window
	busy := w.saturated*2 > w.calls
	slowdown := l.slowdown(busy)
	rate := 0.0
	if d := now.Sub(w.start).Seconds(); d > 0 {
		rate = float64(w.calls-1) / d
	}
	switch {
	case float64(w.shed) > maxShedShare*float64(w.calls):
		l.probing = false
		l.current = max(1, int(shedFactor*float64(l.current)))
		l.rest = l.nextRest
	case slowdown > maxSlowdown && busy:
		l.probing = false
		lower := min(l.current-1, int(slowFactor*float64(l.current)))
		l.current = min(l.current, max(1, l.slots/slowFloor, lower))
		l.rest = l.nextRest
	case l.probing:
		l.judge(rate)
	case l.rest > 0:
		l.rest--
	case l.current < l.slots:
		l.current++
	case busy && l.current < l.ceiling:
		l.probe(rate)
	}
}

// probe raises the limit for one window.
func (l *Limit) probe(rate float64) {
	l.probing = true
	l.before = rate
	l.previous = l.current
	l.current = min(l.ceiling, max(l.current+1, int(probeFactor*float64(l.current))))
}

// judge keeps the raised limit if it raised the throughput.
func (l *Limit) judge(rate float64) {
	l.probing = false
	if rate >= l.before*probeGain {
		l.nextRest = probeRest
		l.rest = 1
		return
	}
	l.current = l.previous
	l.rest = l.nextRest
	l.nextRest = min(2*l.nextRest, maxProbeRest)
}

// slowdown returns the window's service time over its usual value, each class
// against its own, and moves the usual values. While the slots are busy, slow
// answers say nothing about the usual value.
func (l *Limit) slowdown(busy bool) float64 {
	var seen, usual time.Duration
	for c, n := range l.window.ok {
		if n < usualCalls {
			continue
		}
		mean := l.window.took[c] / time.Duration(n)
		switch {
		case l.usual[c] == 0:
			l.usual[c] = mean
		case !busy:
			l.usual[c] += time.Duration(usualWeight * float64(mean-l.usual[c]))
		}
		seen += l.window.took[c]
		usual += l.usual[c] * time.Duration(n)
	}
	if usual == 0 {
		return 1
	}
	return float64(seen) / float64(usual)
}

// Package routing chooses the upstream of a call. It is pure: the time of day
// and random numbers are arguments.
//
// The choice takes two endpoints at random and keeps the one with less load for
// its capacity. It stays in the nearest data centre until that is full.
package routing

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/outlier"
)

// Tier is the distance of an endpoint. Lower tiers are used first.
type Tier int

// The tiers, from near to far.
const (
	TierDataCentre Tier = iota
	TierRegion
	TierRemote
	// TierUnreachable holds endpoints of data centres that cannot be reached.
	TierUnreachable
	numTiers
)

// Key names an endpoint.
type Key struct {
	Node     model.NodeID
	Upstream string
}

// Endpoint is one upstream that may take calls of a service.
type Endpoint struct {
	Key
	// Address is the inbound listener of the endpoint's node.
	Address string
	Tier    Tier
	Slots   int
	Since   time.Time
	// Classes limits the traffic classes; empty means all.
	Classes []model.Class
	// Doubtful endpoints are on nodes that are suspected to have failed.
	Doubtful bool
	State    *State
}

// Takes reports whether the endpoint takes calls of class c.
func (e *Endpoint) Takes(c model.Class) bool {
	if len(e.Classes) == 0 {
		return true
	}
	for _, k := range e.Classes {
		if k == c {
			return true
		}
	}
	return false
}

// State is what this node has observed of an endpoint. It outlives changes of
// the membership. It is not safe for concurrent use.
type State struct {
	Outlier outlier.Endpoint
	// InFlight is the number of this node's own calls.
	InFlight int
	// Announced is the start that the endpoint's node last announced.
	Announced time.Time
	// Away is set from an ejection to the first good answer after it.
	Away bool

	others     int // calls of other nodes at the time of the last answer
	limit      int
	reportedAt time.Time
	mean       time.Duration // of good answers
}

// smoothing is the weight of the newest answer in the mean time.
const smoothing = 0.1

// Took takes in the time of a good answer. Failures must not be counted: an
// endpoint that fails fast would look quick.
func (s *State) Took(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += time.Duration(smoothing * float64(d-s.mean))
}

// reportLife is the time in which a reported load counts less and less.
const reportLife = 2 * time.Second

// Report takes in the load that came with an answer: calls running and waiting
// at the endpoint, and its limit. InFlight must still count the answered call.
func (s *State) Report(now time.Time, running, queued, limit int) {
	s.others = max(0, running+queued-s.InFlight)
	s.limit = limit
	s.reportedAt = now
}

// load returns the calls that the endpoint is believed to have.
func (s *State) load(now time.Time) float64 {
	load := float64(s.InFlight)
	if age := now.Sub(s.reportedAt); age < reportLife {
		load += float64(s.others) * (1 - float64(age)/float64(reportLife))
	}
	return load
}

const (
	// coldWeight is the weight of an endpoint that has just started.
	coldWeight = 0.1
	// doubtfulWeight is that of an endpoint on a suspected node.
	doubtfulWeight = 0.25
	// fullFactor is the load per slot from which on a data centre counts as full
	// and calls go to the next one.
	fullFactor = 1.0
)

// capacity returns the slots of e that may be used now.
func (e *Endpoint) capacity(now time.Time, warmup time.Duration) float64 {
	slots := e.Slots
	if e.State.limit > 0 {
		slots = e.State.limit
	}
	c := float64(max(1, slots)) * e.State.Outlier.Weight() * warmth(now.Sub(e.Since), warmup)
	if e.Doubtful {
		c *= doubtfulWeight
	}
	return c
}

// warmth returns the weight of an endpoint of the given age in its ramp.
func warmth(age, warmup time.Duration) float64 {
	if age >= warmup {
		return 1
	}
	return coldWeight + (1-coldWeight)*max(0, float64(age)/float64(warmup))
}

// score is the load per slot that e would have with one more call.
func (e *Endpoint) score(now time.Time, warmup time.Duration) float64 {
	return (e.State.load(now) + 1) / e.capacity(now, warmup)
}

// better reports whether a is the better choice than b: the lower load per
// slot, weighed with the mean time of an answer where both are known.
func better(a, b *Endpoint, r *Request) bool {
	costA, costB := a.score(r.Now, r.Warmup), b.score(r.Now, r.Warmup)
	if a.State.mean > 0 && b.State.mean > 0 {
		costA *= float64(a.State.mean)
		costB *= float64(b.State.mean)
	}
	return costA < costB
}

// Request is what a choice depends on.
type Request struct {
	Now    time.Time
	Class  model.Class
	Warmup time.Duration
	// Panic ignores ejections; see outlier.Panic.
	Panic bool
	// Tried endpoints are chosen only when no other is left.
	Tried []Key
}

// Rand returns a random number in [0, n).
type Rand func(n int) int

// Policy picks one of at least one candidates.
type Policy func(candidates []*Endpoint, r *Request, rnd Rand) *Endpoint

// Chooser picks endpoints by a policy, locality first. It keeps buffers and is
// not safe for concurrent use.
type Chooser struct {
	Policy Policy
	tiers  [numTiers][]*Endpoint
}

// Pick returns the endpoint of a call, or nil if none may take it.
func (c *Chooser) Pick(endpoints []*Endpoint, r *Request, rnd Rand) *Endpoint {
	if e := c.pick(endpoints, r, rnd, false); e != nil {
		return e
	}
	if len(r.Tried) == 0 {
		return nil
	}
	return c.pick(endpoints, r, rnd, true)
}

func (c *Chooser) pick(endpoints []*Endpoint, r *Request, rnd Rand, tried bool) *Endpoint {
	for t := range c.tiers {
		c.tiers[t] = c.tiers[t][:0]
	}
	for _, e := range endpoints {
		if eligible(e, r, tried) {
			c.tiers[e.Tier] = append(c.tiers[e.Tier], e)
		}
	}
	var best *Endpoint
	bestScore := 0.0
	for t, candidates := range c.tiers {
		if len(candidates) == 0 {
			continue
		}
		if Tier(t) == TierUnreachable && best != nil {
			break
		}
		e := c.Policy(candidates, r, rnd)
		score := e.score(r.Now, r.Warmup)
		if score <= fullFactor {
			return e
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func eligible(e *Endpoint, r *Request, tried bool) bool {
	if !e.Takes(r.Class) {
		return false
	}
	if !r.Panic && e.State.Outlier.Ejected(r.Now) {
		return false
	}
	if tried {
		return true
	}
	for _, k := range r.Tried {
		if k == e.Key {
			return false
		}
	}
	return true
}

// TwoChoices takes two candidates at random and returns the less loaded one.
func TwoChoices(candidates []*Endpoint, r *Request, rnd Rand) *Endpoint {
	n := len(candidates)
	i := rnd(n)
	if n == 1 {
		return candidates[i]
	}
	j := rnd(n - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if better(b, a, r) {
		return b
	}
	return a
}

// Random returns any candidate. It is a baseline.
func Random(candidates []*Endpoint, _ *Request, rnd Rand) *Endpoint {
	return candidates[rnd(len(candidates))]
}

// LeastLoaded returns the candidate that seems least loaded. It is a baseline.
func LeastLoaded(candidates []*Endpoint, r *Request, rnd Rand) *Endpoint {
	first := rnd(len(candidates))
	best := candidates[first]
	for i := range candidates {
		e := candidates[(first+i)%len(candidates)]
		if better(e, best, r) {
			best = e
		}
	}
	return best
}

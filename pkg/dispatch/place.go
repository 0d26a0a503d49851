// Package dispatch is the first node's part of a request: it matches the route,
// chooses the upstream, decides on repeats and writes the final answer.
//
// The decisions are in place.go, budget.go and split.go, which are pure: time
// and random numbers are arguments.
package dispatch

import (
	"math"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// otherCentre is what a request to another data centre costs more, in time, and
	// otherCentreKB what each kilobyte of it and of its answer adds: the links
	// between data centres are slower, and their bytes are billed, so that small
	// requests are the first to go there.
	otherCentre   = 10 * time.Millisecond
	otherCentreKB = 20 * time.Millisecond
	// otherRegion and otherRegionKB are the same for another region, whose links
	// take some 100 ms there and back.
	otherRegion   = 120 * time.Millisecond
	otherRegionKB = 40 * time.Millisecond
	// reportHalfLife is the age at which half of a reported load still counts.
	reportHalfLife = 1200 * time.Millisecond
	// failingHalfLife is the same for the reported share of failures.
	failingHalfLife = 2 * time.Second
	// failingCost multiplies the cost of an upstream that fails everything.
	failingCost = 12
	// avoidFailing is the share of failures above which an upstream is used only
	// if no other is left.
	avoidFailing = 0.5
	// coldFactor is how much slower an upstream is taken to be after its start.
	coldFactor = 2
	// speedCost is the share of an upstream's mean time that counts against it: a
	// slow one is used less, but while it is idle its answers are in time as well.
	speedCost = 0.15
	// busyCost is what a full upstream costs more than an idle one, in time; it
	// grows with the square of the load. Upstreams slow down when they are nearly
	// full, and what is known of the load is some requests old.
	busyCost = 200 * time.Millisecond
	// unknownMean is the mean time of an upstream that has not reported one.
	unknownMean = 100 * time.Millisecond
	// jitter spreads equal choices, as a share of the cost.
	jitter = 0.05
)

// Candidate is an upstream that a request could be sent to.
type Candidate struct {
	Node       string
	DataCentre string
	Region     string
	Slots      int
	// Cold tells that the upstream has just started.
	Cold bool
	// Reachable tells that its node could be reached at the last attempt.
	Reachable bool
	// InFlight counts this node's own requests there.
	InFlight int
	// Silent is the share of the newest ones that brought no answer in time.
	Silent float64
	// Report is the newest load, ReportAge its age, and InFlightThen the own
	// requests at that time. ReportAge is negative when there is none.
	Report       link.Load
	ReportAge    time.Duration
	InFlightThen int
	// LargeSince counts the large answers that this node expects from there beyond those
	// at the time of the report.
	LargeSince int
}

// decay returns the share of a report that still counts.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// occupied estimates the requests at the upstream: the reported ones, which
// count less as they age, and this node's own changes since.
func (c *Candidate) occupied() float64 {
	own := float64(c.InFlight)
	if c.ReportAge < 0 {
		return own
	}
	reported := float64(c.Report.Running+c.Report.Queued) + own - float64(c.InFlightThen)
	share := decay(c.ReportAge, reportHalfLife)
	return max(own, share*reported+(1-share)*own)
}

// Full estimates whether a request would have to wait there.
func (c *Candidate) Full() bool { return c.occupied()+1 > float64(max(1, c.Slots)) }

// failing estimates the share of requests that fail there.
func (c *Candidate) failing() float64 {
	if c.ReportAge < 0 {
		return c.Silent
	}
	return max(c.Silent, c.Report.Failing*decay(c.ReportAge, failingHalfLife))
}

// silentWeight is the weight of the newest request in the share without an answer:
// three in a row are enough to avoid an upstream.
const silentWeight = 0.25

// Silence is the share of this node's requests to an upstream that bring no answer
// at all. What the upstream's node reports of itself does not arrive then either,
// and its last report looks better than it is.
type Silence struct {
	share float64
	at    time.Time
}

// Note takes in whether a request brought an answer.
func (s *Silence) Note(now time.Time, answered bool) {
	if answered {
		s.share = 0
		return
	}
	share := s.Share(now)
	s.share, s.at = share+silentWeight*(1-share), now
}

// Share returns the share, which fades with time.
func (s *Silence) Share(now time.Time) float64 {
	if s.share == 0 {
		return 0
	}
	return s.share * decay(now.Sub(s.at), failingHalfLife)
}

// Origin says where a request begins and how many bytes it moves.
type Origin struct {
	Node       string
	DataCentre string
	Region     string
	Bytes      float64
	// Large tells that the answer fills the link of its host for a while.
	Large bool
}

// linkTime estimates how long a large answer takes to leave a host. That of this host
// needs no link but the one to the caller, which all answers take.
func (c *Candidate) linkTime(o Origin) time.Duration {
	if !o.Large || c.Node == o.Node || c.ReportAge < 0 {
		return 0
	}
	kilobyte := c.Report.LinkKBMs
	waits := c.Report.LinkMs * decay(c.ReportAge, reportHalfLife)
	return millis(waits + kilobyte*(1+float64(c.LargeSince))*o.Bytes/1024)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Cost estimates the time until an answer, in which money and risk count as
// time.
func (c *Candidate) Cost(o Origin) time.Duration {
	mean := unknownMean
	if c.ReportAge >= 0 && c.Report.MeanMs > 0 {
		mean = time.Duration(c.Report.MeanMs * float64(time.Millisecond))
	}
	if c.Cold {
		mean *= coldFactor
	}
	slots := float64(max(1, c.Slots))
	occupied := c.occupied()
	wait := max(0, occupied+1-slots) / slots
	load := min(1, occupied/slots)
	cost := float64(mean)*(speedCost+wait) + float64(busyCost)*load*load
	cost += float64(c.linkTime(o))
	cost *= 1 + failingCost*c.failing()
	switch {
	case c.Region != o.Region:
		cost += float64(otherRegion) + o.Bytes/1024*float64(otherRegionKB)
	case c.DataCentre != o.DataCentre:
		cost += float64(otherCentre) + o.Bytes/1024*float64(otherCentreKB)
	}
	return time.Duration(cost)
}

// Choose returns the index of the candidate for a request, or -1. Candidates for which tried is true are left out; those that
// cannot be reached or mostly fail are used only if no other is left.
func Choose(candidates []Candidate, o Origin, tried func(node string) bool, random func() float64) int {
	best, bestRank, bestCost := -1, 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if tried(c.Node) {
			continue
		}
		rank := 0
		if c.failing() > avoidFailing {
			rank = 1
		}
		if !c.Reachable {
			rank = 2
		}
		cost := float64(c.Cost(o)) * (1 + jitter*random())
		if best < 0 || rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

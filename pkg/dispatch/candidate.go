// Package dispatch handles requests at the node where they enter the mesh. It matches the
// route, chooses an upstream, decides on retries and writes the final response.
//
// Choose, DecideRetry, RetryBudget, Split and TypicalTimeout do no I/O: time and random numbers are
// arguments.
package dispatch

import (
	"math"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// dataCentreCost is added to the cost of an upstream in another data centre, and
	// dataCentreCostPerKB for each kilobyte of the request and its answer. Links between data
	// centres are slower and billed by volume, so small requests are the first to go there.
	dataCentreCost      = 10 * time.Millisecond
	dataCentreCostPerKB = 20 * time.Millisecond
	// regionCost and regionCostPerKB are the same for an upstream in another region. The
	// round trip there takes about 100 ms.
	regionCost      = 120 * time.Millisecond
	regionCostPerKB = 40 * time.Millisecond
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 1200 * time.Millisecond
	// failingHalfLife is the age at which a reported or observed share of failures counts
	// half.
	failingHalfLife = 2 * time.Second
	// failingCostFactor scales the share of failures of an upstream. One that fails every
	// request costs 1+failingCostFactor times as much.
	failingCostFactor = 12
	// maxFailingShare is the share of failures above which an upstream is used only if no
	// other is left.
	maxFailingShare = 0.5
	// coldFactor multiplies the mean time of an upstream that has just started.
	coldFactor = 2
	// meanTimeShare is the share of an upstream's mean time that counts as cost if the time of
	// the request itself is not known. It is small because an idle but slow upstream still
	// answers in time.
	meanTimeShare = 0.15
	// fullLoadCost is the extra cost of a full upstream over an idle one. It grows with the
	// square of the load, because upstreams slow down when they are nearly full and the known
	// load is some requests old.
	fullLoadCost = 200 * time.Millisecond
	// unknownMean is the assumed mean time of an upstream that has not reported one.
	unknownMean = 100 * time.Millisecond
	// costJitter is the largest random share that is added to a cost, so that requests spread
	// over upstreams of equal cost.
	costJitter = 0.05
)

// Candidate is an upstream that a request could be sent to.
type Candidate struct {
	Node       string
	DataCentre string
	Region     string
	Slots      int
	// Cold reports that the upstream has just started.
	Cold bool
	// Reachable reports whether the last attempt to connect to the node succeeded.
	Reachable bool
	// InFlight is the number of requests from this node that the upstream has not answered
	// yet.
	InFlight int
	// Unanswered is the share of this node's recent requests that got no answer in time.
	Unanswered float64
	// Report is the newest load report, ReportAge its age (negative if there is none) and
	// InFlightThen the value of InFlight when the report arrived.
	Report       link.Load
	ReportAge    time.Duration
	InFlightThen int
	// StartedSince is the number of requests that this node sent there since the report.
	StartedSince int
	// Expected is the time that the request is expected to take in a slot of this upstream, 0 if
	// it is not known.
	Expected time.Duration
	// SentWork is the sum of Expected of the requests that this node sent there since the
	// report.
	SentWork time.Duration
	// LargeSince is the number of large answers that this node awaits from the upstream
	// beyond those that it awaited when the report arrived.
	LargeSince int
	// BodiesSince is the number of bytes of large bodies that this node sends there beyond those
	// that it was sending when the report arrived.
	BodiesSince int
}

// decay returns the weight, from 1 down to 0, of a value of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// occupied estimates the number of requests at the upstream. It combines the reported
// number, whose weight falls with its age, with the change of this node's own requests since
// the report.
func (c *Candidate) occupied() float64 {
	own := float64(c.InFlight)
	if c.ReportAge < 0 {
		return own
	}
	reported := float64(c.Report.Running+c.Report.Queued) + own - float64(c.InFlightThen)
	share := decay(c.ReportAge, reportHalfLife)
	return max(own, share*reported+(1-share)*own)
}

// belowLimit estimates how many requests the upstream's limit allows at once, negative if
// requests wait for it. The report must hold a limit.
func (c *Candidate) belowLimit() float64 { return c.Report.Limit.Free - float64(c.StartedSince) }

// missingForLimit estimates how many requests the upstream's limit must still allow before a
// new one can start.
func (c *Candidate) missingForLimit() float64 {
	if c.ReportAge < 0 || c.Report.Limit == nil {
		return 0
	}
	return max(0, 1-c.belowLimit()) * decay(c.ReportAge, reportHalfLife)
}

// limitWait estimates how long a request would wait for the upstream's limit of requests a
// second.
func (c *Candidate) limitWait() time.Duration {
	missing := c.missingForLimit()
	if missing == 0 {
		return 0
	}
	return millis(1000 * missing / c.Report.Limit.PerS)
}

// limitLoad estimates which share of its limit of requests a second the upstream gets.
func (c *Candidate) limitLoad() float64 {
	if c.ReportAge < 0 || c.Report.Limit == nil {
		return 0
	}
	free := c.belowLimit() / max(1, c.Report.Limit.PerS)
	return min(max(0, 1-free), 1) * decay(c.ReportAge, reportHalfLife)
}

// maxMissingForLimit is the value of missingForLimit up to which the limit probably allows a
// request by the time that it arrives.
const maxMissingForLimit = 0.5

// Full reports whether a request would probably have to wait at the upstream, for a slot or
// for its limit of requests a second.
func (c *Candidate) Full() bool {
	return c.occupied()+1 > float64(max(1, c.Slots)) || c.missingForLimit() > maxMissingForLimit
}

// failing estimates the share of requests that fail at the upstream.
func (c *Candidate) failing() float64 {
	if c.ReportAge < 0 {
		return c.Unanswered
	}
	return max(c.Unanswered, c.Report.FailureRate*decay(c.ReportAge, failingHalfLife))
}

// silentWeight is the weight of the newest unanswered request in UnansweredShare. With 0.25, three
// unanswered requests in a row exceed maxFailingShare.
const silentWeight = 0.25

// UnansweredShare tracks the share of this node's requests to an upstream that get no answer at all.
// Load reports arrive with answers, so an upstream that stops answering also stops
// reporting, and its last report looks better than its state.
type UnansweredShare struct {
	share float64
	at    time.Time
}

// Record records whether a request got an answer.
func (s *UnansweredShare) Record(now time.Time, answered bool) {
	if answered {
		s.share = 0
		return
	}
	share := s.Value(now)
	s.share, s.at = share+silentWeight*(1-share), now
}

// Value returns the share of unanswered requests, which decays with time.
func (s *UnansweredShare) Value(now time.Time) float64 {
	if s.share == 0 {
		return 0
	}
	return s.share * decay(now.Sub(s.at), failingHalfLife)
}

// Origin describes where a request enters the mesh and how many bytes it moves.
type Origin struct {
	Node       string
	DataCentre string
	Region     string
	Bytes      float64
	// Large reports that the answer is large enough to occupy the link of its host for a
	// while.
	Large bool
	// Body is the size of a large body, which its receiver requests in parts, and 0 for others.
	Body int
}

// linkTime estimates how long a large answer takes to leave the upstream's host. It is 0 for
// an upstream on this host, whose answer uses only the connection to the caller, as every
// answer does.
func (c *Candidate) linkTime(o Origin) time.Duration {
	if !o.Large || c.Node == o.Node || c.ReportAge < 0 {
		return 0
	}
	kilobyte := c.Report.UplinkMsPerKB
	waits := c.Report.UplinkWaitMs * decay(c.ReportAge, reportHalfLife)
	return millis(waits + kilobyte*(1+float64(c.LargeSince))*o.Bytes/1024)
}

// bodyWait estimates how long a large body waits for the inbound link of the upstream's host.
func (c *Candidate) bodyWait(o Origin) time.Duration {
	if o.Body == 0 || c.Node == o.Node || c.ReportAge < 0 {
		return 0
	}
	return millis(c.Report.DownlinkWaitMs*decay(c.ReportAge, reportHalfLife) + c.bodyMs(c.BodiesSince))
}

// bodyTime estimates how long a large body takes to reach the upstream's host.
func (c *Candidate) bodyTime(o Origin) time.Duration {
	if o.Body == 0 || c.Node == o.Node || c.ReportAge < 0 {
		return 0
	}
	return c.bodyWait(o) + millis(c.bodyMs(o.Body))
}

// bodyMs returns how long the link of the upstream's host takes for the bytes of a body, in
// milliseconds.
func (c *Candidate) bodyMs(bytes int) float64 { return c.Report.UplinkMsPerKB * float64(bytes) / 1024 }

// FullFor reports whether a request would probably have to wait at the upstream, as Full does, or for
// the inbound link of its host.
func (c *Candidate) FullFor(o Origin) bool { return c.Full() || c.bodyWait(o) > intake.FreeBodyWait }

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Cost estimates the time until an answer arrives. Billed traffic and the risk of failure
// are converted to time and included.
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
	load := max(min(1, occupied/slots), c.limitLoad())
	var cost float64
	if c.Expected > 0 {
		cost = c.ownCost(load, float64(mean)) + c.workWait(float64(mean))
	} else {
		cost = float64(mean) * (meanTimeShare + max(0, occupied+1-slots)/slots)
	}
	cost += float64(fullLoadCost) * load * load
	cost += float64(c.linkTime(o)) + float64(c.bodyTime(o)) + float64(c.limitWait())
	cost *= 1 + failingCostFactor*c.failing()
	switch {
	case c.Region != o.Region:
		cost += float64(regionCost) + o.Bytes/1024*float64(regionCostPerKB)
	case c.DataCentre != o.DataCentre:
		cost += float64(dataCentreCost) + o.Bytes/1024*float64(dataCentreCostPerKB)
	}
	return time.Duration(cost)
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there is none. It
// skips candidates for which tried returns true. It uses candidates that are unreachable or
// mostly fail only if no other is left.
func Choose(candidates []Candidate, o Origin, tried func(node string) bool, random func() float64) int {
	best, bestRank, bestCost := -1, 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if tried(c.Node) {
			continue
		}
		rank := 0
		if c.failing() > maxFailingShare {
			rank = 1
		}
		if !c.Reachable {
			rank = 2
		}
		cost := float64(c.Cost(o)) * (1 + costJitter*random())
		if best < 0 || rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

package replay

import (
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	herdNodes  = 12
	herdSlots  = 9
	herdLength = 20 * time.Second
	// herdRate is in requests per second, 70 % of what the upstreams can run.
	herdRate = 260.0
)

// HerdAnswerTimes returns the answer time of each upstream. Their speeds differ.
func HerdAnswerTimes() []time.Duration {
	const fast, usual, slow = 96 * time.Millisecond, 160 * time.Millisecond, 224 * time.Millisecond
	return []time.Duration{fast, usual, slow, fast, usual, slow}
}

// herdTimeout is how long a request to a silent upstream waits.
const herdTimeout = 1200 * time.Millisecond

// NoUpstream as the silent upstream means that all upstreams answer.
const NoUpstream = -1

// HerdResult counts the outcomes of the requests of a simulated herd.
type HerdResult struct {
	// Served holds the number of answers of each upstream.
	Served []int
	// Asked counts all requests, NoSlot those that met an upstream without a free slot, and
	// Silent those sent to the silent upstream.
	Asked, NoSlot, Silent int
	// Seconds holds, for each second, the number of requests that met a full or silent upstream.
	Seconds []int
}

// herd simulates a thundering herd: many nodes that choose among the same upstreams, each of
// which learns the load of an upstream only from the answers to its own requests.
type herd struct {
	random *rand.Rand
	work   []time.Duration
	// silent is the upstream whose answers are lost, or NoUpstream.
	silent     int
	silence    [][]dispatch.UnansweredShare
	views      [][]dispatch.Candidate
	reportedAt [][]time.Duration // when a view was last updated, by node and upstream
	busy       []int
	open       []herdRequest
	result     HerdResult
}

// herdRequest is a request that runs at an upstream or waits for a silent one.
type herdRequest struct {
	node, upstream int
	ends           time.Duration
}

// SimulateHerd simulates the herd with a function that chooses an upstream. Answers of the silent
// upstream are lost.
func SimulateHerd(silent int, choose func(candidates []dispatch.Candidate, random *rand.Rand) int) HerdResult {
	h := &herd{random: rand.New(rand.NewPCG(3, 4)), work: HerdAnswerTimes(), silent: silent}
	h.busy = make([]int, len(h.work))
	h.result.Served = make([]int, len(h.work))
	h.result.Seconds = make([]int, int(herdLength/time.Second))
	for range herdNodes {
		view := make([]dispatch.Candidate, len(h.work))
		for u := range view {
			view[u] = dispatch.Candidate{Node: string(rune('a' + u)), DataCentre: "a", Slots: herdSlots, Reachable: true, ReportAge: -1}
		}
		h.views = append(h.views, view)
		h.reportedAt = append(h.reportedAt, make([]time.Duration, len(h.work)))
		h.silence = append(h.silence, make([]dispatch.UnansweredShare, len(h.work)))
	}
	for now := time.Duration(0); now < herdLength; now += step {
		h.finish(now)
		if h.random.Float64() < herdRate*step.Seconds() {
			h.send(now, choose)
		}
	}
	return h.result
}

// finish ends the requests whose time is over and updates the views of their nodes.
func (h *herd) finish(now time.Duration) {
	open := h.open[:0]
	for _, r := range h.open {
		if now < r.ends {
			open = append(open, r)
			continue
		}
		h.busy[r.upstream]--
		h.views[r.node][r.upstream].InFlight--
		h.silence[r.node][r.upstream].Record(clock(now), r.upstream != h.silent)
		if r.upstream != h.silent {
			h.result.Served[r.upstream]++
			h.report(now, r.node, r.upstream)
		}
	}
	h.open = open
}

// clock converts the simulated time to a time.Time.
func clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// report updates a node's view of an upstream with the load that an answer carries.
func (h *herd) report(now time.Duration, node, upstream int) {
	v := &h.views[node][upstream]
	v.Report = link.Load{Running: h.busy[upstream], Slots: herdSlots, MeanMs: float64(h.work[upstream]) / float64(time.Millisecond)}
	v.InFlightThen, h.reportedAt[node][upstream] = v.InFlight, now+step
}

// send sends a request from a random node to the upstream that choose selects.
func (h *herd) send(now time.Duration, choose func([]dispatch.Candidate, *rand.Rand) int) {
	h.result.Asked++
	node := h.random.IntN(herdNodes)
	view := h.views[node]
	for u := range view {
		view[u].Unanswered = h.silence[node][u].Value(clock(now))
		if at := h.reportedAt[node][u]; at > 0 {
			view[u].ReportAge = now + step - at
		}
	}
	u := choose(view, h.random)
	if u == h.silent {
		h.result.Silent++
		h.result.Seconds[int(now/time.Second)]++
		view[u].InFlight++
		h.busy[u]++
		h.open = append(h.open, herdRequest{node, u, now + herdTimeout})
		return
	}
	if h.busy[u] >= herdSlots {
		// The refusal carries the load. A node would then try another upstream, which is not
		// simulated.
		h.result.NoSlot++
		h.result.Seconds[int(now/time.Second)]++
		h.report(now, node, u)
		return
	}
	h.busy[u]++
	view[u].InFlight++
	h.open = append(h.open, herdRequest{node, u, now + h.work[u]})
}

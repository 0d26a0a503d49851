package dispatch

import "time"

const (
	// ranShare is the part of the allowed repeats that is used for requests that
	// may have run. The rest is for the calls that a second run makes, which count
	// as repeats at the service that they call.
	ranShare = 0.5
	// notRunShare is the same for requests that an upstream turned away; the rest
	// is for nodes whose counts differ from those of the whole mesh.
	notRunShare = 0.8
	// budgetBuckets is the number of parts in which a window is counted.
	budgetBuckets = 10
)

// BudgetLimits bound the repeats of all nodes together in a window.
type BudgetLimits struct {
	// Ratio of the requests, plus Slack, may be repeats.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes share the slack.
	Nodes int
}

// Budget counts the requests and repeats of one service on this node. It is not
// safe for concurrent use.
type Budget struct {
	start    time.Time
	bucket   time.Duration
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
}

// advance drops what is older than a window.
func (b *Budget) advance(now time.Time, window time.Duration) int {
	b.bucket = max(window/budgetBuckets, time.Millisecond)
	if b.start.IsZero() {
		b.start = now
	}
	for steps := 0; now.Sub(b.start) >= window; steps++ {
		if steps > budgetBuckets {
			b.start = now
			b.requests, b.repeats = [budgetBuckets]float64{}, [budgetBuckets]float64{}
			break
		}
		b.start = b.start.Add(b.bucket)
		copy(b.requests[:], b.requests[1:])
		copy(b.repeats[:], b.repeats[1:])
		b.requests[budgetBuckets-1], b.repeats[budgetBuckets-1] = 0, 0
	}
	return min(int(now.Sub(b.start)/b.bucket), budgetBuckets-1)
}

// Request counts a request.
func (b *Budget) Request(now time.Time, l BudgetLimits) { b.requests[b.advance(now, l.Window)]++ }

// Take counts a repeat and reports whether it is allowed. mayHaveRun tells that
// the request may have run before.
func (b *Budget) Take(now time.Time, l BudgetLimits, mayHaveRun bool) bool {
	share := notRunShare
	if mayHaveRun {
		share = ranShare
	}
	i := b.advance(now, l.Window)
	requests, repeats := 0.0, 0.0
	for j := range budgetBuckets {
		requests += b.requests[j]
		repeats += b.repeats[j]
	}
	if repeats+1 > share*(l.Ratio*requests+l.Slack/float64(max(1, l.Nodes))) {
		return false
	}
	b.repeats[i]++
	return true
}

// Return takes back a repeat that no upstream got.
func (b *Budget) Return(now time.Time, l BudgetLimits) {
	for i := b.advance(now, l.Window); i >= 0; i-- {
		if b.repeats[i] > 0 {
			b.repeats[i]--
			return
		}
	}
}

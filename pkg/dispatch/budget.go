package dispatch

import "time"

const (
	// mayHaveRunShare is the share of the retry budget that requests that may have run can
	// use. The rest covers the calls that a second run makes to other services, where they
	// count as retries too.
	mayHaveRunShare = 0.5
	// notRunShare is the same for requests that an upstream rejected before running them. The
	// rest covers nodes whose request counts differ from the average of the mesh.
	notRunShare = 0.8
	// nestedReserve is the share of the retry budget that new requests leave to nested calls
	// while there are any: a nested call that fails also loses the request that made it.
	nestedReserve = 0.15
	// budgetBuckets is the number of buckets in the sliding window.
	budgetBuckets = 10
)

// RetryLimits bound the retries of a service on all nodes together within a window.
type RetryLimits struct {
	// At most Ratio times the requests in the window, plus Slack, may be retries.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the number of nodes that share Slack equally.
	Nodes int
}

// RetryBudget counts the requests and retries of one service on this node in a sliding window. It
// is not safe for concurrent use.
type RetryBudget struct {
	start    time.Time
	bucket   time.Duration
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
	// nestedAt is when the newest nested call was counted.
	nestedAt time.Time
}

// advance moves the window forward to now, drops the buckets that fall out of it and returns
// the index of the current bucket.
func (b *RetryBudget) advance(now time.Time, window time.Duration) int {
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

// CountRequest counts one request. nested is set for a call of a request that runs.
func (b *RetryBudget) CountRequest(now time.Time, l RetryLimits, nested bool) {
	b.requests[b.advance(now, l.Window)]++
	if nested {
		b.nestedAt = now
	}
}

// TryRetry reports whether a retry is allowed and counts it if so. mayHaveRun says whether an
// earlier try of the request may have run. New requests leave nestedReserve of the budget to
// nested calls if there were any within the window.
func (b *RetryBudget) TryRetry(now time.Time, l RetryLimits, mayHaveRun, nested bool) bool {
	share := notRunShare
	if mayHaveRun {
		share = mayHaveRunShare
	}
	if !nested && !b.nestedAt.IsZero() && now.Sub(b.nestedAt) < l.Window {
		share -= nestedReserve
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

// Refund uncounts a retry that reached no upstream.
func (b *RetryBudget) Refund(now time.Time, l RetryLimits) {
	for i := b.advance(now, l.Window); i >= 0; i-- {
		if b.repeats[i] > 0 {
			b.repeats[i]--
			return
		}
	}
}

package quota

import "time"

// deductionSlot is the time within which deductions of a bucket are stored as one.
const deductionSlot = 50 * time.Millisecond

// Bucket holds the tokens of one organisation at one node, and what was taken from it
// recently. Both together never exceed its capacity.
type Bucket struct {
	level float64
	// filled is the reading of the meter of shares up to which tokens were added.
	filled     float64
	deductions []deduction
}

// deduction is the tokens taken between at and at+deductionSlot.
type deduction struct {
	at time.Duration
	n  float64
}

// outstanding returns the tokens that were taken within the last hold.
func (b *Bucket) outstanding(now, hold time.Duration) float64 {
	old := 0
	for old < len(b.deductions) && now > b.deductions[old].at+deductionSlot+hold {
		old++
	}
	if old > 0 {
		b.deductions = append(b.deductions[:0], b.deductions[old:]...)
	}
	sum := 0.0
	for _, d := range b.deductions {
		sum += d.n
	}
	return sum
}

// Refill adds the tokens for the share of the limit that the meter has counted since the last
// call, in share-seconds, and reduces the bucket to the capacity of the given share.
func (b *Bucket) Refill(now time.Duration, meter, share float64, z *size) {
	b.level += max(0, meter-b.filled) * z.limit.RatePerS
	b.filled = meter
	b.level = max(0, min(b.level, share*z.capacity-b.outstanding(now, z.hold)))
}

// Take takes at most n whole tokens.
func (b *Bucket) Take(now time.Duration, n int) int {
	// A tolerance below one millionth covers rounding in sums of small additions.
	n = min(n, int(b.level+1e-6))
	if n <= 0 {
		return 0
	}
	b.level = max(0, b.level-float64(n))
	now = now.Truncate(time.Millisecond)
	if last := len(b.deductions) - 1; last >= 0 && now < b.deductions[last].at+deductionSlot {
		b.deductions[last].n += float64(n)
	} else {
		b.deductions = append(b.deductions, deduction{now, float64(n)})
	}
	return n
}

// PutBack puts back tokens that were taken at the given time and that can no longer be used
// elsewhere. Tokens that are no longer counted as taken stay lost.
func (b *Bucket) PutBack(now, taken time.Duration, n int, hold time.Duration) int {
	b.outstanding(now, hold)
	for i := len(b.deductions) - 1; i >= 0; i-- {
		d := &b.deductions[i]
		if taken < d.at || taken >= d.at+deductionSlot {
			continue
		}
		back := min(float64(n), d.n)
		d.n -= back
		b.level += back
		return int(back)
	}
	return 0
}

// rateEstimate estimates events a second, with more weight on recent ones.
type rateEstimate struct {
	perS float64
	at   time.Duration
}

// add counts n events.
func (r *rateEstimate) add(now time.Duration, n float64) {
	r.perS = r.value(now) + n/rateMemory.Seconds()
	r.at = now
}

// value returns the estimate.
func (r *rateEstimate) value(now time.Duration) float64 {
	if r.perS == 0 {
		return 0
	}
	return r.perS * decay(now-r.at)
}

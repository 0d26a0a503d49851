package dispatch

import (
	"slices"
	"time"
)

const (
	// usualQuantile is the quantile of the given times that TypicalTimeout.usual tracks. Most
	// callers of a route give the same time. The quantile stays correct while up to three of
	// four requests are retries of callers, which give only the time that they have left.
	usualQuantile = 0.75
	// usualStep is the step by which one request moves the usual time, as a share of it.
	usualStep = 0.01
	// firstRequests is the number of requests after a start for which the usual time is taken
	// from the given times directly. After a restart many requests are retries of callers,
	// and moving the estimate in steps would take seconds.
	firstRequests = 16
	// maxMedianFactor is the multiple of the median above which a given time does not count
	// as usual. Callers with unusually long timeouts would otherwise make all others look
	// late. Retries of callers give less than usual, at most by the time that a restart
	// takes.
	maxMedianFactor = 2
)

// TypicalTimeout estimates the time that callers of a route give a request on its first attempt.
// It is not safe for concurrent use.
type TypicalTimeout struct {
	usual float64   // nanoseconds, 0 before the first request
	first []float64 // up to firstRequests given times, in nanoseconds
}

// EstimateWaited records the time that a caller gives and estimates how long the caller has waited
// already. A caller that retries after a refusal gives only the time that it has left, so
// the difference from the usual time is the time waited.
func (u *TypicalTimeout) EstimateWaited(given time.Duration) time.Duration {
	g := float64(given)
	if len(u.first) < firstRequests {
		u.first = append(u.first, g)
		u.usual = longestUsual(u.first)
		return max(0, time.Duration(u.usual-g))
	}
	waited := time.Duration(u.usual - g)
	switch {
	case g > u.usual:
		u.usual = min(g, u.usual*(1+usualStep*usualQuantile))
	case g < u.usual:
		u.usual = max(g, u.usual*(1-usualStep*(1-usualQuantile)))
	}
	return max(0, waited)
}

// longestUsual returns the longest of the times that is at most maxMedianFactor times the
// median.
func longestUsual(times []float64) float64 {
	sorted := slices.Sorted(slices.Values(times))
	longest := sorted[0]
	for _, t := range sorted {
		if t <= maxMedianFactor*sorted[(len(sorted)-1)/2] {
			longest = t
		}
	}
	return longest
}

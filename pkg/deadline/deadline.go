// Package deadline works out how long a call may take and how the remaining
// time travels from hop to hop. It is pure: the time of day is an argument.
package deadline

import (
	"fmt"
	"time"
)

// Header carries the remaining time of a call as a duration such as "1.5s".
// Callers may send it; nodes rewrite it on each hop.
const Header = "Tarragondrum-Timeout"

const (
	// Default bounds a call for which neither route nor service has a timeout.
	Default = 15 * time.Second
	// Max bounds every call.
	Max = time.Hour
	// A share of the remaining time, within bounds, is taken off on each hop, so
	// that the answer of an inner hop that gives up still reaches the outer one.
	marginShare = 50
	minMargin   = time.Millisecond
	maxMargin   = 20 * time.Millisecond
	// maxHeaderBytes bounds the header's value.
	maxHeaderBytes = 32
)

// Parse reads the value of Header. The value must be a positive duration; a
// duration over Max counts as Max.
func Parse(value string) (time.Duration, error) {
	if len(value) > maxHeaderBytes {
		return 0, fmt.Errorf("%s has %d bytes, at most %d are read", Header, len(value), maxHeaderBytes)
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, fmt.Errorf("%s %q is not a duration such as \"1.5s\"", Header, value)
	}
	if d < 0 {
		return 0, fmt.Errorf("%s %q is negative", Header, value)
	}
	return min(d, Max), nil
}

// Timeout returns the time that a call may take: the route's timeout, else the
// service's, else Default. A shorter time asked for by the caller wins; a
// negative asked means that the caller asked for nothing.
func Timeout(asked, route, service time.Duration) time.Duration {
	limit := Default
	switch {
	case route > 0:
		limit = route
	case service > 0:
		limit = service
	}
	if asked >= 0 && asked < limit {
		return asked
	}
	return min(limit, Max)
}

// Remaining returns the time that is passed on to the next hop. It is not
// positive when the call has expired.
func Remaining(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	return left - min(max(left/marginShare, minMargin), maxMargin)
}

// Format writes d as the value of Header.
func Format(d time.Duration) string {
	return d.Round(time.Microsecond).String()
}

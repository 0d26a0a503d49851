package quota

import (
	"math"
	"time"
)

// decay returns the weight of a value of the given age in an estimate.
func decay(age time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / rateMemory.Seconds())
}

// hostCount keeps the largest number of hosts of the last hostsPeriod, by second.
type hostCount struct {
	second [hostsPeriod/time.Second + 1]int64
	count  [hostsPeriod/time.Second + 1]int
}

// observe records the number of hosts known now.
func (h *hostCount) observe(now time.Duration, hosts int) {
	s := int64(now / time.Second)
	i := s % int64(len(h.second))
	if h.second[i] != s {
		h.second[i], h.count[i] = s, 0
	}
	h.count[i] = max(h.count[i], hosts)
}

// largest returns the largest number of the period, or 0 if none is known.
func (h *hostCount) largest(now time.Duration) int {
	s := int64(now / time.Second)
	most := 0
	for i := range h.count {
		if s-h.second[i] < int64(len(h.second)) {
			most = max(most, h.count[i])
		}
	}
	return most
}

// identity is one process of a node.
type identity struct {
	node    string
	process int64
}

// Share is the share of the limits that a node owns, and its lease to a hub.
type Share struct {
	// usableFrom is when the node may use its share, or lease it, for the first time.
	usableFrom time.Duration
	// source, tick and received are the newest tick, the hub that it came from, and when it
	// was received.
	source   identity
	tick     int64
	received time.Duration
	// holder has the lease, and leasedUntil is when neither it nor the tokens that it gave
	// out count any more.
	holder      identity
	leasedUntil time.Duration
}

// IsOwn reports whether the node may use its share itself.
func (s *Share) IsOwn(now time.Duration) bool { return now >= s.usableFrom && now >= s.leasedUntil }

// Delay forbids to use the share, or to lease it, until a time.
func (s *Share) Delay(until time.Duration) { s.usableFrom = max(s.usableFrom, until) }

// Receive records a tick of a hub.
func (s *Share) Receive(now time.Duration, from identity, tick int64) {
	if from == s.source && tick <= s.tick {
		return
	}
	s.source, s.tick, s.received = from, tick, now
}

// Lease returns the tick to return to a hub, which renews or begins the lease of the share to
// it. It returns no tick while another hub may still count the share.
func (s *Share) Lease(now time.Duration, hub string) (of identity, tick int64) {
	if s.source.node != hub || now < s.usableFrom || now >= s.received+leaseTime {
		return s.source, 0
	}
	if now < s.leasedUntil && s.holder != s.source {
		return s.source, 0
	}
	s.holder = s.source
	s.leasedUntil = max(s.leasedUntil, s.received+settleTime)
	return s.source, s.tick
}

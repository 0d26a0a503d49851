package quota

import "time"

// Host is a host that a node knows.
type Host struct {
	Name string
	// Stopping is set during a planned stop. The node of such a host adds no tokens from the
	// beginning of its stop, which is longer than settleTime before other nodes learn of it.
	Stopping bool
}

// Census counts the hosts by which limits are divided: those that a node knows and that do not stop,
// and those that disappeared without a planned stop within lostPeriod. Hosts that stopped as planned
// do not count, or a roll-out that doubles the hosts of a service for some seconds would halve all
// limits for lostPeriod after it.
type Census struct {
	counted, lost map[string]time.Duration
}

// Observe records the hosts that a node knows now, and returns their number.
func (c *Census) Observe(now time.Duration, hosts []Host) int {
	counted, stopped := make(map[string]time.Duration, len(hosts)), make(map[string]bool)
	for _, h := range hosts {
		if h.Stopping {
			stopped[h.Name] = true
			continue
		}
		counted[h.Name] = now
	}
	if c.lost == nil {
		c.lost = make(map[string]time.Duration)
	}
	for name := range c.counted {
		if _, known := counted[name]; !known && !stopped[name] {
			c.lost[name] = now
		}
	}
	for name := range counted {
		delete(c.lost, name)
	}
	for name := range stopped {
		delete(c.lost, name)
	}
	c.counted = counted
	return c.Count(now)
}

// Count returns the number of hosts at a time after the last Observe.
func (c *Census) Count(now time.Duration) int {
	for name, at := range c.lost {
		if now-at >= lostPeriod {
			delete(c.lost, name)
		}
	}
	return len(c.counted) + len(c.lost)
}

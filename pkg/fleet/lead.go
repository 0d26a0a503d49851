package fleet

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// CoverFor is how long an announcement of a lead holds. Leads repeat it several
	// times in that time.
	CoverFor = 450 * time.Millisecond
	// RelayedFor is the same in a large fleet, where announcements are fewer and go from
	// node to node.
	RelayedFor = 800 * time.Millisecond
)

// maxSize is the largest size that counts in a rank.
const maxSize = 1_000_000

// Size returns the size of a machine.
func Size(cpuShare, linkMbps float64) int { return min(int(cpuShare*linkMbps*10), maxSize) }

// Rank orders the nodes that may lead: larger machines go first, equal ones by
// name. Lower ranks go first.
func Rank(size int, node string) string { return fmt.Sprintf("%07d %s", maxSize-size, node) }

// NodeOf returns the name of the node with a rank.
func NodeOf(rank string) string {
	_, node, _ := strings.Cut(rank, " ")
	return node
}

// Cover tells whether another node reads the store for this one. A node that hears
// of no lead becomes one after a short delay, so that not all of them do at once;
// of two leads the one with the higher rank yields. Two at once do no harm: both
// only read.
type Cover struct {
	self string

	mu sync.Mutex
	// delay is how long this node waits for another to become a lead, and holds how long
	// an announcement does.
	delay     time.Duration
	holds     time.Duration
	leads     bool
	announced map[string]time.Time
	uncovered time.Time // since when no lead has been announced
	// lastLead is the rank of the lead that was announced last, at lastHeard.
	lastLead  string
	lastHeard time.Time
}

// NewCover returns the cover of the node with a rank, which hears no lead yet.
func NewCover(self string, delay time.Duration) *Cover {
	return &Cover{self: self, delay: delay, holds: CoverFor, announced: make(map[string]time.Time)}
}

// Set changes how long this node waits for another lead, and how long an announcement
// holds.
func (c *Cover) Set(delay, holds time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay, c.holds = delay, holds
}

// Announced notes that the lead with a rank reached the store just now.
func (c *Cover) Announced(now time.Time, lead string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced[lead] = now
	c.lastLead, c.lastHeard = lead, now
}

// Heard returns the rank of the lead that was announced last, and when.
func (c *Cover) Heard() (lead string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastLead, c.lastHeard
}

// Leads reports whether this node reads the store from now on.
func (c *Cover) Leads(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := ""
	for lead, at := range c.announced {
		if now.Sub(at) > c.holds {
			delete(c.announced, lead)
			continue
		}
		if lowest == "" || lead < lowest {
			lowest = lead
		}
	}
	switch {
	case c.leads:
		c.leads = lowest == "" || lowest > c.self
	case lowest != "":
		c.uncovered = time.Time{}
	case c.uncovered.IsZero():
		c.uncovered = now
		c.leads = c.delay == 0
	default:
		c.leads = now.Sub(c.uncovered) >= c.delay
	}
	if c.leads {
		c.uncovered = time.Time{}
	}
	return c.leads
}

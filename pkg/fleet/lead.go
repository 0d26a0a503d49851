package fleet

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// AnnouncementValidity is how long an announcement of a lead is valid. Leads repeat their
	// announcements several times within that time.
	AnnouncementValidity = 450 * time.Millisecond
	// RelayedAnnouncementValidity is the validity of an announcement in a large fleet, where announcements
	// are less frequent and are relayed from node to node.
	RelayedAnnouncementValidity = 800 * time.Millisecond
)

// maxSize is the upper bound of a host's size. A rank has seven digits for it.
const maxSize = 1_000_000

// Size returns the capacity of a host: ten times the product of its CPU share in cores and
// its link bandwidth in Mbit/s, at most maxSize.
func Size(cpuShare, linkMbps float64) int { return min(int(cpuShare*linkMbps*10), maxSize) }

// Rank returns the key by which nodes are ordered in the choice of a lead. The lowest rank
// leads. Nodes on larger hosts have lower ranks, and nodes of equal size are ordered by
// name.
func Rank(size int, node string) string { return fmt.Sprintf("%07d %s", maxSize-size, node) }

// NodeOf returns the node name that a rank contains.
func NodeOf(rank string) string {
	_, node, _ := strings.Cut(rank, " ")
	return node
}

// LeadElection decides whether this node is a lead, which reads the store on behalf of others,
// or follows another lead. A node that receives no announcement of a lead becomes a lead
// itself after a delay, which prevents all nodes from doing so at once. Of two leads, the
// one with the higher rank steps down. Two leads at the same time are safe, since leads
// only read the store.
type LeadElection struct {
	selfRank string

	mu sync.Mutex
	// delay is how long this node waits for another lead before it becomes one. validFor is
	// how long an announcement is valid.
	delay       time.Duration
	validFor    time.Duration
	leads       bool
	announcedAt map[string]time.Time // time of the last announcement, by rank of the lead
	noLeadSince time.Time            // since when no lead is known; zero while one is known
	// lastLead is the rank of the lead that was announced last, and lastHeard the time of
	// that announcement.
	lastLead  string
	lastHeard time.Time
}

// NewLeadElection returns the LeadElection of the node with the rank selfRank. It knows no lead yet.
func NewLeadElection(selfRank string, delay time.Duration) *LeadElection {
	return &LeadElection{selfRank: selfRank, delay: delay, validFor: AnnouncementValidity, announcedAt: make(map[string]time.Time)}
}

// SetTimes changes how long this node waits for another lead before it becomes one, and how
// long an announcement is valid.
func (c *LeadElection) SetTimes(delay, validFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay, c.validFor = delay, validFor
}

// RecordAnnouncement records an announcement: the lead with the rank lead reached the store at now.
func (c *LeadElection) RecordAnnouncement(now time.Time, lead string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announcedAt[lead] = now
	c.lastLead, c.lastHeard = lead, now
}

// LastAnnouncement returns the rank of the lead that was announced last and the time of that
// announcement.
func (c *LeadElection) LastAnnouncement() (lead string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastLead, c.lastHeard
}

// Leads updates and reports whether this node is a lead and must read the store.
func (c *LeadElection) Leads(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := ""
	for lead, at := range c.announcedAt {
		if now.Sub(at) > c.validFor {
			delete(c.announcedAt, lead)
			continue
		}
		if lowest == "" || lead < lowest {
			lowest = lead
		}
	}
	switch {
	case c.leads:
		c.leads = lowest == "" || lowest > c.selfRank
	case lowest != "":
		c.noLeadSince = time.Time{}
	case c.noLeadSince.IsZero():
		c.noLeadSince = now
		c.leads = c.delay == 0
	default:
		c.leads = now.Sub(c.noLeadSince) >= c.delay
	}
	if c.leads {
		c.noLeadSince = time.Time{}
	}
	return c.leads
}

package fleet

import "slices"

// Contacts are the hosts to which a node of a large fleet keeps connections for control
// messages between nodes, such as records and announcements.
type Contacts struct {
	// IsFirst is set if the node itself ranks first in its data centre.
	IsFirst bool
	// Hub is the host that ranks first among the other hosts of the data centre, or empty
	// if none is reachable.
	Hub string
	// RemoteHubs are the hosts that rank first in each other data centre. Only the node that
	// ranks first in its own data centre has them.
	RemoteHubs []string
}

// FindContacts returns the contacts of the host self among all hosts. Hosts that are
// stopping or for which reachable returns false are skipped, and the next in rank takes
// their place. Each node connects to the first host that it can reach, so the connections
// within a data centre form a star, and the centres of the stars connect to each other.
func FindContacts(self *Host, hosts []Host, reachable func(node string) bool) Contacts {
	var c Contacts
	var hub *Host
	centres := make(map[string]*Host)
	for i := range hosts {
		h := &hosts[i]
		if h.Node == self.Node || h.Stopping || !reachable(h.Node) {
			continue
		}
		first := &hub
		if h.DataCentre != self.DataCentre {
			other := centres[h.DataCentre]
			first = &other
		}
		if *first == nil || h.ranksBefore(*first) {
			*first = h
		}
		if h.DataCentre != self.DataCentre {
			centres[h.DataCentre] = *first
		}
	}
	if hub != nil {
		c.Hub = hub.Node
	}
	c.IsFirst = hub == nil || self.ranksBefore(hub)
	if !c.IsFirst {
		return c
	}
	for _, h := range centres {
		c.RemoteHubs = append(c.RemoteHubs, h.Node)
	}
	return c
}

// First returns the host that ranks first, and false without hosts.
func First(hosts []Host) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	return slices.MinFunc(hosts, func(x, y Host) int {
		if x.ranksBefore(&y) {
			return -1
		}
		return 1
	}), true
}

// ranksBefore reports whether h ranks before another host. Larger hosts rank first, and
// hosts of equal size are ordered by name.
func (h *Host) ranksBefore(other *Host) bool {
	if h.Size != other.Size {
		return h.Size > other.Size
	}
	return h.Node < other.Node
}

package fleet

// Contacts are the hosts that a node of a large fleet keeps connections to for what
// nodes tell each other beside calls.
type Contacts struct {
	// First tells that the node itself is the first of its data centre.
	First bool
	// Hub is the first in rank of the other hosts of its data centre, or empty.
	Hub string
	// Centres are the first in rank of each other data centre. Only the node that is
	// the first of its own has them.
	Centres []string
}

// FindContacts returns the contacts of a host among all hosts. Hosts for which
// reachable is false are passed over, so that another takes their place. Every node
// goes to the first that it reaches: the connections of a data centre are a star, and
// the middles of the stars reach each other.
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
	c.First = hub == nil || self.ranksBefore(hub)
	if !c.First {
		return c
	}
	for _, h := range centres {
		c.Centres = append(c.Centres, h.Node)
	}
	return c
}

// ranksBefore reports whether h goes before another host: larger machines do.
func (h *Host) ranksBefore(other *Host) bool {
	if h.Size != other.Size {
		return h.Size > other.Size
	}
	return h.Node < other.Node
}

package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownSubsetSize is how many upstreams of a service a node in a large fleet uses in its own
	// data centre, and otherSubsetSize how many in each other data centre. With these numbers
	// the choice by load is nearly as good as among all upstreams, while a node keeps few
	// connections and gets recent load reports on them.
	ownSubsetSize   = 10
	otherSubsetSize = 2
)

// SubsetOrder is the order in which a node uses the hosts of a service. It has one list for each
// data centre. Each node starts its lists at a different position, so that the nodes of a
// data centre are spread evenly over the upstreams.
type SubsetOrder struct {
	own    []Host
	others [][]Host
}

// NewSubsetOrder returns the order of the node self for the usable hosts of a service. hosts are
// all hosts of the fleet.
func NewSubsetOrder(self string, dataCentre string, hosts, usable []Host) SubsetOrder {
	position, nodes := positionOf(self, dataCentre, hosts)
	centres := make(map[string][]Host)
	for _, h := range usable {
		centres[h.DataCentre] = append(centres[h.DataCentre], h)
	}
	var r SubsetOrder
	for centre, list := range centres {
		slices.SortFunc(list, func(x, y Host) int { return cmp.Compare(nodeHash(x.Node), nodeHash(y.Node)) })
		start := position * len(list) / nodes
		list = append(slices.Clone(list[start:]), list[:start]...)
		if centre == dataCentre {
			r.own = list
			continue
		}
		r.others = append(r.others, list)
	}
	return r
}

// nodeHash returns the sort key of a node: a hash, so that the order is independent of
// how nodes are named.
func nodeHash(node string) uint64 { return xxhash.Sum64String(node) }

// positionOf returns the position of a host among the hosts of its data centre, and their
// number.
func positionOf(self, dataCentre string, hosts []Host) (position, count int) {
	own := nodeHash(self)
	for i := range hosts {
		if hosts[i].DataCentre != dataCentre {
			continue
		}
		count++
		if nodeHash(hosts[i].Node) < own {
			position++
		}
	}
	// The node counts itself even if it is not in the table yet.
	count = max(1, count, position+1)
	return position, count
}

// Subset returns the subset of hosts to which the node sends requests: the first of each
// data centre for which accept returns true. If accept returns true for none, it returns
// all hosts of the service.
func (r *SubsetOrder) Subset(accept func(node string) bool) []Host {
	chosen := make([]Host, 0, ownSubsetSize+otherSubsetSize*len(r.others))
	chosen = appendAccepted(chosen, r.own, ownSubsetSize, accept)
	limit := otherSubsetSize
	if len(r.own) == 0 && len(r.others) > 0 {
		limit = max(otherSubsetSize, (ownSubsetSize+len(r.others)-1)/len(r.others))
	}
	for _, list := range r.others {
		chosen = appendAccepted(chosen, list, limit, accept)
	}
	if len(chosen) > 0 {
		return chosen
	}
	chosen = append(chosen, r.own...)
	for _, list := range r.others {
		chosen = append(chosen, list...)
	}
	return chosen
}

// appendAccepted appends the first hosts of list for which accept returns true to chosen,
// at most limit of them.
func appendAccepted(chosen, list []Host, limit int, accept func(node string) bool) []Host {
	for i := range list {
		if limit == 0 {
			break
		}
		if accept(list[i].Node) {
			chosen = append(chosen, list[i])
			limit--
		}
	}
	return chosen
}

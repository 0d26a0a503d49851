package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownSubset and otherSubset are how many upstreams of a service in a large fleet a
	// node uses in its own data centre and in each other one. With as many, the choice by
	// load is nearly as good as among all, and connections and news are few and fresh.
	ownSubset   = 10
	otherSubset = 2
)

// Ring is the order in which a node uses the hosts of a service: for each data centre
// a list that begins at a place of its own, so that the nodes of a data centre spread
// evenly over the upstreams.
type Ring struct {
	own    []Host
	others [][]Host
}

// NewRing returns the ring of a node for the usable hosts of a service. hosts are all
// hosts.
func NewRing(self string, dataCentre string, hosts, usable []Host) Ring {
	place, callers := placeOf(self, dataCentre, hosts)
	centres := make(map[string][]Host)
	for _, h := range usable {
		centres[h.DataCentre] = append(centres[h.DataCentre], h)
	}
	var r Ring
	for centre, list := range centres {
		slices.SortFunc(list, func(x, y Host) int { return cmp.Compare(mark(x.Node), mark(y.Node)) })
		begin := place * len(list) / callers
		list = append(slices.Clone(list[begin:]), list[:begin]...)
		if centre == dataCentre {
			r.own = list
			continue
		}
		r.others = append(r.others, list)
	}
	return r
}

// mark orders hosts in a way that has nothing to do with their names.
func mark(node string) uint64 { return xxhash.Sum64String(node) }

// placeOf returns the place of a host among those of its data centre, and their number.
func placeOf(self, dataCentre string, hosts []Host) (place, count int) {
	own := mark(self)
	for i := range hosts {
		if hosts[i].DataCentre != dataCentre {
			continue
		}
		count++
		if mark(hosts[i].Node) < own {
			place++
		}
	}
	// A node that is not in the table yet counts as well.
	count = max(1, count, place+1)
	return place, count
}

// Choose returns the hosts to choose from: the first of each data centre for which
// good is true, and all of the service where there are none.
func (r *Ring) Choose(good func(node string) bool) []Host {
	chosen := make([]Host, 0, ownSubset+otherSubset*len(r.others))
	chosen = appendGood(chosen, r.own, ownSubset, good)
	most := otherSubset
	if len(r.own) == 0 && len(r.others) > 0 {
		most = max(otherSubset, (ownSubset+len(r.others)-1)/len(r.others))
	}
	for _, list := range r.others {
		chosen = appendGood(chosen, list, most, good)
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

func appendGood(chosen, list []Host, most int, good func(node string) bool) []Host {
	for i := range list {
		if most == 0 {
			break
		}
		if good(list[i].Node) {
			chosen = append(chosen, list[i])
			most--
		}
	}
	return chosen
}

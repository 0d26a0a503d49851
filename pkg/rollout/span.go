package rollout

import (
	"slices"
	"sort"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Span is an inclusive range of node ids within one data centre. A push hands
// each relay the span that it covers, so that two nodes with different views of
// the membership neither skip nor repeat a range.
type Span struct {
	First model.NodeID `cbor:"1,keyasint"`
	Last  model.NodeID `cbor:"2,keyasint"`
}

// Contains reports whether id lies in the span.
func (s Span) Contains(id model.NodeID) bool { return s.First <= id && id <= s.Last }

// Empty reports whether the span holds no id at all.
func (s Span) Empty() bool { return s.First == "" && s.Last == "" }

// Whole returns the span of all the sorted ids.
func Whole(sorted []model.NodeID) Span {
	if len(sorted) == 0 {
		return Span{}
	}
	return Span{First: sorted[0], Last: sorted[len(sorted)-1]}
}

// Branch is the part of a push that one relay takes over: the first member that
// acknowledges it.
type Branch []model.NodeID

// Span returns the range of ids of the branch.
func (b Branch) Span() Span { return Whole(b) }

// Branches divides the sorted ids that lie in the span, without self, into
// about fanout branches of similar size. No branch's span contains self, so
// that a push never comes back to where it has been.
func Branches(sorted []model.NodeID, s Span, self model.NodeID, fanout int) []Branch {
	if s.Empty() {
		return nil
	}
	from := sort.Search(len(sorted), func(i int) bool { return sorted[i] >= s.First })
	to := sort.Search(len(sorted), func(i int) bool { return sorted[i] > s.Last })
	if from >= to {
		return nil
	}
	return branches(sorted[from:to], self, fanout)
}

// branches divides ids, cut where self stands.
func branches(ids []model.NodeID, self model.NodeID, fanout int) []Branch {
	at, found := slices.BinarySearch(ids, self)
	below, above := ids[:at], ids[at:]
	if found {
		above = ids[at+1:]
	}
	total := len(below) + len(above)
	if total == 0 {
		return nil
	}
	share := (fanout*len(below) + total/2) / total
	if len(below) > 0 {
		share = max(share, 1)
	}
	return append(split(below, share), split(above, max(fanout-share, 1))...)
}

// split divides ids into at most n branches whose sizes differ by at most one.
func split(ids []model.NodeID, n int) []Branch {
	n = min(n, len(ids))
	list := make([]Branch, 0, n)
	for i := range n {
		from := i * len(ids) / n
		to := (i + 1) * len(ids) / n
		list = append(list, Branch(ids[from:to]))
	}
	return list
}

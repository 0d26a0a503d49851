package rollout

import (
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

// Within returns the sorted ids that lie in s, without self.
func Within(sorted []model.NodeID, s Span, self model.NodeID) []model.NodeID {
	if s.Empty() {
		return nil
	}
	from := sort.Search(len(sorted), func(i int) bool { return sorted[i] >= s.First })
	var ids []model.NodeID
	for _, id := range sorted[from:] {
		if id > s.Last {
			break
		}
		if id != self {
			ids = append(ids, id)
		}
	}
	return ids
}

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

// Split divides the sorted ids into at most fanout branches whose sizes differ
// by at most one.
func Split(sorted []model.NodeID, fanout int) []Branch {
	if fanout > len(sorted) {
		fanout = len(sorted)
	}
	branches := make([]Branch, 0, fanout)
	for i := range fanout {
		from := i * len(sorted) / fanout
		to := (i + 1) * len(sorted) / fanout
		branches = append(branches, Branch(sorted[from:to]))
	}
	return branches
}

package rollout

import (
	"sort"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// MaxLaggards bounds the laggards named in one summary.
const MaxLaggards = 16

// ReasonNoReport marks a node that has not reported to its parent.
const ReasonNoReport = "no-report"

// ReasonBehind marks a node that reports an older version.
const ReasonBehind = "behind"

// Summary is the state of a subtree of one data centre.
type Summary struct {
	// Version is the newest version known in the subtree.
	Version model.Version `cbor:"1,keyasint"`
	// Applied is the number of nodes of the subtree that have applied Version.
	Applied int `cbor:"2,keyasint"`
	// Laggards names some of those that have not.
	Laggards []Laggard `cbor:"3,keyasint,omitempty"`
}

// Tally sums up the reports of a node's children. A child's newest report
// replaces its last one, so that repeated reports change nothing.
type Tally struct {
	self     model.NodeID
	children map[model.NodeID]Summary
}

// NewTally returns an empty tally of the given node.
func NewTally(self model.NodeID) *Tally {
	return &Tally{self: self, children: make(map[model.NodeID]Summary)}
}

// Report stores the summary of a child and tells whether it changed anything.
func (t *Tally) Report(child model.NodeID, s Summary) bool {
	if len(s.Laggards) > MaxLaggards {
		s.Laggards = s.Laggards[:MaxLaggards]
	}
	old, ok := t.children[child]
	if ok && old.Version > s.Version {
		return false
	}
	t.children[child] = s
	return !ok || !sameSummary(old, s)
}

// Keep forgets every child that is not in the list.
func (t *Tally) Keep(children []model.NodeID) {
	keep := make(map[model.NodeID]bool, len(children))
	for _, id := range children {
		keep[id] = true
	}
	for id := range t.children {
		if !keep[id] {
			delete(t.children, id)
		}
	}
}

// Complete reports whether every listed child has reported version v or newer.
func (t *Tally) Complete(children []model.NodeID, v model.Version) bool {
	for _, id := range children {
		s, ok := t.children[id]
		if !ok || s.Version < v {
			return false
		}
	}
	return true
}

// Sum returns the summary of the subtree. own is the version that this node has
// applied, refusal the reason for which it refused a newer one, or empty.
func (t *Tally) Sum(own model.Version, refusal string, children []model.NodeID) Summary {
	sum := Summary{Version: own}
	for _, id := range children {
		if s, ok := t.children[id]; ok && s.Version > sum.Version {
			sum.Version = s.Version
		}
	}
	if own == sum.Version && own > 0 {
		sum.Applied = 1
	}
	if own < sum.Version || refusal != "" {
		sum.Laggards = append(sum.Laggards, Laggard{Node: t.self, Version: own, Reason: laggardReason(refusal)})
	}
	for _, id := range children {
		t.addChild(&sum, id)
	}
	sum.Laggards = boundLaggards(sum.Laggards)
	return sum
}

func (t *Tally) addChild(sum *Summary, id model.NodeID) {
	s, ok := t.children[id]
	if !ok {
		sum.Laggards = append(sum.Laggards, Laggard{Node: id, Reason: ReasonNoReport})
		return
	}
	sum.Laggards = append(sum.Laggards, s.Laggards...)
	if s.Version < sum.Version {
		sum.Laggards = append(sum.Laggards, Laggard{Node: id, Version: s.Version, Reason: ReasonBehind})
		return
	}
	sum.Applied += s.Applied
}

func laggardReason(refusal string) string {
	if refusal == "" {
		return ReasonBehind
	}
	return refusal
}

// boundLaggards sorts the laggards by node, keeps one entry for each node, and
// prefers entries that name a refusal.
func boundLaggards(list []Laggard) []Laggard {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Node != list[j].Node {
			return list[i].Node < list[j].Node
		}
		return refused(list[i]) && !refused(list[j])
	})
	var out []Laggard
	for _, l := range list {
		if len(out) > 0 && out[len(out)-1].Node == l.Node {
			continue
		}
		out = append(out, l)
	}
	sort.SliceStable(out, func(i, j int) bool { return refused(out[i]) && !refused(out[j]) })
	if len(out) > MaxLaggards {
		out = out[:MaxLaggards]
	}
	return out
}

func refused(l Laggard) bool { return l.Reason != ReasonNoReport && l.Reason != ReasonBehind }

func sameSummary(a, b Summary) bool {
	if a.Version != b.Version || a.Applied != b.Applied || len(a.Laggards) != len(b.Laggards) {
		return false
	}
	for i := range a.Laggards {
		if a.Laggards[i] != b.Laggards[i] {
			return false
		}
	}
	return true
}

// Equal reports whether both summaries say the same.
func (s Summary) Equal(other Summary) bool { return sameSummary(s, other) }

// Same reports whether both say the same of the data centre, whoever said it
// and when.
func (p Progress) Same(other Progress) bool {
	return p.DataCentre == other.DataCentre && p.Members == other.Members &&
		sameSummary(p.summary(), other.summary())
}

func (p Progress) summary() Summary {
	return Summary{Version: p.Version, Applied: p.Applied, Laggards: p.Laggards}
}

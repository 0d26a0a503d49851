package order

import (
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Locate returns the node that owns key k according to table t. deadSince
// tells for a node that has ended at which time this was first seen; ok is
// false for a node that may be alive.
//
// A key that was born before the end of its owner was seen may have run there,
// so its answer is unknown. A younger key is answered not run, which holds for
// this attempt in any case: it is sent nowhere.
func Locate(t Table, k Key, deadSince func(model.NodeID) (seen Birth, ok bool)) Place {
	r, found := t.Find(k)
	if !found {
		r = t.Last(k.Shard)
		if k.Birth < r.Until {
			return Place{Reason: reason.KeyExpired, Effect: reason.Unknown}
		}
	}
	seen, dead := deadSince(r.Owner.Node)
	switch {
	case !dead:
		return Place{Node: r.Owner.Node} // It has extended its range, or refuses.
	case k.Birth <= seen:
		return Place{Reason: reason.KeyOutcome, Effect: reason.Unknown}
	}
	return Place{Reason: reason.KeyUnowned, Effect: reason.NotRun, RetryAfter: retryUnowned}
}

package order

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// ErrTable is returned for a table that breaks a rule of its form.
var ErrTable = errors.New("order: bad owner table")

// Owner is one run of a node process. A process that starts again has another
// instance and owns nothing that the former one owned.
type Owner struct {
	Node     model.NodeID `json:"node" cbor:"1,keyasint"`
	Instance string       `json:"instance" cbor:"2,keyasint"`
}

// Range gives the keys of a shard that were born in [From, Until) to one owner.
type Range struct {
	From  Birth `json:"from" cbor:"1,keyasint"`
	Until Birth `json:"until" cbor:"2,keyasint"`
	Owner Owner `json:"owner" cbor:"3,keyasint"`
	// Transfer names the hand-over in which the owner received the records of the
	// range; empty if the range was the owner's from the start.
	Transfer string `json:"transfer,omitempty" cbor:"4,keyasint,omitempty"`
}

func (r Range) contains(b Birth) bool { return b >= r.From && b < r.Until }

// Table tells who owns the birth-timed keys of one service. It is the value of
// one object in platform.CollectionOwners; every change is a conditional update.
//
// A birth that was once given to an owner is given to another one only by that
// owner itself. This is what keeps a paused or cut-off owner harmless.
type Table struct {
	Service string `json:"service" cbor:"1,keyasint"`
	// Version grows by one with every update.
	Version uint64 `json:"version" cbor:"2,keyasint"`
	// Operation identifies the last update, so that a lost answer can be resolved.
	Operation string `json:"operation" cbor:"3,keyasint"`
	// Shards holds the ranges of each shard, contiguous and in order of birth.
	Shards [][]Range `json:"shards" cbor:"4,keyasint"`
}

// maxRanges bounds the ranges that a shard remembers. Births before the oldest
// one are never run again.
const maxRanges = 16

// NewTable returns a table whose keys start at birth from and have no owner yet.
func NewTable(service string, from Birth) Table {
	t := Table{Service: service, Shards: make([][]Range, Shards)}
	for i := range t.Shards {
		t.Shards[i] = []Range{{From: from, Until: from}}
	}
	return t
}

// Validate reports the first place where t breaks the form of a table.
func (t Table) Validate() error {
	if len(t.Shards) != Shards {
		return fmt.Errorf("table of %q has %d shards, not %d: %w", t.Service, len(t.Shards), Shards, ErrTable)
	}
	for i, ranges := range t.Shards {
		if len(ranges) == 0 {
			return fmt.Errorf("table of %q has no owner for shard %d: %w", t.Service, i, ErrTable)
		}
		for j, r := range ranges {
			if r.Until < r.From || j > 0 && ranges[j-1].Until != r.From {
				return fmt.Errorf("table of %q, shard %d: range %d does not follow the one before: %w", t.Service, i, j, ErrTable)
			}
		}
	}
	return nil
}

// Find returns the range that holds key k. ok is false for a birth before the
// oldest or after the newest range.
func (t Table) Find(k Key) (r Range, ok bool) {
	ranges := t.Shards[k.Shard]
	for i := len(ranges) - 1; i >= 0; i-- {
		if ranges[i].contains(k.Birth) {
			return ranges[i], true
		}
	}
	return Range{}, false
}

// Last returns the newest range of a shard.
func (t Table) Last(shard int) Range {
	ranges := t.Shards[shard]
	return ranges[len(ranges)-1]
}

// Load counts the shards whose newest range each owner has.
func (t Table) Load() map[Owner]int {
	load := make(map[Owner]int)
	for i := range t.Shards {
		load[t.Last(i).Owner]++
	}
	return load
}

// Extension holds what an extension of ranges changes in a table.
type Extension struct {
	Version   uint64  `cbor:"1,keyasint"`
	Operation string  `cbor:"2,keyasint"`
	Untils    []Birth `cbor:"3,keyasint"`
	// Layout is the digest of everything else in the table.
	Layout uint64 `cbor:"4,keyasint"`
}

// Extension returns the part of t that extensions change.
func (t Table) Extension() Extension {
	e := Extension{Version: t.Version, Operation: t.Operation, Untils: make([]Birth, len(t.Shards)), Layout: t.Layout()}
	for i := range t.Shards {
		e.Untils[i] = t.Last(i).Until
	}
	return e
}

// Extended returns t with an extension applied. It returns ErrTable if the
// extension is that of a table with another layout.
func (t Table) Extended(e Extension) (Table, error) {
	if len(e.Untils) != len(t.Shards) || e.Layout != t.Layout() {
		return Table{}, fmt.Errorf("extension of %q does not fit version %d: %w", t.Service, t.Version, ErrTable)
	}
	next := t.clone()
	next.Version, next.Operation = e.Version, e.Operation
	for i, ranges := range next.Shards {
		ranges[len(ranges)-1].Until = e.Untils[i]
	}
	return next, nil
}

// Layout returns a digest of everything in t that extensions leave alone.
func (t Table) Layout() uint64 {
	h := xxhash.New()
	var number [8]byte
	for _, ranges := range t.Shards {
		for j, r := range ranges {
			until := r.Until
			if j == len(ranges)-1 {
				until = -1
			}
			for _, b := range []Birth{r.From, until} {
				binary.LittleEndian.PutUint64(number[:], uint64(b))
				_, _ = h.Write(number[:])
			}
			for _, text := range []string{string(r.Owner.Node), r.Owner.Instance, r.Transfer} {
				_, _ = h.WriteString(text)
				_, _ = h.Write([]byte{0})
			}
		}
	}
	return h.Sum64()
}

// clone returns a copy that shares no range with t.
func (t Table) clone() Table {
	shards := make([][]Range, len(t.Shards))
	for i, ranges := range t.Shards {
		shards[i] = append([]Range(nil), ranges...)
	}
	t.Shards = shards
	return t
}

// Lookahead says how far ahead of now ranges reach. Some shards have a short
// look-ahead, so that a successor takes over soon after a crash; the others
// have a long one, so that orders go on while the platform is down.
// docs/design/at-most-once.md weighs the shares.
type Lookahead struct {
	// Long and Short are the look-ahead of the two kinds of shard.
	Long, Short time.Duration
	// ShortEvery makes every n-th shard a short one; zero means none.
	ShortEvery int
	// Renew is the part of the look-ahead that may pass before it is extended.
	Renew time.Duration
}

// DefaultLookahead covers an outage of an hour on one half of the shards, and a
// crash within half a minute on the other half.
func DefaultLookahead() Lookahead {
	return Lookahead{Long: 75 * time.Minute, Short: 30 * time.Second, ShortEvery: 2, Renew: 10 * time.Second}
}

// Of returns the look-ahead of a shard.
func (l Lookahead) Of(shard int) time.Duration {
	if l.ShortEvery > 0 && shard%l.ShortEvery == 0 {
		return l.Short
	}
	return l.Long
}

// Extend returns t with the ranges of live owners extended, and with one of
// the takers for each shard whose owner is not live and whose range has ended.
// It takes the keys born at or after the end of the former owner's range.
// changed is false if nothing has to be written yet.
func (t Table) Extend(now Birth, l Lookahead, live, takers []Owner) (next Table, changed bool) {
	next = t.clone()
	isLive := make(map[Owner]bool, len(live))
	for _, o := range live {
		isLive[o] = true
	}
	due := false
	for i := range next.Shards {
		last := next.Last(i)
		until := now.Add(l.Of(i))
		switch {
		case isLive[last.Owner] && last.Until < until:
			next.Shards[i][len(next.Shards[i])-1].Until = until
			due = due || last.Until < until.Add(-l.Renew)
		case !isLive[last.Owner] && last.Until <= now && len(takers) > 0:
			next.append(i, Range{From: last.Until, Until: until, Owner: next.leastLoaded(takers)})
			due = true
		}
	}
	return next, due
}

// leastLoaded returns the one of owners with the fewest shards.
func (t Table) leastLoaded(owners []Owner) Owner {
	load := t.Load()
	best := owners[0]
	for _, o := range owners[1:] {
		if load[o] < load[best] {
			best = o
		}
	}
	return best
}

// append adds the newest range of a shard and forgets the oldest over the bound.
func (t Table) append(shard int, r Range) {
	ranges := t.Shards[shard]
	if last := len(ranges) - 1; ranges[last].From == ranges[last].Until {
		ranges = ranges[:last] // An empty range holds no key.
	}
	ranges = append(ranges, r)
	if len(ranges) > maxRanges {
		ranges = ranges[len(ranges)-maxRanges:]
	}
	t.Shards[shard] = ranges
}

// Cut returns t with the newest ranges of owner from ended at cuts[shard] and
// given to the takers from there on. Only owner from itself may do this, after
// it has stopped taking keys born at or after the cut.
func (t Table) Cut(from Owner, cuts map[int]Birth, l Lookahead, takers []Owner) (next Table, changed bool) {
	if len(takers) == 0 {
		return t, false
	}
	next = t.clone()
	for i := range next.Shards {
		last := next.Last(i)
		cut, ok := cuts[i]
		if !ok || last.Owner != from || cut < last.From || cut >= last.Until {
			continue
		}
		next.Shards[i][len(next.Shards[i])-1].Until = cut
		next.append(i, Range{From: cut, Until: cut.Add(l.Of(i)), Owner: next.leastLoaded(takers)})
		changed = true
	}
	return next, changed
}

// Excess returns the shards that owner o should give to the takers, so that no
// taker has many fewer shards than o. It is empty if o has a fair share.
func (t Table) Excess(o Owner, takers []Owner) map[int]bool {
	excess := make(map[int]bool)
	if len(takers) == 0 {
		return excess
	}
	fair := (len(t.Shards) + len(takers) - 1) / len(takers)
	load := t.Load()
	if load[o] <= fair+1 {
		return excess
	}
	for i := range t.Shards {
		if t.Last(i).Owner == o && len(excess) < load[o]-fair {
			excess[i] = true
		}
	}
	return excess
}

// Reassign returns t with every range of owner from in the given shards given
// to owner to, which holds the records under the name of the transfer. Only
// owner from may do this, after it has stopped taking any key of the shards.
func (t Table) Reassign(from, to Owner, shards map[int]bool, transfer string) (next Table, changed bool) {
	next = t.clone()
	for i, ranges := range next.Shards {
		if !shards[i] {
			continue
		}
		for j := range ranges {
			if ranges[j].Owner == from {
				ranges[j].Owner = to
				ranges[j].Transfer = transfer
				changed = true
			}
		}
	}
	return next, changed
}

// Prune returns t without the ranges that ended before the oldest birth that
// is still remembered. The newest range of each shard stays.
func (t Table) Prune(oldest Birth) Table {
	next := t.clone()
	for i, ranges := range next.Shards {
		for len(ranges) > 1 && ranges[0].Until <= oldest {
			ranges = ranges[1:]
		}
		next.Shards[i] = ranges
	}
	return next
}

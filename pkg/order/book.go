package order

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Limits bounds the records of a node and the births that it takes.
type Limits struct {
	// Retention is the age at which a record is forgotten. Keys born earlier are
	// never run.
	Retention time.Duration
	// MaxAhead is how far a birth may lie in the future of this host's clock.
	MaxAhead time.Duration
	// MaxRecords bounds the records, MaxBytes the outcomes kept in them.
	MaxRecords int
	MaxBytes   int
	// MaxOutcomeBytes bounds one stored outcome; of a larger one only the status
	// is kept.
	MaxOutcomeBytes int
}

// DefaultLimits keeps an hour of orders in at most about 48 MB.
func DefaultLimits() Limits {
	return Limits{
		Retention:       time.Hour,
		MaxAhead:        30 * time.Second,
		MaxRecords:      64 << 10,
		MaxBytes:        32 << 20,
		MaxOutcomeBytes: 64 << 10,
	}
}

// retryUnowned is when a caller should come back while owners change.
const retryUnowned = 2 * time.Second

// Book holds the ranges and records of one owner for one service. It is not
// safe for concurrent use.
type Book struct {
	self   Owner
	limits Limits
	usage  *Usage
	ranges [][]Range
	// closed marks shards of which this owner takes no further key born at or
	// after the given birth, until a table newer than baseVersion is adopted.
	closed      map[int]Birth
	baseVersion uint64
	newest      []Birth
	floor       Birth
	records     map[ID]*Record
	byMinute    map[int64]map[ID]struct{}
	table       Table
	started     Birth
	frozen      bool
	doubt       bool
}

// Usage counts what the books of one node hold together.
type Usage struct {
	Records int
	Bytes   int
}

// NewBook returns an empty book of a process that started at the given time.
// The books of a node share usage.
func NewBook(self Owner, started Birth, limits Limits, usage *Usage) *Book {
	return &Book{
		self:     self,
		started:  started,
		limits:   limits,
		usage:    usage,
		ranges:   make([][]Range, Shards),
		closed:   make(map[int]Birth),
		newest:   make([]Birth, Shards),
		records:  make(map[ID]*Record),
		byMinute: make(map[int64]map[ID]struct{}),
	}
}

// Version returns the version of the adopted table.
func (b *Book) Version() uint64 { return b.table.Version }

// Adopt takes the ranges of this owner from a confirmed table and reports
// whether the table was newer than the one adopted before.
func (b *Book) Adopt(t Table) bool {
	if t.Version <= b.table.Version || t.Validate() != nil {
		return false
	}
	for i, ranges := range t.Shards {
		b.ranges[i] = b.ranges[i][:0]
		for _, r := range ranges {
			if r.Owner == b.self {
				b.ranges[i] = append(b.ranges[i], r)
			}
		}
	}
	b.table = t
	if t.Version > b.baseVersion {
		clear(b.closed)
		b.doubt = false
	}
	return true
}

// Close stops taking keys of the shards that are born at or after cuts[shard],
// until a table newer than the adopted one is adopted. It must precede the
// update that gives these keys to another owner. A shard that is closed already
// stays closed from the earlier birth on, which an update may still give away.
func (b *Book) Close(cuts map[int]Birth) {
	b.baseVersion = b.table.Version
	for shard, cut := range cuts {
		if earlier, ok := b.closed[shard]; ok {
			cut = min(cut, earlier)
		}
		b.closed[shard] = cut
	}
}

// Doubt tells that the update after Close may or may not take effect, now or
// later. Only a newer table opens the shards again.
func (b *Book) Doubt() { b.doubt = true }

// Freeze stops taking keys for good, before the records are handed over.
func (b *Book) Freeze() { b.frozen = true }

// Reopen undoes Close after an update that certainly had no effect. It does
// nothing while an earlier update is in doubt.
func (b *Book) Reopen() {
	if !b.doubt {
		clear(b.closed)
	}
}

// Owned returns the shards in which this owner has a range.
func (b *Book) Owned() map[int]bool {
	owned := make(map[int]bool)
	for i, ranges := range b.ranges {
		if len(ranges) > 0 {
			owned[i] = true
		}
	}
	return owned
}

// Cuts returns, for each shard whose newest range is this owner's, a birth at
// which its range may end: not before at, and after every key that it has taken.
func (b *Book) Cuts(t Table, at Birth) map[int]Birth {
	cuts := make(map[int]Birth)
	for i := range t.Shards {
		if t.Last(i).Owner == b.self {
			cuts[i] = max(at, b.newest[i]+1, t.Last(i).From)
		}
	}
	return cuts
}

// Owns reports whether key k may run under this owner.
func (b *Book) Owns(k Key) bool {
	if b.frozen {
		return false
	}
	if cut, ok := b.closed[k.Shard]; ok && k.Birth >= cut {
		return false
	}
	for _, r := range b.ranges[k.Shard] {
		if r.contains(k.Birth) {
			return true
		}
	}
	return false
}

// Begin decides on a birth-timed key at time now and records it when it may run.
func (b *Book) Begin(now Birth, k Key, digest [32]byte) Decision {
	b.Expire(now)
	if r, ok := b.records[k.ID]; ok {
		return r.decide(digest)
	}
	if ahead := k.Birth.Sub(now); ahead > b.limits.MaxAhead {
		return Decision{Verdict: VerdictRefuse, Reason: reason.KeyMalformed, Effect: reason.NotRun, RetryAfter: ahead - b.limits.MaxAhead}
	}
	if k.Birth < b.floor {
		return Decision{Verdict: VerdictRefuse, Reason: reason.KeyExpired, Effect: reason.Unknown}
	}
	if !b.Owns(k) {
		return b.refuseUnowned(k)
	}
	if !b.Admit(k, k.Birth, digest) {
		return Decision{Verdict: VerdictRefuse, Reason: reason.KeyStoreFull, Effect: reason.NotRun, RetryAfter: retryUnowned}
	}
	b.newest[k.Shard] = max(b.newest[k.Shard], k.Birth)
	return Decision{Verdict: VerdictRun}
}

// refuseUnowned answers for a key of another owner. The former run of this
// process may have run a key that was born before this run started.
func (b *Book) refuseUnowned(k Key) Decision {
	if len(b.table.Shards) > 0 && k.Birth <= b.started {
		r, ok := b.table.Find(k)
		if ok && r.Owner.Node == b.self.Node && r.Owner.Instance != b.self.Instance {
			return Decision{Verdict: VerdictRefuse, Reason: reason.KeyOutcome, Effect: reason.Unknown}
		}
	}
	return Decision{Verdict: VerdictRefuse, Reason: reason.KeyUnowned, Effect: reason.NotRun, RetryAfter: retryUnowned}
}

// Lookup decides on a key that is already in the records.
func (b *Book) Lookup(id ID, digest [32]byte) (Decision, bool) {
	r, ok := b.records[id]
	if !ok {
		return Decision{}, false
	}
	return r.decide(digest), true
}

// Admit records a running order born at birth. It returns false, without
// effect, if the records are full.
func (b *Book) Admit(k Key, birth Birth, digest [32]byte) bool {
	if b.usage.Records >= b.limits.MaxRecords || b.usage.Bytes >= b.limits.MaxBytes {
		return false
	}
	b.insert(&Record{ID: k.ID, Birth: birth, Shard: k.Shard, Digest: digest, State: StateRunning})
	return true
}

func (b *Book) insert(r *Record) {
	b.records[r.ID] = r
	m := minuteOf(r.Birth)
	if b.byMinute[m] == nil {
		b.byMinute[m] = make(map[ID]struct{})
	}
	b.byMinute[m][r.ID] = struct{}{}
	b.usage.Records++
	b.usage.Bytes += r.Outcome.Size()
}

// Finish stores the outcome of an order that ran. An outcome over the bound is
// kept as its status alone and answered as run with reason key-outcome-unknown.
func (b *Book) Finish(id ID, o Outcome) {
	r, ok := b.records[id]
	if !ok {
		return
	}
	r.State = StateFinished
	r.Outcome = &o
	if o.Size() > b.limits.MaxOutcomeBytes || b.usage.Bytes+o.Size() > b.limits.MaxBytes {
		r.Outcome = nil
	}
	b.usage.Bytes += r.Outcome.Size()
}

// NotRun forgets an order that never reached an upstream; its key may run
// later. The claim of an opaque key stays.
func (b *Book) NotRun(k Key) {
	r, ok := b.records[k.ID]
	if !ok || r.State != StateRunning {
		return
	}
	if k.Timed {
		b.remove(r)
		return
	}
	r.State = StateClaimed
}

// Resume runs an opaque order whose key is claimed but which has not run. It
// returns false if the key is not in that state or the digest is another one.
func (b *Book) Resume(id ID, digest [32]byte) bool {
	r, ok := b.records[id]
	if !ok || r.State != StateClaimed || r.Digest != digest {
		return false
	}
	r.State = StateRunning
	return true
}

// Lost records that an order may have run without a whole answer.
func (b *Book) Lost(id ID) {
	if r, ok := b.records[id]; ok && r.State == StateRunning {
		r.State = StateLost
	}
}

func (b *Book) remove(r *Record) {
	delete(b.records, r.ID)
	delete(b.byMinute[minuteOf(r.Birth)], r.ID)
	b.usage.Records--
	b.usage.Bytes -= r.Outcome.Size()
}

// Expire forgets records older than the retention. The oldest birth that is
// still remembered only grows, whatever the clock does.
func (b *Book) Expire(now Birth) {
	floor := now.Add(-b.limits.Retention)
	if floor <= b.floor {
		return
	}
	from, to := minuteOf(b.floor), minuteOf(floor)
	b.floor = floor
	if from == to {
		return
	}
	for m, ids := range b.byMinute {
		if m >= to {
			continue
		}
		for id := range ids {
			b.remove(b.records[id])
		}
		delete(b.byMinute, m)
	}
}

// Export returns the records of the given shards and the oldest birth that they
// cover. Running orders are exported as lost, because this owner's later word
// on them does not reach the successor.
func (b *Book) Export(shards map[int]bool) ([]Record, Birth) {
	var records []Record
	for _, r := range b.records {
		if !shards[r.Shard] {
			continue
		}
		c := *r
		if c.State == StateRunning {
			c.State = StateLost
		}
		records = append(records, c)
	}
	return records, b.floor
}

// Import adds records that a former owner handed over. It returns false,
// without effect, if they do not fit or if this book is frozen: it may have
// handed its own records over already, and the ranges would follow without
// these.
func (b *Book) Import(records []Record, floor Birth) bool {
	if b.frozen {
		return false
	}
	size := 0
	for i := range records {
		size += records[i].Outcome.Size()
	}
	if b.usage.Records+len(records) > b.limits.MaxRecords || b.usage.Bytes+size > b.limits.MaxBytes {
		return false
	}
	for i := range records {
		r := records[i]
		if old, ok := b.records[r.ID]; ok {
			b.remove(old)
		}
		b.insert(&r)
		b.newest[r.Shard] = max(b.newest[r.Shard], r.Birth)
	}
	b.floor = max(b.floor, floor)
	return true
}

// Running counts the orders that have not ended.
func (b *Book) Running() int {
	n := 0
	for _, r := range b.records {
		if r.State == StateRunning {
			n++
		}
	}
	return n
}

func minuteOf(b Birth) int64 { return int64(b) / int64(time.Minute/time.Millisecond) }

package membership

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Step numbers the rounds of an anti-entropy exchange. Each narrows what
// differs: whole table, data centres, buckets, records.
type Step uint8

// The steps, each with what the request carries and what the reply does.
const (
	// StepDigest: the digest of the table; the digests of the data centres.
	StepDigest Step = 1
	// StepBuckets: the bucket digests of data centres that differ; the summaries
	// of the buckets that differ.
	StepBuckets Step = 2
	// StepEntries: entries that the peer lacks and ids that it shall send; these
	// entries.
	StepEntries Step = 3
	// StepDone ends an exchange. It is never sent in a request.
	StepDone Step = 4
)

// Exchange is one request or reply of an anti-entropy exchange.
type Exchange struct {
	Step      Step            `cbor:"1,keyasint"`
	Digest    uint64          `cbor:"2,keyasint,omitempty"`
	Centres   []CentreDigest  `cbor:"3,keyasint,omitempty"`
	Buckets   []CentreBuckets `cbor:"4,keyasint,omitempty"`
	Covered   []BucketRef     `cbor:"5,keyasint,omitempty"`
	Summaries []Summary       `cbor:"6,keyasint,omitempty"`
	Entries   []Entry         `cbor:"7,keyasint,omitempty"`
	Want      []model.NodeID  `cbor:"8,keyasint,omitempty"`
}

// CentreDigest is the digest of one data centre.
type CentreDigest struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
	Digest     uint64           `cbor:"2,keyasint"`
}

// CentreBuckets holds the bucket digests of one data centre.
type CentreBuckets struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
	Digests    []uint64         `cbor:"2,keyasint"`
}

// BucketRef names a bucket whose members are all in the summaries.
type BucketRef struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
	Bucket     int              `cbor:"2,keyasint"`
}

// Summary is what a node knows of a member, without the record.
type Summary struct {
	ID          model.NodeID `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Revision    uint64       `cbor:"3,keyasint"`
	Status      Status       `cbor:"4,keyasint"`
}

// Validate checks the bounds of the message.
func (x *Exchange) Validate() error {
	switch {
	case x.Step < StepDigest || x.Step > StepDone:
		return fmt.Errorf("exchange has unknown step %d: %w", x.Step, ErrInvalid)
	case len(x.Centres) > maxCentres || len(x.Buckets) > maxCentres:
		return fmt.Errorf("exchange has over %d data centres: %w", maxCentres, ErrInvalid)
	case len(x.Covered) > maxCentres*buckets:
		return fmt.Errorf("exchange covers %d buckets: %w", len(x.Covered), ErrInvalid)
	case len(x.Summaries) > maxSummaries:
		return fmt.Errorf("exchange has %d summaries: %w", len(x.Summaries), ErrInvalid)
	case len(x.Want) > MaxEntries:
		return fmt.Errorf("exchange wants %d entries: %w", len(x.Want), ErrInvalid)
	}
	for _, b := range x.Buckets {
		if len(b.Digests) != buckets {
			return fmt.Errorf("data centre %.32q has %d buckets: %w", b.DataCentre, len(b.Digests), ErrInvalid)
		}
	}
	for _, s := range x.Summaries {
		if rank(s.Status) < 0 {
			return fmt.Errorf("status %.32q of %.32q does not travel: %w", s.Status, s.ID, ErrInvalid)
		}
	}
	return validateEntries(x.Entries)
}

// StartExchange returns the first request of an exchange.
func (t *Table) StartExchange() Exchange {
	return Exchange{Step: StepDigest, Digest: t.digest}
}

// Respond answers a peer's request. The news are what its entries taught.
func (t *Table) Respond(now time.Time, x Exchange) (Exchange, News) {
	switch x.Step {
	case StepDigest:
		if x.Digest == t.digest {
			return Exchange{Step: StepDone}, News{}
		}
		return Exchange{Step: StepDigest, Centres: t.centreDigests()}, News{}
	case StepBuckets:
		return t.summarize(x.Buckets), News{}
	case StepEntries:
		news := t.Apply(now, x.Entries)
		return Exchange{Step: StepDone, Entries: t.entries(now, x.Want)}, news
	}
	return Exchange{Step: StepDone}, News{}
}

// Continue takes the peer's reply and returns the next request. The exchange is
// over when its step is StepDone.
func (t *Table) Continue(now time.Time, reply Exchange) (Exchange, News) {
	switch reply.Step {
	case StepDigest:
		return t.compareCentres(reply.Centres), News{}
	case StepBuckets:
		return t.compareSummaries(now, reply), News{}
	}
	return Exchange{Step: StepDone}, t.Apply(now, reply.Entries)
}

func (t *Table) centreDigests() []CentreDigest {
	digests := make([]CentreDigest, 0, len(t.centres))
	for dc, c := range t.centres {
		digests = append(digests, CentreDigest{DataCentre: dc, Digest: c.digest})
	}
	return digests
}

// compareCentres returns the buckets of the data centres that differ.
func (t *Table) compareCentres(theirs []CentreDigest) Exchange {
	x := Exchange{Step: StepBuckets}
	known := make(map[model.DataCentre]bool, len(theirs))
	for _, c := range theirs {
		known[c.DataCentre] = true
		ours := t.bucketsOf(c.DataCentre)
		if ours.digest != c.Digest {
			x.Buckets = append(x.Buckets, CentreBuckets{DataCentre: c.DataCentre, Digests: ours.buckets[:]})
		}
	}
	for dc, c := range t.centres {
		if !known[dc] && c.digest != 0 {
			x.Buckets = append(x.Buckets, CentreBuckets{DataCentre: dc, Digests: c.buckets[:]})
		}
	}
	if len(x.Buckets) == 0 {
		x.Step = StepDone
	}
	x.Buckets = x.Buckets[:min(len(x.Buckets), maxCentres)]
	return x
}

// bucketsOf returns a copy, and does not remember data centres that a peer
// makes up.
func (t *Table) bucketsOf(dc model.DataCentre) centre {
	if c, ok := t.centres[dc]; ok {
		return centre{digest: c.digest, buckets: c.buckets}
	}
	return centre{}
}

// summarize lists the members of the buckets that differ, as many whole buckets
// as fit. It begins at a random one, so that repeated exchanges cover all.
func (t *Table) summarize(theirs []CentreBuckets) Exchange {
	x := Exchange{Step: StepBuckets}
	var differing []BucketRef
	for _, c := range theirs {
		ours := t.bucketsOf(c.DataCentre)
		for b, digest := range c.Digests {
			if ours.buckets[b] != digest {
				differing = append(differing, BucketRef{DataCentre: c.DataCentre, Bucket: b})
			}
		}
	}
	t.random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	inBucket := t.membersByBucket(differing)
	for _, ref := range differing {
		members := inBucket[ref]
		if len(x.Summaries)+len(members) > MaxEntries && len(x.Covered) > 0 {
			break
		}
		x.Covered = append(x.Covered, ref)
		for _, m := range members[:min(len(members), MaxEntries)] {
			x.Summaries = append(x.Summaries, m.summary())
		}
	}
	return x
}

func (t *Table) membersByBucket(refs []BucketRef) map[BucketRef][]*member {
	found := make(map[BucketRef][]*member, len(refs))
	for _, ref := range refs {
		found[ref] = nil
	}
	for _, m := range t.members {
		ref := BucketRef{DataCentre: m.Record.DataCentre, Bucket: bucketOf(m.Record.ID)}
		if list, ok := found[ref]; ok {
			found[ref] = append(list, m)
		}
	}
	return found
}

func (m *member) summary() Summary {
	return Summary{
		ID:          m.Record.ID,
		Incarnation: m.Record.Incarnation,
		Revision:    m.Record.Revision,
		Status:      m.Status,
	}
}

func (s Summary) stamp() stamp { return stamp{s.Incarnation, rank(s.Status), s.Revision} }

// compareSummaries returns the entries that the peer lacks and the ids of those
// that this node lacks.
func (t *Table) compareSummaries(now time.Time, reply Exchange) Exchange {
	x := Exchange{Step: StepEntries}
	known := make(map[model.NodeID]bool, len(reply.Summaries))
	var give []model.NodeID
	for _, s := range reply.Summaries {
		known[s.ID] = true
		m, ok := t.members[s.ID]
		if !ok || s.stamp().adds(m.stamp()) {
			x.Want = append(x.Want, s.ID)
		}
		if ok && m.stamp().adds(s.stamp()) {
			give = append(give, s.ID)
		}
	}
	for _, members := range t.membersByBucket(reply.Covered) {
		for _, m := range members {
			if !known[m.Record.ID] {
				give = append(give, m.Record.ID)
			}
		}
	}
	slices.Sort(give)
	x.Entries = t.entries(now, give)
	x.Want = x.Want[:min(len(x.Want), MaxEntries)]
	if len(x.Entries) == 0 && len(x.Want) == 0 {
		x.Step = StepDone
	}
	return x
}

// entries returns the entries with the given ids, at most MaxEntries.
func (t *Table) entries(now time.Time, ids []model.NodeID) []Entry {
	var entries []Entry
	for _, id := range ids {
		m, ok := t.members[id]
		if !ok || len(entries) == MaxEntries {
			continue
		}
		entries = append(entries, m.aged(now))
	}
	return entries
}

// aged returns the entry with the time since the member failed or left.
func (m *member) aged(now time.Time) Entry {
	e := m.Entry
	if gone(e.Status) {
		e.AgeSeconds = uint32(max(0, now.Sub(m.since)/time.Second))
	}
	return e
}

// Package currency decides whether the configuration in force on a node is known to be current.
// Where keys are revoked, a node may serve requests with keys only as long as it has a recent proof
// of that: without one, a node that is cut off from the store would accept a revoked key for ever.
//
// It is meant for fleets of some hundred nodes in which a lead reads the store every 0.9 s, and for
// nodes that are partitioned, suspended, restarted or connected only to nodes that are. All times are
// passed in. They are readings of one clock of the node that keeps running during a suspension.
package currency

import (
	"slices"
	"sync"
	"time"
)

// Config identifies the content of a configuration.
type Config struct {
	Version uint64
	// Content is a hash of the content. A restored store may have another content under the same
	// version.
	Content uint64
}

// InForce is the configuration in force.
type InForce struct {
	Config
	// Epoch is the epoch of the store in which the configuration was read.
	Epoch uint64
	// Since is when the configuration was put in force on this node.
	Since time.Duration
}

// Proof says that at a time the store had a configuration and nothing newer.
type Proof struct {
	Config
	// Epoch is the epoch of the store that answered.
	Epoch uint64
	// At is a time before the store answered: when the question was sent.
	At time.Duration
}

// Status is what is known about the configuration in force.
type Status struct {
	// Proven is set if there is a proof, Age is the age of the newest one and Epoch that of the store
	// in it.
	Proven bool
	Age    time.Duration
	Epoch  uint64
	// NewerKnown is set if another node has a newer version.
	NewerKnown bool
}

// maxProofs bounds the proofs that are kept. More than one is needed while a newer version spreads: a
// proof of it arrives before the version itself, and the proof of the version in force stays in use.
const maxProofs = 4

// newerVersion is a version that another node has.
type newerVersion struct {
	version uint64
	// epoch is the earliest epoch in which the version was read, and since when it was heard of first.
	epoch uint64
	since time.Duration
}

// maxNewer bounds the newer versions that are told apart: 3.8 s of versions that follow each other
// every 0.06 s.
const maxNewer = 64

// Tracker keeps the proofs of a node. A new Tracker has none. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// proofs holds the newest proof of each configuration, in no order.
	proofs []Proof
	// newer holds the versions above the one in force that other nodes have, in no order.
	newer []newerVersion
	// epoch is the latest known epoch of the store.
	epoch uint64
	// forgottenAt is when Forget was last called.
	forgottenAt time.Duration
}

// Confirm records a proof. Proofs of an epoch before the latest known one do not count: what that
// store had may be lost.
func (t *Tracker) Confirm(p Proof) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Epoch < t.epoch || p.At < t.forgottenAt {
		return
	}
	t.epoch = p.Epoch
	oldest := 0
	for i := range t.proofs {
		if t.proofs[i].Config == p.Config {
			if t.proofs[i].At < p.At {
				t.proofs[i] = p
			}
			return
		}
		if t.proofs[i].At < t.proofs[oldest].At {
			oldest = i
		}
	}
	switch {
	case len(t.proofs) < maxProofs:
		t.proofs = append(t.proofs, p)
	case t.proofs[oldest].At < p.At:
		t.proofs[oldest] = p
	}
}

// ObserveEpoch records an epoch of the store.
func (t *Tracker) ObserveEpoch(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch = max(t.epoch, epoch)
}

// Observe records that another node has a version, which it read in an epoch of the store, or 0 if
// that is not known. inForce is the version in force on this node.
func (t *Tracker) Observe(now time.Duration, version, epoch, inForce uint64) {
	if version <= inForce {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newer = slices.DeleteFunc(t.newer, func(n newerVersion) bool { return n.version <= inForce })
	newest := 0
	for i := range t.newer {
		n := &t.newer[i]
		if n.version == version {
			n.epoch = min(n.epoch, epoch)
			return
		}
		if n.version > t.newer[newest].version {
			newest = i
		}
	}
	if len(t.newer) < maxNewer {
		t.newer = append(t.newer, newerVersion{version, epoch, now})
		return
	}
	// Two versions become one that was heard of when the first of them was. No proof counts by that
	// which did not count before.
	n := &t.newer[newest]
	n.version, n.epoch = max(n.version, version), min(n.epoch, epoch)
}

// Forget discards everything, as if the node had just started: it follows another store now.
func (t *Tracker) Forget(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proofs, t.epoch, t.forgottenAt = nil, 0, now
	t.newer = nil
}

// Status returns what is known at a time about a configuration that is in force.
func (t *Tracker) Status(now time.Duration, f InForce) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{NewerKnown: slices.ContainsFunc(t.newer, func(n newerVersion) bool { return n.version > f.Version })}
	for i := range t.proofs {
		p := &t.proofs[i]
		if !t.counts(p, f) || p.At > now {
			continue // a proof from the future shows that the clock was set back
		}
		if age := now - p.At; !s.Proven || age < s.Age {
			s.Proven, s.Age, s.Epoch = true, age, p.Epoch
		}
	}
	return s
}

// counts reports whether a proof says that the store had nothing newer than the configuration in
// force. The caller holds mu.
func (t *Tracker) counts(p *Proof, f InForce) bool {
	switch {
	case p.Version > f.Version:
		return false
	case p.Version == f.Version && p.Content != f.Content:
		return false // the version was assigned again after the store was restored
	case p.Version < f.Version && p.At > f.Since && p.Epoch <= f.Epoch:
		return false // the store has an older version than before, although it was not restored
	}
	// While a newer version exists, the proof still holds for its time if the version came later: it was
	// heard of after that time, and the store did not lose it before. Otherwise, each new version would
	// stop all requests with keys until it has spread.
	for _, n := range t.newer {
		if n.version > f.Version && (p.At > n.since || p.Epoch > n.epoch) {
			return false
		}
	}
	return true
}

package host

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/boottime"
	"github.com/tarragondrum/tarragondrum/pkg/currency"
	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
)

// currencyCheckInterval is the time between two checks whether this node has lost or regained
// its proof. It is a small part of the time within which a revoked key is refused.
const currencyCheckInterval = 200 * time.Millisecond

// currencyKeeper gets the proofs that the configuration in force is current: from reads of the store
// where this node makes them, and otherwise from the neighbour that announces a lead.
type currencyKeeper struct {
	node      *Node
	tracker   currency.Tracker
	questions currency.Questions
	// clock returns the time since the machine was booted.
	clock func() time.Duration

	mu sync.Mutex
	// lastRead is the result of the last read of the whole configuration.
	lastRead storeRead
}

// storeRead is the result of a read of the configuration in the store.
type storeRead struct {
	revision model.Revision // of the store
	document platform.ConfigDocument
	config   currency.Config
	// isProof is set if the store's configuration does not replace the one in force for a reason that
	// leaves that one current. It is not set for a rejected configuration.
	isProof bool
}

func newCurrencyKeeper(n *Node) *currencyKeeper {
	k := &currencyKeeper{node: n, clock: boottime.Now}
	metric.Gauge(n.registry, "config_proof_age_seconds", "Age of the newest proof that the configuration in force is current, +Inf without one.", func() float64 {
		if s := k.status(n.config.Current()); s.Proven {
			return s.Age.Seconds()
		}
		return math.Inf(1)
	})
	return k
}

// now returns the time since the machine was booted.
func (k *currencyKeeper) now() time.Duration { return k.clock() }

// isUsed reports whether this node needs proofs: for strict revocation, or because the configuration in
// force has organisations.
func (k *currencyKeeper) isUsed() bool {
	if k.node.settings.Load().Bounds.StrictRevocation {
		return true
	}
	s := k.node.config.Current()
	return s != nil && len(s.Organisations) > 0
}

// inForce identifies a snapshot that is in force. It returns false if there is none.
func inForce(s *meshconf.Snapshot) (currency.InForce, bool) {
	if s == nil {
		return currency.InForce{}, false
	}
	content, err := s.Content()
	return currency.InForce{
		Config: currency.Config{Version: s.Version, Content: content}, Epoch: s.Revision.Epoch, Since: s.AppliedAt,
	}, err == nil
}

// status returns what is known about a snapshot that is in force. Nothing is known about nil.
func (k *currencyKeeper) status(s *meshconf.Snapshot) currency.Status {
	f, ok := inForce(s)
	if !ok {
		return currency.Status{}
	}
	return k.tracker.Status(k.now(), f)
}

// ofRequest says to package dispatch whether a configuration is known to be current.
func (k *currencyKeeper) ofRequest(s *meshconf.Snapshot) dispatch.Currency {
	settings, known := k.node.settings.Load(), k.status(s)
	return dispatch.Currency{
		Strict: settings.Bounds.StrictRevocation, MaxAge: settings.RevocationTime(),
		Proven: known.Proven, Age: known.Age, NewerKnown: known.NewerKnown,
	}
}

// prepare completes a snapshot before it is put in force.
func (k *currencyKeeper) prepare(s *meshconf.Snapshot) {
	s.AppliedAt = k.now()
	if len(s.Organisations) > 0 {
		_, _ = s.Content() // the first request should not wait for it; status reports the error
	}
}

// confirmRead records a read of the configuration that was sent at a time, after its result was
// applied. revision is the store's.
func (k *currencyKeeper) confirmRead(sentAt time.Duration, d platform.ConfigDocument, revision model.Revision) {
	if current := k.node.config.Current(); current != nil && bytes.Equal(current.Raw, d.Raw) {
		d.Raw = current.Raw // keeps the bytes in memory once
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !bytes.Equal(k.lastRead.document.Raw, d.Raw) {
		k.lastRead.isProof = false
	}
	k.lastRead.document, k.lastRead.revision = d, revision
	k.confirm(sentAt)
}

// confirmLastRead records a call that was sent at a time and found that the store has not changed since
// the last read of the configuration, or only by a write of this node to another object.
func (k *currencyKeeper) confirmLastRead(sentAt time.Duration, revision model.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastRead.revision.Epoch == revision.Epoch {
		k.confirm(sentAt)
	}
}

// confirm records that the store still had the last read configuration at a time. The caller holds mu.
func (k *currencyKeeper) confirm(at time.Duration) {
	read := &k.lastRead
	if read.revision.IsZero() || !k.isUsed() {
		return
	}
	if !read.isProof {
		read.config, read.isProof = k.identify(read.document)
	}
	if read.isProof {
		k.tracker.Confirm(currency.Proof{Config: read.config, Epoch: read.revision.Epoch, At: at})
	}
}

// identify identifies the configuration of the store, and reports whether it leaves the one in force
// current. One that could not be put in force does not, unless it is an older one.
func (k *currencyKeeper) identify(d platform.ConfigDocument) (currency.Config, bool) {
	current := k.node.config.Current()
	f, ok := inForce(current)
	switch {
	case !ok:
		return currency.Config{}, false
	case bytes.Equal(current.Raw, d.Raw):
		return f.Config, true
	case len(d.Raw) == 0: // the store has no configuration, which is older than any
		return currency.Config{}, true
	}
	s, err := platform.DecodeConfig(d.Raw, d.Revision)
	if err != nil {
		return currency.Config{}, false
	}
	found, ok := inForce(s)
	return found.Config, ok && found.Version <= f.Version
}

// handleUpdate processes what another node says about versions and proofs.
func (k *currencyKeeper) handleUpdate(from string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	k.tracker.Observe(k.now(), n.ConfigVersion, n.ConfigEpoch, k.node.Version())
	if n.ProofRequest != 0 {
		if p := k.proof(n.ProofRequest); p != nil {
			reply(&link.StateUpdate{Proof: p})
		}
	}
	if p := n.Proof; p != nil && p.AgeMs >= 0 && p.AgeMs < math.MaxInt32 {
		if at, ok := k.questions.Answered(from, p.Number, time.Duration(p.AgeMs)*time.Millisecond); ok {
			k.tracker.Confirm(currency.Proof{Config: currency.Config{Version: p.Version, Content: p.Content}, Epoch: p.Epoch, At: at})
		}
	}
}

// ask asks a neighbour, from which an announcement of a lead has come, for its proof.
func (k *currencyKeeper) ask(node string, reply func(*link.StateUpdate) bool) {
	if !k.node.settings.Load().Bounds.StrictRevocation {
		return
	}
	// A random number is not mistaken for one of a former process of this node.
	number := rand.Uint64N(math.MaxUint64) + 1
	if k.questions.Ask(k.now(), node, number) {
		reply(&link.StateUpdate{ProofRequest: number})
	}
}

// proof returns the answer to a question, nil if this node has no proof itself or knows a newer version.
func (k *currencyKeeper) proof(number uint64) *link.Proof {
	f, ok := inForce(k.node.config.Current())
	if !ok {
		return nil
	}
	s := k.tracker.Status(k.now(), f)
	if !s.Proven || s.NewerKnown {
		return nil
	}
	return &link.Proof{Number: number, Version: f.Version, Content: f.Content, Epoch: s.Epoch, AgeMs: ceilMs(s.Age)}
}

// ceilMs returns a duration in milliseconds, rounded up.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// watch logs when this node loses or regains its proof, as long as it needs one.
func (k *currencyKeeper) watch(ctx context.Context) {
	lost, wasProven := time.Time{}, false
	for ctx.Err() == nil {
		sleep(ctx, currencyCheckInterval)
		s := k.node.config.Current()
		if s == nil || len(s.Organisations) == 0 {
			continue
		}
		c := k.ofRequest(s)
		current := c.IsCurrent()
		switch {
		case current && !lost.IsZero():
			k.node.log.Emit(event.ProofRegained, event.F("version", s.Version), event.F("forMs", time.Since(lost).Milliseconds()), event.F("ageMs", c.Age.Milliseconds()))
			lost = time.Time{}
		case !current && lost.IsZero() && (wasProven || time.Since(k.node.started) > c.MaxAge):
			lost = time.Now()
			k.node.log.Emit(event.ProofLost, event.F("version", s.Version), event.F("proven", c.Proven), event.F("ageMs", c.Age.Milliseconds()),
				event.F("newerKnown", c.NewerKnown), event.F("leads", k.node.lead.leads()))
		}
		wasProven = wasProven || current
	}
}

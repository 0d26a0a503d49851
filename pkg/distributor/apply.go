package distributor

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

// maxReasonBytes bounds the reasons of refusals in reports.
const maxReasonBytes = 512

// applier puts versions in force, one at a time and each whole or not at all.
type applier struct {
	mu      sync.Mutex
	keyring *bundle.Keyring
	holder  *snapshot.Holder
	log     *event.Log
	metrics *metrics
	machine *rollout.Machine
	bases   *bases

	stateMu sync.Mutex
	refusal *rollout.Refusal
}

func newApplier(o Options, m *metrics) *applier {
	a := &applier{
		keyring: o.Keyring,
		holder:  o.Holder,
		log:     o.Log,
		metrics: m,
		bases:   newBases(o.Tuning.Bases),
	}
	a.machine = rollout.NewMachine(a.observe)
	return a
}

func (a *applier) observe(t rollout.Transition) {
	a.metrics.transitions.WithLabelValues(string(t.To)).Inc()
	a.log.Emit(event.RolloutTransition, event.F("from", t.From), event.F("to", t.To))
}

// applied returns the version in force, or zero.
func (a *applier) applied() model.Version {
	if s := a.holder.Current(); s != nil {
		return s.Version()
	}
	return 0
}

// acceptance returns the acceptance in force, or nil.
func (a *applier) acceptance() *bundle.Acceptance {
	s := a.holder.Current()
	if s == nil {
		return nil
	}
	acc := s.Acceptance
	return &acc
}

// lastRefusal returns the last refused version that is newer than the one in
// force, or nil.
func (a *applier) lastRefusal() *rollout.Refusal {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	if a.refusal == nil || a.refusal.Version <= a.applied() {
		return nil
	}
	r := *a.refusal
	return &r
}

// apply verifies, compiles and publishes an update. On any error the version
// in force stays: ErrStale and ErrBase tell that the update does not fit here,
// all other errors that it was refused.
func (a *applier) apply(u bundle.Update) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.machine.Fire(rollout.TriggerVerify); err != nil {
		return err
	}
	content, err := a.verify(u)
	if err != nil {
		return a.fail(u.Acceptance, err)
	}
	if err := a.machine.Fire(rollout.TriggerCompile); err != nil {
		return err
	}
	s, err := snapshot.Compile(u.Acceptance, content)
	if err != nil {
		return a.fail(u.Acceptance, err)
	}
	return a.publish(s)
}

// beginFetch notes that content is being fetched.
func (a *applier) beginFetch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.State() != rollout.StateFetching {
		_ = a.machine.Fire(rollout.TriggerFetch) // permitted in every state between two applications
	}
}

// abandonFetch notes that nothing was fetched.
func (a *applier) abandonFetch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.State() == rollout.StateFetching {
		_ = a.machine.Fire(rollout.TriggerAbandon)
	}
}

// reject records a version that was refused before its content was loaded.
func (a *applier) reject(acc bundle.Acceptance, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.machine.Fire(rollout.TriggerVerify); err != nil {
		return err
	}
	return a.fail(acc, cause)
}

// verify checks signature, order and content, in that order, and returns the
// whole content.
func (a *applier) verify(u bundle.Update) (bundle.Bundle, error) {
	current := a.acceptance()
	if current != nil && u.Acceptance.Version <= current.Version {
		return bundle.Bundle{}, rollout.CheckOrder(current, &u.Acceptance)
	}
	if err := a.keyring.Verify(&u.Acceptance); err != nil {
		return bundle.Bundle{}, err
	}
	if err := rollout.CheckOrder(current, &u.Acceptance); err != nil {
		return bundle.Bundle{}, err
	}
	if u.Full != nil {
		return verifyFull(u)
	}
	return a.verifyDelta(u)
}

func verifyFull(u bundle.Update) (bundle.Bundle, error) {
	id, err := u.Full.ContentID()
	if err != nil {
		return bundle.Bundle{}, err
	}
	if id != u.Acceptance.Bundle {
		return bundle.Bundle{}, fmt.Errorf("version %d: content is %.12s, accepted is %.12s: %w", u.Acceptance.Version, id, u.Acceptance.Bundle, bundle.ErrContent)
	}
	return *u.Full, nil
}

func (a *applier) verifyDelta(u bundle.Update) (bundle.Bundle, error) {
	if u.Delta.Target != u.Acceptance.Bundle {
		return bundle.Bundle{}, fmt.Errorf("version %d: delta leads to %.12s, accepted is %.12s: %w", u.Acceptance.Version, u.Delta.Target, u.Acceptance.Bundle, bundle.ErrContent)
	}
	base, ok := a.bases.get(u.Delta.Base)
	if !ok {
		return bundle.Bundle{}, fmt.Errorf("version %d: content %.12s is not kept: %w", u.Acceptance.Version, u.Delta.Base, bundle.ErrBase)
	}
	return u.Delta.ApplyTo(u.Delta.Base, base)
}

// fail ends an application. A refusal is recorded and reported.
func (a *applier) fail(acc bundle.Acceptance, cause error) error {
	if errors.Is(cause, bundle.ErrStale) || errors.Is(cause, bundle.ErrBase) {
		a.metrics.ignored.WithLabelValues(failureReason(cause)).Inc()
		return errors.Join(cause, a.machine.Fire(rollout.TriggerAbandon))
	}
	r := &rollout.Refusal{Version: acc.Version, Bundle: acc.Bundle, Reason: boundText(cause.Error()), Time: time.Now()}
	a.stateMu.Lock()
	a.refusal = r
	a.stateMu.Unlock()
	a.metrics.refusals.WithLabelValues(failureReason(cause)).Inc()
	a.log.Emit(event.RolloutRefused, event.F("version", acc.Version), event.F("bundle", acc.Bundle), event.F("reason", cause))
	return errors.Join(cause, a.machine.Fire(rollout.TriggerRefuse))
}

func (a *applier) publish(s *snapshot.Snapshot) error {
	before := a.applied()
	if !a.holder.Publish(s) {
		return a.fail(s.Acceptance, fmt.Errorf("version %d: another one was published: %w", s.Version(), bundle.ErrStale))
	}
	a.bases.add(s.Acceptance.Bundle, &s.Bundle)
	a.checkInvariants(before, s)
	a.metrics.applied.Inc()
	a.metrics.version.Set(float64(s.Version()))
	a.log.Emit(event.RolloutApplied, event.F("version", s.Version()), event.F("bundle", s.Acceptance.Bundle), event.F("acceptor", s.Acceptance.Acceptor))
	return a.machine.Fire(rollout.TriggerPublish)
}

// checkInvariants counts and logs violations in the published snapshot.
func (a *applier) checkInvariants(before model.Version, s *snapshot.Snapshot) {
	if now := a.applied(); now < before || now < s.Version() {
		a.violated(event.InvariantVersionBack, event.F("before", before), event.F("now", now))
	}
	for i := range s.Bundle.Routes {
		r := &s.Bundle.Routes[i]
		if _, ok := s.Service(r.Service); !ok {
			a.violated(event.InvariantMissingRoute, event.F("route", r.Name), event.F("service", r.Service))
		}
	}
}

// audit compares the content in force with the accepted content once more.
func (a *applier) audit() {
	s := a.holder.Current()
	if s == nil {
		return
	}
	id, err := s.Bundle.ContentID()
	if err != nil || id != s.Acceptance.Bundle {
		a.violated(event.InvariantPartial, event.F("version", s.Version()), event.F("content", id))
	}
}

func (a *applier) violated(e event.Event, fields ...event.Field) {
	a.metrics.invariants.WithLabelValues(e.Name).Inc()
	a.log.Emit(e, fields...)
}

// failureReason names an error for a metric.
func failureReason(err error) string {
	switch {
	case errors.Is(err, bundle.ErrStale):
		return "stale"
	case errors.Is(err, bundle.ErrBase):
		return "other-base"
	case errors.Is(err, bundle.ErrSignature):
		return "signature"
	case errors.Is(err, bundle.ErrParent):
		return "parent"
	case errors.Is(err, bundle.ErrContent):
		return "content"
	case errors.Is(err, snapshot.ErrCompile):
		return "compile"
	}
	return "other"
}

func boundText(s string) string {
	if len(s) > maxReasonBytes {
		return s[:maxReasonBytes]
	}
	return s
}

// bases keeps the newest few bundles, to apply deltas to and compute them from.
type bases struct {
	mu    sync.Mutex
	limit int
	ids   []bundle.ID
	byID  map[bundle.ID]*bundle.Bundle
}

func newBases(limit int) *bases {
	return &bases{limit: limit, byID: make(map[bundle.ID]*bundle.Bundle)}
}

func (b *bases) get(id bundle.ID) (*bundle.Bundle, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	content, ok := b.byID[id]
	return content, ok
}

// add makes id the newest entry and drops the oldest over the limit.
func (b *bases) add(id bundle.ID, content *bundle.Bundle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, old := range b.ids {
		if old == id {
			b.ids = append(b.ids[:i], b.ids[i+1:]...)
			break
		}
	}
	b.ids = append(b.ids, id)
	b.byID[id] = content
	for len(b.ids) > b.limit {
		delete(b.byID, b.ids[0])
		b.ids = b.ids[1:]
	}
}

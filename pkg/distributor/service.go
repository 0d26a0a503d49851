// Package distributor brings accepted versions to this node and passes them on.
// A few leads of each data centre watch the platform; from them a version
// travels by acknowledged pushes along a tree, and nodes that a push missed
// pull it from a peer. Applied versions are summed up along the same tree.
//
// The decisions are in package rollout; this package does the I/O.
package distributor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

const (
	// ServiceName is the name of the service in the kernel.
	ServiceName = "rollout"
	// membershipName is the name of the service that knows the members.
	membershipName = "membership"
)

var _ rollout.Source = (*Service)(nil)

// heartbeats is a membership whose heartbeats carry the applied version and
// offer the versions of peers.
type heartbeats interface {
	SetHooks(applied func() model.Version, offer func(from model.NodeID, v model.Version))
}

// Service is the kernel service "rollout".
type Service struct {
	options Options
	tuning  Tuning
	log     *event.Log
	metrics *metrics
	applier *applier
	updates *updates
	groups  *groups

	randMu sync.Mutex
	rand   *rand.Rand

	puller   *puller
	reporter *reporter
	watcher  *watcher
	spreader *spreader

	mu        sync.Mutex
	started   bool
	confirmed time.Time
	history   []bundle.Acceptance

	ready     chan struct{}
	readyOnce sync.Once
	// changed is closed and replaced when a version is applied.
	changedMu sync.Mutex
	changed   chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// New returns the service and registers its handlers at the transport.
func New(o Options) *Service {
	o = o.withDefaults()
	m := newMetrics(o.Metrics)
	s := &Service{
		options: o,
		tuning:  o.Tuning,
		log:     o.Log,
		metrics: m,
		applier: newApplier(o, m),
		rand:    o.Rand,
		ready:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	s.updates = newUpdates(s.applier)
	s.puller = newPuller(s)
	s.reporter = newReporter(s)
	s.watcher = newWatcher(s)
	s.spreader = newSpreader(s)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	o.Transport.Handle(mesh.KindPush, s.handlePush)
	o.Transport.Handle(mesh.KindPull, s.handlePull)
	o.Transport.Handle(mesh.KindReport, s.handleReport)
	o.Transport.Handle(mesh.KindProgress, s.handleProgress)
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return ServiceName }

// Needs returns the services that must run before this one.
func (s *Service) Needs() []string { return []string{membershipName} }

// Start begins to follow the accepted version.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	source, err := kernel.Lookup[membership.Source](k, membershipName)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.groups = &groups{source: source, self: s.options.Transport.Self(), dc: s.options.DataCentre, leads: s.tuning.Leads}
	s.started = true
	s.mu.Unlock()
	if m, ok := source.(heartbeats); ok {
		m.SetHooks(s.Applied, s.Offer)
	}
	s.spawn(s.boot)
	s.spawn(s.reporter.run)
	s.spawn(s.watcher.run)
	return nil
}

// Stop ends all background work.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready returns a channel that is closed once the node has learned the newest
// version that it could reach, or waited for it as long as it may.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Applied returns the version in force on this node.
func (s *Service) Applied() model.Version { return s.applier.applied() }

// Offer tells that a peer has version v. It returns at once.
func (s *Service) Offer(from model.NodeID, v model.Version) {
	if s.running() {
		s.puller.offer(from, v)
	}
}

// running reports whether the service has started and not stopped.
func (s *Service) running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && s.ctx.Err() == nil
}

// group returns the newest picture of the membership.
func (s *Service) group() *group { return s.groups.current() }

// spawn runs f in the background until Stop.
func (s *Service) spawn(f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.work.Go(func() { f(s.ctx) })
}

// take applies an update and starts what follows from a new version. It
// returns nil if the node has the version or a newer one afterwards.
func (s *Service) take(u bundle.Update, confirmed time.Time) error {
	err := s.applier.apply(u)
	if err != nil && s.Applied() < u.Acceptance.Version {
		s.reporter.wake()
		return err
	}
	if err != nil {
		return nil
	}
	s.remember(u.Acceptance)
	s.confirm(confirmed)
	s.notify()
	s.reporter.wake()
	s.spawn(s.audit)
	return nil
}

// auditDelay keeps the audit out of the way of the push.
const auditDelay = time.Second

// audit checks the version in force some time after it was published.
func (s *Service) audit(ctx context.Context) {
	v := s.Applied()
	if sleep(ctx, auditDelay+s.jitter(auditDelay)) && s.Applied() == v {
		s.applier.audit()
	}
}

// notify wakes everyone who waits for a new version.
func (s *Service) notify() {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed when a version is applied.
func (s *Service) nextChange() <-chan struct{} {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	return s.changed
}

// await waits until the version in force is at least v. It reports false when
// d has passed or ctx has ended before.
func (s *Service) await(ctx context.Context, v model.Version, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		changed := s.nextChange()
		if s.Applied() >= v {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// jitter returns a random duration below d.
func (s *Service) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	s.randMu.Lock()
	defer s.randMu.Unlock()
	if s.rand == nil {
		return rand.N(d)
	}
	return time.Duration(s.rand.Int64N(int64(d)))
}

// shuffle returns the ids in random order.
func (s *Service) shuffle(ids []model.NodeID) []model.NodeID {
	out := append([]model.NodeID(nil), ids...)
	s.randMu.Lock()
	defer s.randMu.Unlock()
	swap := func(i, j int) { out[i], out[j] = out[j], out[i] }
	if s.rand == nil {
		rand.Shuffle(len(out), swap)
		return out
	}
	s.rand.Shuffle(len(out), swap)
	return out
}

// sleep waits for d and reports whether ctx is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

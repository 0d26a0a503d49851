package host

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/release"
)

const (
	// rolloutStepInterval is the time between two decisions of a coordinator.
	rolloutStepInterval = 150 * time.Millisecond
	// unknownOrderWait is how long a lead that reads a running order which it does not know
	// waits for other nodes to tell it. Nodes greet each other with what they know.
	unknownOrderWait = 1500 * time.Millisecond
	// finalBeats is how long a coordinator repeats the end of a roll-out. Nodes that hear it
	// later get it when they connect.
	finalBeats = 3 * time.Second
	// maxEndBeats is the same while the status cannot be written. A lead writes it later.
	maxEndBeats = time.Minute
	// forbiddenFor is how long after its deadline a version that was rolled back is refused
	// even if the service has no other. Its upstreams leave some seconds after the end.
	forbiddenFor = time.Minute
)

// rollouts executes the orders to roll out versions of services. It is nil where versions are
// not told apart; its methods for other parts of the node then do nothing.
type rollouts struct {
	node *Node
	// canaryShare and maxSilence follow from the bounds in the settings at the start.
	canaryShare float64
	maxSilence  time.Duration
	ended       *prometheus.CounterVec
	choices     *prometheus.CounterVec
	excluded    *prometheus.CounterVec
	mu          sync.Mutex
	services    map[string]*rollout
	watchFrom   model.Revision
	// noticed is the generation of the table whose versions were remembered last.
	noticed uint64
}

// rollout is what the node knows of the versions of one service.
type rollout struct {
	service     string
	view        release.View
	established release.Established
	groups      versionGroups
	entry       release.Entry
	counter     release.Counter
	// counted is the order that counter is about.
	counted model.Revision
	// inFlight counts the tries of this node without an answer, by version.
	inFlight map[string]int
	// reportNumber is the number of the last report, and reportedAt when it was sent.
	reportNumber uint64
	reportedAt   time.Time
	// toCoordinator sends to the node from which the newest state came.
	toCoordinator func(*link.StateUpdate) bool
	// relayed holds the number of the newest report of each process that was received, and
	// pending the reports to be sent on.
	relayed map[string]uint64
	pending map[string]release.Report

	// coordinator is set while this node decides.
	coordinator *release.Coordinator
	sentAt      time.Time
	endedAt     time.Time
	// endSeenAt is when this node learned of the current phase.
	endSeenAt time.Time
	sick      int
	// moved is set when nothing uses the old version any more. From then on only the store's
	// answer ends the roll-out, since the platform may stop the old upstreams.
	moved bool
	// order is the newest read of the order in the store. isOutdated is set after a write with
	// an unknown outcome.
	order        release.Order
	isOutdated   bool
	unknownSince time.Time
	writing      bool
	writeAfter   time.Time
	silentLogged bool
	// removed is set if the store has the order no more.
	removed bool
}

func newRollouts(n *Node) *rollouts {
	if n.settings.Load().Bounds.ExposeShare <= 0 {
		return nil
	}
	bounds := &n.settings.Load().Bounds
	return &rollouts{
		node: n, canaryShare: release.CanaryShare(bounds.ExposeShare),
		maxSilence: release.MaxSilence(time.Duration(bounds.RollbackMs * float64(time.Millisecond))),
		services:   make(map[string]*rollout),
		ended:      metric.Counter(n.registry, "rollouts_total", "Roll-outs that this node saw change to a phase, by phase and reason.", "phase", "reason"),
		choices:    metric.Counter(n.registry, "version_choices_total", "Tries at upstreams during roll-outs, by service and version: established or new.", "service", "version"),
		excluded:   metric.Counter(n.registry, "rollout_canaries_excluded_total", "Upstreams of a new version that this node excluded because of a problem, by service.", "service"),
	}
}

// rolloutsName is the name of the service that executes roll-outs.
const rolloutsName = "rollouts"

// rolloutServices returns the service that executes roll-outs, if they are enabled.
func (n *Node) rolloutServices() []kernel.Service {
	if n.rollouts == nil {
		return nil
	}
	return []kernel.Service{n.loopService(rolloutsName, n.rollouts.run, leadName)}
}

// get returns the state of a service. The caller holds mu.
func (r *rollouts) get(service string) *rollout {
	x := r.services[service]
	if x == nil {
		x = &rollout{service: service, view: release.NewView(r.maxSilence), inFlight: make(map[string]int), relayed: make(map[string]uint64), pending: make(map[string]release.Report)}
		r.services[service] = x
	}
	return x
}

// self returns the name of this node.
func (r *rollouts) self() string { return r.node.settings.Load().Node.ID }

// run decides and reports at every interval.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rolloutStepInterval)
		r.step(ctx, time.Now())
	}
}

// outbox collects what has to be sent when the lock is released.
type outbox struct {
	states []release.State
	sends  []func()
}

// flush sends the states to all nodes, and the rest.
func (r *rollouts) flush(o *outbox) {
	if len(o.states) > 0 {
		r.node.peers.broadcast(&link.StateUpdate{Rollouts: o.states})
	}
	for _, send := range o.sends {
		send()
	}
}

// step executes one step for each service.
func (r *rollouts) step(ctx context.Context, now time.Time) {
	isLead := r.node.lead.leads() && r.node.lead.reachedStoreRecently(now)
	otherLeads := !isLead && r.node.lead.hearsOther(now)
	o := &outbox{}
	r.mu.Lock()
	r.notice()
	for _, x := range r.services {
		switch {
		case isLead:
			r.takeOver(x, now)
		case otherLeads:
			x.coordinator = nil // the store does not answer this node, but a lead that takes over
		}
		r.coordinate(x, now, o)
		r.report(x, now, o)
		r.write(ctx, x, now, isLead)
		if silent := x.view.IsSilent(now); silent != x.silentLogged {
			x.silentLogged = silent
			if silent {
				r.emit(event.RolloutSilent, x, event.F("silentMs", now.Sub(x.view.Heard()).Milliseconds()))
			}
		}
	}
	r.mu.Unlock()
	r.flush(o)
}

// notice remembers the version of each service, so that it is known when upstreams of another
// version start. The caller holds mu.
func (r *rollouts) notice() {
	generation := r.node.table.Generation()
	if generation == r.noticed {
		return
	}
	r.noticed = generation
	for _, h := range r.node.table.All() {
		if h.Upstream.Service != "" {
			r.establishedVersion(r.get(h.Upstream.Service))
		}
	}
}

// hearsOther reports whether another lead has just announced that the store answers it.
func (l *lead) hearsOther(now time.Time) bool {
	rank, at := l.election.LastAnnouncement()
	return rank != rankOf(l.node.settings.Load()) && now.Sub(at) <= fleet.RelayedAnnouncementValidity
}

// emit logs an event with the state of a roll-out. The caller holds mu.
func (r *rollouts) emit(e event.Event, x *rollout, fields ...event.Field) {
	s, _ := x.view.State()
	r.node.log.Emit(e, append([]event.Field{
		event.F("service", x.service), event.F("order", s.Order), event.F("target", s.Target), event.F("established", s.Established),
		event.F("phase", s.Phase), event.F("share", s.Share), event.F("canaries", s.Canaries), event.F("reason", s.Reason),
		event.F("coordinator", s.Coordinator), event.F("term", s.Term),
	}, fields...)...)
}

// merge takes a state over and logs what it changes. It reports whether the state is newer than
// the known one. The caller holds mu.
func (r *rollouts) merge(x *rollout, now time.Time, s release.State) bool {
	before, known := x.view.State()
	if !x.view.Merge(now, s) {
		return false
	}
	if s.Order != x.counted {
		x.counter, x.counted, x.entry = release.Counter{}, s.Order, release.Entry{}
		x.relayed, x.pending = make(map[string]uint64), make(map[string]release.Report)
	}
	isNew := !known || before.Order != s.Order
	if isNew || before.Phase != s.Phase {
		x.endSeenAt = now
		r.ended.WithLabelValues(string(s.Phase), s.Reason).Inc()
	}
	if isNew || before.Phase != s.Phase || before.Share != s.Share || !equal(before.Canaries, s.Canaries) || before.Coordinator != s.Coordinator {
		r.emit(event.RolloutChanged, x)
	}
	return true
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// takeOver makes this node the coordinator of an active roll-out whose coordinator is lost, or
// ends an order that no node knows. The caller holds mu.
func (r *rollouts) takeOver(x *rollout, now time.Time) {
	s, known := x.view.State()
	switch {
	case x.coordinator != nil:
	case known && !s.Phase.IsFinal() && release.IsLost(now, &x.view):
		x.begin(release.NewCoordinator(now, x.view.Start(), release.TakeOver(s, r.self())))
		r.emit(event.RolloutTakenOver, x, event.F("silentMs", now.Sub(x.view.Heard()).Milliseconds()))
	case x.order.Status == release.StatusRunning && (!known || !release.Concerns(&s, &x.order)):
		if x.unknownSince.IsZero() {
			x.unknownSince = now
		}
		if now.Sub(x.unknownSince) > unknownOrderWait {
			x.begin(release.NewCoordinator(now, now, release.Begin(x.order, r.self(), r.establishedFor(x, x.order.Target), r.canaryShare)))
			x.coordinator.RollBack(release.ReasonUnknownOrder)
		}
		return
	}
	x.unknownSince = time.Time{}
}

// begin makes this node the coordinator.
func (x *rollout) begin(c *release.Coordinator) {
	x.coordinator, x.moved, x.sentAt, x.endedAt, x.sick = c, false, time.Time{}, time.Time{}, 0
}

// coordinate decides and sends the state, if this node is the coordinator. The caller holds mu.
func (r *rollouts) coordinate(x *rollout, now time.Time, o *outbox) {
	c := x.coordinator
	if c == nil {
		return
	}
	before, _ := c.Phase()
	changed := false
	if !x.moved {
		changed, x.moved = c.Step(now, r.fleet(x, now))
	}
	r.announceState(x, now, changed, o)
	if phase, _ := c.Phase(); phase != before {
		r.emit(event.RolloutDecided, x, event.F("figures", c.Verdict().Figures()), event.F("upstreamsWithProblems", c.Verdict().Sick))
	}
	if sick := c.Verdict().Sick; len(sick) > x.sick {
		x.sick = len(sick)
		r.excluded.WithLabelValues(x.service).Inc()
		r.emit(event.RolloutCanaryExcluded, x, event.F("upstreamsWithProblems", sick), event.F("figures", c.Verdict().Figures()))
	}
}

// announceState sends the state of the coordinator at once or when it is due, and ends the
// coordination when the end of the roll-out is known. The caller holds mu.
func (r *rollouts) announceState(x *rollout, now time.Time, atOnce bool, o *outbox) {
	c := x.coordinator
	phase, _ := c.Phase()
	if phase.IsFinal() && x.endedAt.IsZero() {
		x.endedAt, atOnce = now, true
	}
	if atOnce || now.Sub(x.sentAt) >= release.BeatInterval {
		x.sentAt = now
		s := c.State(now)
		r.merge(x, now, s)
		o.states = append(o.states, s)
	}
	_, stored := release.PhaseOf(x.order.Status)
	if since := now.Sub(x.endedAt); phase.IsFinal() && ((stored || x.removed) && since > finalBeats || since > maxEndBeats) {
		x.coordinator = nil
	}
}

// fleet describes the upstreams of a service for the coordinator. The caller holds mu.
func (r *rollouts) fleet(x *rollout, now time.Time) release.Fleet {
	s, _ := x.view.State()
	target := s.Target
	if x.coordinator != nil {
		target = x.coordinator.Target()
	}
	var f release.Fleet
	for _, h := range r.node.table.All() {
		if !h.Stopping && h.Upstream.State != fleet.StateGone {
			f.Nodes++
		}
	}
	for _, h := range r.node.table.Usable(x.service) {
		if h.Upstream.Version != target {
			f.OldSlots += h.Upstream.Slots
			continue
		}
		f.New = append(f.New, release.Upstream{Node: h.Node, Slots: h.Upstream.Slots, Warm: isWarm(&h, now)})
	}
	return f
}

// isWarm reports whether the upstream of a host has reached its full speed.
func isWarm(h *fleet.Host, now time.Time) bool { return h.Upstream.WarmAtUnixMs <= now.UnixMilli() }

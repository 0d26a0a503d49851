package distributor

import (
	"context"
	"errors"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// errPushRefused: the peer refused the version and covers no branch.
var errPushRefused = errors.New("rollout: the peer refused the version")

// spreader pushes the version in force to other nodes.
type spreader struct {
	s *Service

	mu sync.Mutex
	// covered is the newest version that is known to be pushed in this data
	// centre: this node started it, handed it over or received it in a push.
	covered model.Version
	// relayed holds the spans that this node has pushed a version to.
	relayed map[rollout.Span]model.Version
	cancel  context.CancelFunc
	version model.Version
	ctx     context.Context
}

func newSpreader(s *Service) *spreader {
	return &spreader{s: s, relayed: make(map[rollout.Span]model.Version)}
}

// scope returns the context of the pushes of version v. Those of older versions
// end, since the newer one stands for them.
func (p *spreader) scope(v model.Version) (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v < p.version {
		return nil, false
	}
	if v > p.version {
		if p.cancel != nil {
			p.cancel()
		}
		p.ctx, p.cancel = context.WithCancel(p.s.ctx)
		p.version = v
		clear(p.relayed)
	}
	return p.ctx, true
}

// maxSpans bounds the spans that a node covers for one version.
const maxSpans = 64

// relay pushes version v to the span in the background, once.
func (p *spreader) relay(v model.Version, span rollout.Span) {
	if span.Empty() {
		return
	}
	ctx, ok := p.scope(v)
	if !ok {
		return
	}
	p.mu.Lock()
	done := p.relayed[span] >= v || len(p.relayed) >= maxSpans
	if !done {
		p.relayed[span] = v
	}
	p.mu.Unlock()
	if done {
		return
	}
	p.s.spawn(func(context.Context) { p.cover(ctx, v, span) })
}

// cover pushes version v to every member in the span.
func (p *spreader) cover(ctx context.Context, v model.Version, span rollout.Span) {
	g := p.s.group()
	var branches sync.WaitGroup
	for _, b := range rollout.Branches(g.own(), span, g.self, p.s.tuning.Fanout) {
		branches.Go(func() { p.branch(ctx, g, v, b) })
	}
	branches.Wait()
}

// branch finds a relay for the branch: the first member that acknowledges. A
// branch whose every member failed is left to the pulls.
func (p *spreader) branch(ctx context.Context, g *group, v model.Version, b rollout.Branch) {
	for _, id := range b {
		// Members that did not answer stay in the span: the relay may reach them.
		err := p.pushWithRetry(ctx, g.peers[id], v, b.Span())
		if err == nil || ctx.Err() != nil {
			return
		}
		p.s.metrics.retries.WithLabelValues("relay-failed").Inc()
		p.s.log.Emit(event.RolloutRelayFailed, event.F("peer", id), event.F("version", v), event.F("error", err))
	}
}

func (p *spreader) pushWithRetry(ctx context.Context, to mesh.Peer, v model.Version, span rollout.Span) error {
	var err error
	for attempt := range p.s.tuning.PushAttempts {
		if attempt > 0 {
			p.s.metrics.retries.WithLabelValues("push-unanswered").Inc()
		}
		err = p.push(ctx, to, v, span)
		if err == nil || !errors.Is(err, mesh.ErrTimeout) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// push sends version v to one peer and returns once the peer has applied it.
func (p *spreader) push(ctx context.Context, to mesh.Peer, v model.Version, span rollout.Span) error {
	acc := p.s.applier.acceptance()
	if acc == nil || acc.Version != v {
		return nil // a newer version is pushed instead
	}
	return p.send(ctx, to, span, acc.Parent)
}

// send pushes the version in force, first from the likely base and, when the
// peer names another one, from that.
func (p *spreader) send(ctx context.Context, to mesh.Peer, span rollout.Span, base bundle.ID) error {
	for range 2 {
		u, err := p.s.updates.from(base)
		if err != nil {
			return err
		}
		reply, err := p.call(ctx, to, pushRequest{Version: u.version, Span: span, Update: u.bytes})
		if err != nil {
			return err
		}
		switch reply.Outcome {
		case outcomeHave:
			return nil
		case outcomeRefused:
			return errPushRefused
		}
		base = reply.Base
	}
	return errPushRefused
}

// offer asks whether the peer has version v, and sends the update if not.
func (p *spreader) offer(ctx context.Context, to mesh.Peer, v model.Version, span rollout.Span) error {
	reply, err := p.call(ctx, to, pushRequest{Version: v, Span: span})
	if err != nil {
		return err
	}
	if reply.Outcome != outcomeWant {
		return nil
	}
	return p.send(ctx, to, span, reply.Base)
}

func (p *spreader) call(ctx context.Context, to mesh.Peer, r pushRequest) (pushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.s.tuning.PushTimeout)
	defer cancel()
	r.ConfirmedMs = toMs(p.s.lastConfirmed())
	var reply pushReply
	err := p.s.options.Transport.Call(ctx, to, mesh.KindPush, r, &reply)
	if err != nil && ctx.Err() != nil && !errors.Is(err, mesh.ErrUnreachable) {
		err = errors.Join(err, mesh.ErrTimeout)
	}
	return reply, err
}

// lead makes sure that the version in force is pushed in this data centre: the
// first lead starts the push, others hand the version over to it and start the
// push themselves if it does not answer.
func (s *Service) lead(ctx context.Context) {
	v := s.Applied()
	if s.spreader.isCovered(v) {
		return
	}
	g := s.group()
	for _, id := range g.leads[g.dc] {
		if id == g.self {
			break
		}
		err := s.spreader.offer(ctx, g.peers[id], v, rollout.Span{})
		if err == nil {
			s.spreader.markCovered(v)
			return
		}
		s.log.Emit(event.RolloutHandoverFailed, event.F("peer", id), event.F("version", v), event.F("error", err))
	}
	s.spreader.root(g, v)
}

func (p *spreader) isCovered(v model.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covered >= v
}

// markCovered notes that v is pushed in this data centre and reports whether
// that is new.
func (p *spreader) markCovered(v model.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.covered >= v {
		return false
	}
	p.covered = v
	return true
}

// root starts the push of version v in this data centre, once, and offers it to
// the gateways of the others.
func (p *spreader) root(g *group, v model.Version) {
	if !p.markCovered(v) {
		return
	}
	p.s.log.Emit(event.RolloutStarted, event.F("version", v), event.F("members", len(g.own())))
	p.relay(v, rollout.Whole(g.own()))
	for _, dc := range g.others() {
		p.s.spawn(func(ctx context.Context) { p.gateway(ctx, dc, v) })
	}
}

// gateway offers version v to the leads of another data centre until one of
// them answers.
func (p *spreader) gateway(ctx context.Context, dc model.DataCentre, v model.Version) {
	wait := p.s.tuning.GatewayDelay
	for range gatewayRounds {
		if !sleep(ctx, wait) || p.s.Applied() != v {
			return
		}
		g := p.s.group()
		for _, id := range g.leads[dc] {
			if err := p.offer(ctx, g.peers[id], v, rollout.Span{}); err == nil {
				return
			}
			p.s.metrics.retries.WithLabelValues("gateway-unheard").Inc()
		}
		wait = 2*wait + p.s.jitter(wait)
	}
	p.s.log.Emit(event.RolloutGatewayUnheard, event.F("dataCentre", dc), event.F("version", v))
}

// gatewayRounds bounds the rounds over the leads of another data centre; after
// them the versions in heartbeats close the gap.
const gatewayRounds = 6

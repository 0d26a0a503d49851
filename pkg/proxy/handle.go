package proxy

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/deadline"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

// runner answers a call: the forwarder on the first node, the receiver on the
// node of the upstream.
type runner func(*call) (answer, func(error))

// match finds the route of a call on a listener.
type match func(s *snapshot.Snapshot, method, host, path string) (*bundle.Route, bool)

// first answers a call that came from its caller. trusted callers may send
// HeaderDepth.
func (s *shared) first(ctx context.Context, rc *app.RequestContext, m match, trusted bool) {
	start := time.Now()
	snap := s.options.Holder.Current()
	if snap == nil {
		s.refuse(rc, "", refuse(reason.NoBundle))
		return
	}
	rc.Response.Header.Set(reason.HeaderVersion, strconv.FormatUint(uint64(snap.Version()), 10))
	h := &rc.Request.Header
	route, ok := m(snap, string(h.Method()), string(h.Host()), string(rc.Request.URI().Path()))
	if !ok {
		s.refuse(rc, "", refuse(reason.NoRoute))
		return
	}
	svc, ok := snap.Service(route.Service)
	if !ok {
		s.refuse(rc, route.Class, refuse(reason.NoRoute))
		return
	}
	c, err := newCall(start, route, svc, h, trusted)
	if err != nil {
		a := refuse(reason.BadRequest)
		a.detail = err.Error()
		s.refuse(rc, route.Class, a)
		return
	}
	if c.depth.Level > MaxDepth {
		s.options.Log.Emit(event.LoopFound, event.F("service", c.service), event.F("depth", c.depth.Level))
		s.refuse(rc, c.class, refuse(reason.LoopDetected))
		return
	}
	s.serve(ctx, rc, c, sideFirst, s.forwarder.serve, svc.MaxBodyBytes)
}

// newCall returns the call of a matched request. Only a trusted caller's depth
// counts.
func newCall(start time.Time, route *bundle.Route, svc *bundle.Service, h *protocol.RequestHeader, trusted bool) (*call, error) {
	asked, err := parseAsked(h.Peek(deadline.Header))
	if err != nil {
		return nil, err
	}
	var depth Depth
	if trusted {
		if depth, err = ParseDepth(string(h.Peek(HeaderDepth))); err != nil {
			return nil, err
		}
	}
	limit := deadline.Timeout(-1, route.Timeout.Std(), svc.Timeout.Std())
	timeout := deadline.Timeout(asked, route.Timeout.Std(), svc.Timeout.Std())
	return &call{
		start:     start,
		deadline:  start.Add(timeout),
		impatient: timeout < limit/2,
		service:   svc.Name,
		class:     route.Class,
		depth:     Depth{Level: depth.Level + 1, Retried: depth.Retried},
		nested:    depth.Retried,
		attempts:  max(1, route.Attempts),
		budget:    svc.RetryBudgetPercent,
		warmup:    svc.Warmup.Std(),
		ejected:   svc.MaxEjectedPercent,
	}, nil
}

// parseAsked reads the time that a caller asks for; -1 means that it does not.
func parseAsked(value []byte) (time.Duration, error) {
	if len(value) == 0 {
		return -1, nil
	}
	return deadline.Parse(string(value))
}

// last answers a call that another node sent.
func (s *shared) last(ctx context.Context, rc *app.RequestContext, hop Hop) {
	start := time.Now()
	asked, err := parseAsked(rc.Request.Header.Peek(deadline.Header))
	if err != nil {
		a := refuse(reason.BadRequest)
		a.detail = err.Error()
		s.refuse(rc, hop.Class, a)
		return
	}
	if s.stopping.Load() {
		s.refuse(rc, hop.Class, refuse(reason.NodeStopping))
		return
	}
	if asked < 0 {
		asked = deadline.Default
	}
	c := &call{
		start:    start,
		service:  hop.Service,
		upstream: hop.Upstream,
		class:    hop.Class,
		depth:    hop.Depth,
		deadline: start.Add(asked),
	}
	// The first node has checked the body's bound by its own bundle.
	s.serve(ctx, rc, c, sideUpstream, s.receiver.run, 0)
}

// serve reads the body, runs the call and writes its answer.
func (s *shared) serve(ctx context.Context, rc *app.RequestContext, c *call, on side, run runner, maxBody int64) {
	conn := connOf(ctx)
	conn.bound(c.deadline)
	c.readHeader(&rc.Request.Header)
	if most := s.options.Settings.Inbound.MaxBodyBytes; most > 0 && (maxBody <= 0 || most < maxBody) {
		maxBody = most
	}
	if err := c.readBody(&rc.Request, maxBody); err != nil {
		a := refuse(bodyProblem(err))
		a.effect = reason.NotRun
		rc.SetConnectionClose()
		s.refuse(rc, c.class, a)
		return
	}
	c.mark()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	unwatch := conn.watch(cancel)
	c.ctx = ctx
	a, done := run(c)
	s.metrics.took(on, c.class, time.Since(c.start))
	s.count(on, c.class, &a)
	if on == sideUpstream && a.load != "" {
		rc.Response.Header.Set(HeaderLoad, a.load)
	}
	if !c.replayable() && a.failed() {
		// The rest of the body has not been read.
		rc.SetConnectionClose()
	}
	a.write(rc, s.options.Log, func(err error) {
		done(err)
		unwatch()
		cancel()
	})
}

// count counts the answer where it goes back to the caller; the receiver counts
// its own refusals.
func (s *shared) count(on side, class model.Class, a *answer) {
	if on != sideFirst {
		return
	}
	if a.failed() {
		s.metrics.refused(sideFirst, class, a.reason, a.effect)
		return
	}
	s.metrics.answered(class, a.reply.Header.StatusCode())
}

// refuse answers a call that was not even read whole.
func (s *shared) refuse(rc *app.RequestContext, class model.Class, a answer) {
	s.metrics.refused(sideFirst, class, a.reason, a.effect)
	if rc.Request.IsBodyStream() {
		rc.SetConnectionClose()
	}
	a.writeRefusal(rc)
}

// hopOf returns the hop that another node sent, if any. Hop headers from
// anybody else are ignored.
func (s *shared) hopOf(rc *app.RequestContext) (hop Hop, fromNode bool, err error) {
	value := rc.Request.Header.Peek(HeaderHop)
	if len(value) == 0 {
		return Hop{}, false, nil
	}
	hop, err = ParseHop(string(value), s.forwarder.token)
	if errors.Is(err, ErrToken) {
		s.metrics.hopsRejected.WithLabelValues().Inc()
		s.rejected.Do(func() {
			s.options.Log.Emit(event.HopRejected, event.F("remote", rc.RemoteAddr().String()))
		})
		return Hop{}, false, nil
	}
	return hop, true, err
}

package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// reporter sums up the applied versions of this node's subtree and sends them
// to its parent; the root writes them to the platform.
type reporter struct {
	s     *Service
	dirty chan struct{}
	limit *rate.Limiter

	mu     sync.Mutex
	tally  *rollout.Tally
	sentTo model.NodeID
	sent   rollout.Summary
	// platformUp is what the parent said of the platform.
	platformUp bool
	root       bool
	last       rollout.Progress
	written    rollout.Progress
	revision   platform.Revision
}

func newReporter(s *Service) *reporter {
	return &reporter{
		s:     s,
		dirty: make(chan struct{}, 1),
		limit: rate.NewLimiter(rate.Every(s.tuning.ProgressInterval), 1),
		tally: rollout.NewTally(s.options.Transport.Self().ID),
	}
}

// wake makes the reporter look for changes.
func (r *reporter) wake() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// run reports after changes, and now and then without one.
func (r *reporter) run(ctx context.Context) {
	refresh := r.s.tuning.ReportRefresh
	timer := time.NewTimer(refresh/2 + r.s.jitter(refresh))
	defer timer.Stop()
	for {
		force := false
		changed := r.s.groups.source.Changed()
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
			r.awaitChildren(ctx)
		case <-changed:
			sleep(ctx, r.s.jitter(r.s.tuning.ReportWindow))
		case <-timer.C:
			force = true
			timer.Reset(refresh/2 + r.s.jitter(refresh))
		}
		if !r.report(ctx, force) && !sleep(ctx, r.s.tuning.ReportWindow+r.s.jitter(r.s.tuning.ReportWindow)) {
			return
		}
	}
}

// awaitChildren waits until every child has reported the version in force, but
// not longer than the report window.
func (r *reporter) awaitChildren(ctx context.Context) {
	deadline := time.NewTimer(r.s.tuning.ReportWindow)
	defer deadline.Stop()
	for !r.complete() {
		select {
		case <-r.dirty:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *reporter) complete() bool {
	g := r.s.group()
	children := rollout.Children(g.own(), g.firstLead(), g.self, r.s.tuning.Fanout)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally.Complete(children, r.s.Applied())
}

// report sends the summary to the parent or, at the root, writes it to the
// platform. It reports false if it has to be tried again.
func (r *reporter) report(ctx context.Context, force bool) bool {
	g := r.s.group()
	sum := r.summary(g)
	parent, ok := rollout.Parent(g.own(), g.firstLead(), g.self, r.s.tuning.Fanout)
	r.mu.Lock()
	r.root = !ok
	same := r.sentTo == parent && r.sent.Equal(sum)
	r.mu.Unlock()
	if !ok {
		p := r.keepProgress(g, sum)
		if force && p.Applied < p.Members {
			r.s.log.Emit(event.RolloutLaggards, event.F("version", p.Version), event.F("applied", p.Applied), event.F("members", p.Members), event.F("laggards", p.Laggards))
		}
		return r.writeProgress(ctx, p)
	}
	if same && !force || sum.Version == 0 {
		return true
	}
	return r.send(ctx, g.peers[parent], sum)
}

func (r *reporter) summary(g *group) rollout.Summary {
	children := rollout.Children(g.own(), g.firstLead(), g.self, r.s.tuning.Fanout)
	var refusal string
	if last := r.s.applier.lastRefusal(); last != nil {
		refusal = last.Reason
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Keep(children)
	return r.tally.Sum(r.s.Applied(), refusal, children)
}

func (r *reporter) send(ctx context.Context, parent mesh.Peer, sum rollout.Summary) bool {
	ctx, cancel := context.WithTimeout(ctx, r.s.tuning.PushTimeout)
	defer cancel()
	var reply reportReply
	if err := r.s.options.Transport.Call(ctx, parent, mesh.KindReport, reportRequest{Summary: sum}, &reply); err != nil {
		r.s.metrics.retries.WithLabelValues("report-unanswered").Inc()
		r.wake()
		return false
	}
	r.mu.Lock()
	r.sentTo = parent.ID
	r.sent = sum
	r.platformUp = reply.PlatformUp
	r.mu.Unlock()
	if reply.Version == r.s.Applied() {
		r.s.confirm(fromMs(reply.ConfirmedMs))
	}
	if reply.Version > r.s.Applied() {
		r.s.Offer(parent.ID, reply.Version)
	}
	return true
}

// handleReport takes the summary of a child.
func (s *Service) handleReport(_ context.Context, from mesh.Peer, body []byte) (any, error) {
	r, err := receive(s, from, body, decodeReport)
	if err != nil {
		return nil, err
	}
	if s.reporter.take(from.ID, r.Summary) {
		s.reporter.wake()
	}
	return reportReply{Version: s.Applied(), ConfirmedMs: toMs(s.lastConfirmed()), PlatformUp: s.platformUp()}, nil
}

// take stores the summary of a child and reports whether it changed anything.
// Summaries of nodes that are not children here are dropped.
func (r *reporter) take(child model.NodeID, sum rollout.Summary) bool {
	g := r.s.group()
	if parent, ok := rollout.Parent(g.own(), g.firstLead(), child, r.s.tuning.Fanout); !ok || parent != g.self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally.Report(child, sum)
}

// keepProgress turns the summary of the whole data centre into its progress.
func (r *reporter) keepProgress(g *group, sum rollout.Summary) rollout.Progress {
	p := rollout.Progress{
		DataCentre: g.dc,
		Version:    sum.Version,
		Members:    len(g.own()),
		Applied:    sum.Applied,
		Laggards:   sum.Laggards,
		Time:       time.Now(),
		Reporter:   string(g.self),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = p
	return p
}

// progress returns the roll-out of this data centre if this node sums it up.
func (r *reporter) progress() (rollout.Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.root && r.last.DataCentre != ""
}

// writeProgress stores the progress in the platform if it says something new. It
// reports false if it has to be tried again.
func (r *reporter) writeProgress(ctx context.Context, p rollout.Progress) bool {
	r.mu.Lock()
	same := r.written.Same(p)
	r.mu.Unlock()
	if same || p.Version == 0 {
		return true
	}
	if err := r.limit.Wait(ctx); err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, r.s.tuning.PlatformTimeout)
	defer cancel()
	if err := r.put(ctx, p); err != nil {
		r.s.metrics.retries.WithLabelValues("progress-unwritten").Inc()
		r.s.log.Emit(event.RolloutProgressFailed, event.F("version", p.Version), event.F("error", err))
		r.wake()
		return false
	}
	r.mu.Lock()
	r.written = p
	r.mu.Unlock()
	return true
}

// put writes the progress against the revision of the last write. When another
// root wrote in between, or the outcome is unknown, it reads the object back and
// leaves a newer version alone.
func (r *reporter) put(ctx context.Context, p rollout.Progress) error {
	value, err := json.Marshal(p)
	if err != nil {
		return err
	}
	key := platform.Key{Collection: platform.CollectionStatuses, Name: string(p.DataCentre)}
	err = r.putAt(ctx, key, value)
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	r.s.metrics.platform.WithLabelValues("status-get").Inc()
	o, err := r.s.options.Platform.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		r.setRevision("")
		return r.putAt(ctx, key, value)
	}
	if err != nil {
		return err
	}
	r.setRevision(o.Revision)
	var stored rollout.Progress
	if err := json.Unmarshal(o.Value, &stored); err == nil && (stored.Version > p.Version || stored.Same(p)) {
		return nil
	}
	return r.putAt(ctx, key, value)
}

func (r *reporter) putAt(ctx context.Context, key platform.Key, value json.RawMessage) error {
	r.mu.Lock()
	at := r.revision
	r.mu.Unlock()
	r.s.metrics.platform.WithLabelValues("status-put").Inc()
	revision, err := r.s.options.Platform.Put(ctx, key, value, at)
	if err != nil {
		return err
	}
	r.setRevision(revision)
	return nil
}

func (r *reporter) setRevision(revision platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
}

// platformUp reports whether the platform answers: as this node finds it if it
// leads, else as its parent last said.
func (s *Service) platformUp() bool {
	if s.groups != nil && s.group().leading() {
		return s.watcher.up()
	}
	s.reporter.mu.Lock()
	defer s.reporter.mu.Unlock()
	return s.reporter.platformUp
}

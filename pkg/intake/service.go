package intake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/cost"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// The reasons of answers that the node gives in place of the upstream.
const (
	ReasonNoUpstream      = "no-upstream"
	ReasonWrongUpstream   = "wrong-upstream"
	ReasonLeaving         = "upstream-leaving"
	ReasonStopping        = "node-stopping"
	ReasonPoison          = "poison"
	ReasonShed            = "upstream-shed"
	ReasonUnreachable     = "upstream-unreachable"
	ReasonAnswerBroken    = "answer-broken"
	ReasonAnswerMalformed = link.ReasonAnswerMalformed
	ReasonDeadline        = "deadline"
	ReasonRefusalUnproven = "refusal-unproven"
	ReasonNoMemory        = link.ReasonNoMemory
	// ReasonStale: the call was sent to an earlier incarnation of this node.
	ReasonStale = "node-restarted"
)

// Headers holds the names of the HTTP headers that the node and the upstream exchange.
type Headers struct {
	RequestID, Deadline, Signature, NotExecuted, Expected string
}

// Options configure a Service.
type Options struct {
	Headers Headers
	Pool    *h1.Pool
	// Uplink models the host's outgoing link; nil means unlimited speed.
	Uplink *pace.Uplink
	// Downlink schedules the bodies that this host receives; nil means unlimited speed.
	Downlink *pace.Downlink
	// IsPoison reports whether requests with this fingerprint crash upstreams.
	IsPoison func(fingerprint uint64) bool
	// OnCrash is called with the fingerprints of the requests that ran when the upstream
	// crashed.
	OnCrash func(fingerprints []uint64, u fleet.Upstream)
	// OnRecovery is called when an upstream that had crashed answers again.
	OnRecovery func(u fleet.Upstream)
	// OnMeanHalved is called when the mean time of a route was halved. See staleMeanAfter.
	OnMeanHalved func(route string, mean time.Duration)
	// DecodeNotice decodes what an answer tells about the upstream.
	DecodeNotice func(h http.Header) (fleet.Notice, error)
	// OnNotice is called when the upstream tells something new about itself.
	OnNotice func(u fleet.Upstream, c NoticeChange)
	// OnOutcome is called with the outcome of each request.
	OnOutcome func(c *link.Call, a *link.Answer, t Timing)
	// OnHang is called when the upstream was found to leave requests unanswered when more than
	// its slots are in use, and when that no longer counts. It may be nil.
	OnHang func(u fleet.Upstream, hangs bool)
	// OnNestedExcess is called for each call of a running request beyond those that go before
	// new requests. It may be nil.
	OnNestedExcess func(parentID string, calls int, first bool)
}

// Timing holds how long a request spent in this node.
type Timing struct {
	// Waited is the time until the request got a slot or was refused, and Took the whole time.
	Waited, Took time.Duration
	// RouteMean is the mean answer time of the route, on which admission is based.
	RouteMean time.Duration
}

// Service admits requests to the upstream beside this node and runs them.
type Service struct {
	options Options

	mu       sync.Mutex
	upstream fleet.Upstream
	stopping bool
	queue    *Queue
	waiters  map[uint64]chan Grant
	nextID   uint64
	// running maps the ids of the requests at the upstream to their fingerprints.
	running map[uint64]uint64
	health  health
	costs   costs
	notice  noticeState
	// parents holds the running requests for the calls that they make.
	parents parents
	// hanging is what was last passed to Options.OnHang.
	hanging bool
	// sizes estimates how many bytes the large answers will send.
	sizes sizes
	// down is set while the upstream does not listen, and probeAt is when the next request is
	// let through to check.
	down    bool
	probeAt time.Time
	timer   *time.Timer
	// ticking is set while the timer is scheduled.
	ticking bool
}

// New returns a service without an upstream.
func New(o Options) *Service {
	s := &Service{options: o, queue: NewQueue(1), waiters: make(map[uint64]chan Grant), running: make(map[uint64]uint64), sizes: newSizes(), costs: newCosts()}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	return s
}

// SetUpstream sets the state that the upstream reported. From then on, requests for another
// upstream, or for one that leaves, are refused.
func (s *Service) SetUpstream(u fleet.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ID != s.upstream.ID || u.Born != s.upstream.Born {
		s.health, s.down = health{}, false
		s.costs.speed = cost.Speed{}
		s.notice.reset(time.Now())
		s.queue.RemoveLimit()
		s.queue.ForgetHangs()
		s.options.Pool.CloseIdle()
	}
	s.upstream = u
	s.queue.SetSlots(u.Slots)
	if u.State != fleet.StateReady {
		s.deliver(s.queue.Flush(ReasonLeaving, nil))
	}
}

// Stop makes the service refuse new and waiting requests. Running ones go on.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.deliver(s.queue.Flush(ReasonStopping, nil))
}

// Running returns the number of requests that run at the upstream or wait for it.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running() + s.queue.Queued()
}

// Load returns the current load of the upstream, which each answer carries to other nodes.
func (s *Service) Load() link.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// load is Load for callers that hold mu.
func (s *Service) load() link.Load {
	now, failing := time.Now(), s.health.failing
	if s.down {
		failing = 1
	}
	kilobyte := s.options.Uplink.Time(1 << 10)
	return link.Load{
		UplinkWaitMs: toMillis(s.linkWait()), UplinkMsPerKB: toMillis(kilobyte),
		Running: s.queue.Running(), Queued: s.queue.Queued() - s.queue.Receiving(), Slots: s.queue.Slots(),
		MeanMs: toMillis(s.queue.Mean()), FailureRate: failing,
		Limit: s.queue.Limit(now), QueuedNested: s.queue.QueuedNested(), DownlinkWaitMs: toMillis(s.options.Downlink.Backlog()),
		WorkMs: toMillis(s.queue.WorkRemaining(now)), Speed: s.costs.speed.Value(now),
	}
}

// linkWait returns how long a new large answer would wait for the host's link: behind the
// answers that wait for it and those that the upstream still works on. The caller holds mu.
func (s *Service) linkWait() time.Duration {
	return s.options.Uplink.Backlog() + s.options.Uplink.Time(s.sizes.expected)
}

// toMillis returns a time in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Handle runs a call at the upstream or refuses it.
func (s *Service) Handle(ctx context.Context, c *link.Call) *link.Answer {
	start := time.Now()
	a, waited := s.handle(ctx, c, start)
	s.mu.Lock()
	a.Load = s.load()
	mean := s.queue.RouteMean(c.Route)
	s.mu.Unlock()
	s.options.OnOutcome(c, a, Timing{Waited: waited, Took: time.Since(start), RouteMean: mean})
	return a
}

// handle returns the answer to a call, and how long the call waited for a slot.
func (s *Service) handle(ctx context.Context, c *link.Call, start time.Time) (*link.Answer, time.Duration) {
	deadline := start.Add(time.Duration(c.RemainingMs) * time.Millisecond)
	s.adoptLimit(start, c)
	id, upstream, refusal := s.admit(ctx, c, start, deadline)
	waited := time.Since(start)
	if refusal != nil {
		s.recordSize(id, c, refusal)
		return refusal, waited
	}
	return s.run(ctx, c, id, upstream, deadline), waited
}

// refuse returns an answer that tells that the request did not run.
func refuse(reason string, retryAfter time.Duration) *link.Answer {
	return &link.Answer{Outcome: link.NotRun, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}

// refusal returns the refusal of a call that the upstream can't take at all, or nil. The
// caller holds mu.
func (s *Service) refusal(c *link.Call) *link.Answer {
	switch {
	case s.stopping:
		return refuse(ReasonStopping, 0)
	case s.upstream.State == fleet.StateNone || s.upstream.State == fleet.StateGone:
		return refuse(ReasonNoUpstream, 0)
	case s.upstream.ID != c.UpstreamID || s.upstream.Service != c.Service:
		return refuse(ReasonWrongUpstream, 0)
	case s.upstream.State == fleet.StateLeaving:
		return refuse(ReasonLeaving, 0)
	case s.options.IsPoison(c.Fingerprint):
		return refuse(ReasonPoison, 0)
	case s.isDown(time.Now()):
		return refuse(ReasonUnreachable, 0)
	}
	return nil
}

// admit asks the queue for a slot and waits for it if necessary. It returns a non-nil answer
// if the request is refused.
func (s *Service) admit(ctx context.Context, c *link.Call, now, deadline time.Time) (uint64, fleet.Upstream, *link.Answer) {
	s.mu.Lock()
	if r := s.refusal(c); r != nil {
		s.mu.Unlock()
		return 0, fleet.Upstream{}, r
	}
	s.nextID++
	id := s.nextID
	r := Request{
		ID: id, Route: c.Route, Priority: c.Priority, Nested: c.Nested, MayWait: c.MayQueue,
		Organisation: c.Organisation, Weight: c.Weight, Expected: s.costs.estimate(now, c),
		SoftDeadline: now.Add(time.Duration(c.LatencyTargetMs) * time.Millisecond), Deadline: deadline,
	}
	overLink := c.LargeAnswer && !c.Local
	if overLink {
		r.LinkWait, r.Transfer = s.linkWait(), s.options.Uplink.Time(s.sizes.mean(c.Route))
	}
	if c.Fetch != nil {
		r.Body = s.body(now, c)
	}
	v := s.queue.Arrive(now, r)
	if overLink && (v.Run || v.Wait) {
		s.sizes.begin(id, c.Route)
	}
	if v.Run {
		defer s.mu.Unlock()
		s.begin(id, c)
		return id, s.upstream, nil
	}
	if !v.Wait {
		s.mu.Unlock()
		if v.HalvedMean > 0 {
			s.options.OnMeanHalved(c.Route, v.HalvedMean)
		}
		return 0, fleet.Upstream{}, refuse(string(v.Reason), v.RetryAfter)
	}
	granted := make(chan Grant, 1)
	s.waiters[id] = granted
	s.deliver(s.queue.Next(now, nil))
	s.scheduleTick()
	s.mu.Unlock()
	if c.Fetch != nil {
		if refusal := s.receive(ctx, c, id, granted); refusal != nil {
			return id, fleet.Upstream{}, refusal
		}
	}
	return s.wait(ctx, c, id, granted)
}

// wait waits for the grant of a queued request, until its caller cancels it.
func (s *Service) wait(ctx context.Context, c *link.Call, id uint64, granted chan Grant) (uint64, fleet.Upstream, *link.Answer) {
	var g Grant
	select {
	case g = <-granted:
	case <-ctx.Done():
		s.mu.Lock()
		if s.queue.Cancel(id) {
			delete(s.waiters, id)
			s.mu.Unlock()
			return id, fleet.Upstream{}, refuse(string(CallerGone), 0)
		}
		s.mu.Unlock()
		g = <-granted
	}
	if g.Reason != "" {
		return id, fleet.Upstream{}, refuse(string(g.Reason), g.RetryAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The upstream may have left, or have been replaced, while the request waited.
	if r := s.refusal(c); r != nil {
		s.queue.Done(time.Now(), id, false)
		s.deliver(s.queue.Next(time.Now(), nil))
		return id, fleet.Upstream{}, r
	}
	s.begin(id, c)
	return id, s.upstream, nil
}

// begin counts a request that is sent to the upstream. The caller holds mu.
func (s *Service) begin(id uint64, c *link.Call) {
	s.running[id] = c.Fingerprint
	s.notice.requests++
}

// deliver sends the grants to the requests that wait for them. The caller holds mu.
func (s *Service) deliver(grants []Grant) {
	for _, g := range grants {
		if w := s.waiters[g.ID]; w != nil {
			w <- g
			delete(s.waiters, g.ID)
		}
	}
}

// tickInterval is the time between two checks for waiting requests whose deadline can no
// longer be met.
const tickInterval = 25 * time.Millisecond

// scheduleTick schedules the next tick, unless it is scheduled already.
func (s *Service) scheduleTick() {
	if !s.ticking {
		s.ticking = true
		s.timer.Reset(tickInterval)
	}
}

// tick lets the queue grant slots and refuse requests whose deadline can no longer be met.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	s.deliver(s.queue.Next(time.Now(), nil))
	if s.queue.Queued() > 0 {
		s.scheduleTick()
	}
}

// end frees the slot of a request. It reports whether the request succeeded at an upstream
// that had crashed before.
func (s *Service) end(id uint64, good, garbled bool) (revived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	s.queue.Done(time.Now(), id, good)
	s.reportHang(time.Now())
	if good {
		revived, s.down = s.down, false
	}
	if s.health.record(good, garbled) {
		s.deliver(s.queue.Flush(UpstreamMalformed, nil))
	}
	s.deliver(s.queue.Next(time.Now(), nil))
	return revived
}

// run sends the request to the upstream and returns its answer.
func (s *Service) run(ctx context.Context, c *link.Call, id uint64, u fleet.Upstream, deadline time.Time) *link.Answer {
	h := s.options.Headers
	requestID := c.Header.Get(h.RequestID)
	defer s.parents.begin(requestID, parentOf(c, deadline))()
	ended := false
	defer func() {
		if !ended { // a panic, which the caller of Handle recovers
			s.releaseSize(id, c)
			s.end(id, false, false)
		}
	}()
	start := time.Now()
	header := c.Header.Clone()
	header.Set(h.Deadline, formatMillis(deadline.Sub(start)))
	header.Set(h.Expected, u.ID)
	q := &h1.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body, LargeAnswer: c.LargeAnswer}
	response, failure := s.options.Pool.Exchange(ctx, q, h.RequestID, !c.Idempotent)
	if failure == nil {
		s.recordNotice(u, response)
	}
	a := s.interpret(response, failure)
	s.recordSize(id, c, a)
	if failure != nil && (failure.Kind == h1.FailBroken || failure.Kind == h1.FailConnect) {
		s.checkCrash(u, id, failure.MaybeSent)
	}
	good := a.Outcome == link.Ran && a.Status < http.StatusInternalServerError
	s.recordCost(c, a, good, time.Since(start))
	a.Called = s.parents.called(requestID, !good)
	ended = true
	if s.end(id, good, a.Reason == ReasonAnswerMalformed) {
		s.options.OnRecovery(u)
	}
	return a
}

package intake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// The reasons of answers that are not the upstream's.
const (
	ReasonNoUpstream    = "no-upstream"
	ReasonWrongUpstream = "wrong-upstream"
	ReasonLeaving       = "upstream-leaving"
	ReasonStopping      = "node-stopping"
	ReasonPoison        = "poison"
	ReasonShed          = "upstream-shed"
	ReasonConnect       = "upstream-unreachable"
	ReasonBroken        = "answer-broken"
	ReasonMalformed     = "answer-malformed"
	ReasonEnded         = "deadline"
	ReasonUnproven      = "refusal-unproven"
	ReasonNoMemory      = link.ReasonNoMemory
	// ReasonStale: the call was sent to an earlier incarnation of this node.
	ReasonStale = "node-restarted"
)

// Headers names the headers of the exchange with an upstream.
type Headers struct {
	RequestID, Deadline, Signature, NotExecuted, Expected string
}

// Options are what a Service needs.
type Options struct {
	Headers Headers
	Pool    *h1.Pool
	// Uplink is the host's link; nil has no bound.
	Uplink *pace.Uplink
	// Poisoned reports whether requests with a fingerprint crash upstreams.
	Poisoned func(fingerprint uint64) bool
	// Crashed is told of the requests that ran when the upstream crashed.
	Crashed func(fingerprints []uint64, u fleet.Upstream)
	// Revived is told that an upstream that had crashed answers again.
	Revived func(u fleet.Upstream)
	// Halved is told of a route whose mean time was halved, as it alone ruled its
	// requests out.
	Halved func(route string, mean time.Duration)
	// Observe is told how each request ended here.
	Observe func(c *link.Call, a *link.Answer, t Times)
}

// Times are those of a request that ended here.
type Times struct {
	// Waited is the time until it got a slot or was refused, Took the whole time.
	Waited, Took time.Duration
	// RouteMean is the mean time of its route's answers, by which it is let in.
	RouteMean time.Duration
}

// Service runs requests on the upstream beside this node.
type Service struct {
	options Options

	mu       sync.Mutex
	upstream fleet.Upstream
	stopping bool
	queue    *Queue
	waiters  map[uint64]chan Grant
	nextID   uint64
	// running holds the fingerprints of the requests at the upstream by id.
	running  map[uint64]uint64
	standing standing
	// sizes are those of large answers.
	sizes sizes
	// dead tells that the upstream did not listen when it was tried last, and
	// probeAt when it is tried again.
	dead    bool
	probeAt time.Time
	timer   *time.Timer
}

// New returns a service without an upstream.
func New(o Options) *Service {
	s := &Service{options: o, queue: NewQueue(1), waiters: make(map[uint64]chan Grant), running: make(map[uint64]uint64), sizes: newSizes()}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	return s
}

// SetUpstream takes in what the upstream says of itself. From then on requests
// for another one, or for one that leaves, are refused.
func (s *Service) SetUpstream(u fleet.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ID != s.upstream.ID || u.Born != s.upstream.Born {
		s.standing, s.dead = standing{}, false
		s.options.Pool.Forget()
	}
	s.upstream = u
	s.queue.SetSlots(u.Slots)
	if u.State != fleet.StateReady {
		s.deliver(s.queue.Flush(ReasonLeaving, nil))
	}
}

// Stop refuses new requests. Those that run go on.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Running counts the requests at the upstream or waiting for it.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running() + s.queue.Queued()
}

// Load returns what the upstream is doing.
func (s *Service) Load() link.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Service) load() link.Load {
	failing := s.standing.failing
	if s.dead {
		failing = 1
	}
	kilobyte := s.options.Uplink.Time(1 << 10)
	return link.Load{
		LinkMs: inMillis(s.linkWait()), LinkKBMs: inMillis(kilobyte),
		Running: s.queue.Running(), Queued: s.queue.Queued(), Slots: s.queue.Slots(),
		MeanMs: inMillis(s.queue.Mean()), Failing: failing,
	}
}

// linkWait returns how long a new large answer waits for the host's link: for those
// that wait for it and those that are still worked on. The caller holds mu.
func (s *Service) linkWait() time.Duration {
	return s.options.Uplink.Backlog() + s.options.Uplink.Time(s.sizes.promised)
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Handle runs a call or refuses it.
func (s *Service) Handle(ctx context.Context, c *link.Call) *link.Answer {
	start := time.Now()
	a, waited := s.handle(ctx, c, start)
	s.mu.Lock()
	a.Load = s.load()
	mean := s.queue.RouteMean(c.Route)
	s.mu.Unlock()
	s.options.Observe(c, a, Times{Waited: waited, Took: time.Since(start), RouteMean: mean})
	return a
}

func (s *Service) handle(ctx context.Context, c *link.Call, start time.Time) (*link.Answer, time.Duration) {
	deadline := start.Add(time.Duration(c.LeftMs) * time.Millisecond)
	id, upstream, refusal := s.admit(ctx, c, start, deadline)
	waited := time.Since(start)
	if refusal != nil {
		s.learnSize(id, c, refusal)
		return refusal, waited
	}
	return s.run(ctx, c, id, upstream, deadline), waited
}

func refuse(reason string, retryAfter time.Duration) *link.Answer {
	return &link.Answer{Outcome: link.NotRun, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}

// refusal tells why the upstream takes no new requests. The caller holds mu.
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
	case s.options.Poisoned(c.Fingerprint):
		return refuse(ReasonPoison, 0)
	case s.isDead(time.Now()):
		return refuse(ReasonConnect, 0)
	}
	return nil
}

// admit waits for a slot. It returns an answer for a request that gets none.
func (s *Service) admit(ctx context.Context, c *link.Call, now, deadline time.Time) (uint64, fleet.Upstream, *link.Answer) {
	s.mu.Lock()
	if r := s.refusal(c); r != nil {
		s.mu.Unlock()
		return 0, fleet.Upstream{}, r
	}
	s.nextID++
	id := s.nextID
	r := Request{
		ID: id, Route: c.Route, Priority: c.Priority, MayWait: c.MayWait,
		Aim: now.Add(time.Duration(c.AimMs) * time.Millisecond), Deadline: deadline,
	}
	overLink := c.Large && !c.Local
	if overLink {
		r.Link, r.Transfer = s.linkWait(), s.options.Uplink.Time(s.sizes.mean(c.Route))
	}
	v := s.queue.Arrive(now, r)
	if overLink && (v.Run || v.Wait) {
		s.sizes.begin(id, c.Route)
	}
	if v.Run {
		defer s.mu.Unlock()
		s.running[id] = c.Fingerprint
		return id, s.upstream, nil
	}
	if !v.Wait {
		s.mu.Unlock()
		if v.Halved > 0 {
			s.options.Halved(c.Route, v.Halved)
		}
		return 0, fleet.Upstream{}, refuse(string(v.Reason), v.RetryAfter)
	}
	granted := make(chan Grant, 1)
	s.waiters[id] = granted
	s.setTimer(now)
	s.mu.Unlock()
	return s.wait(ctx, c, id, granted)
}

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
	// The upstream may have left, or another may have come, while the request waited.
	if r := s.refusal(c); r != nil {
		s.queue.Done(time.Now(), id, false)
		s.deliver(s.queue.Next(time.Now(), nil))
		return id, fleet.Upstream{}, r
	}
	s.running[id] = c.Fingerprint
	return id, s.upstream, nil
}

// deliver hands out what the queue decided. The caller holds mu.
func (s *Service) deliver(grants []Grant) {
	for _, g := range grants {
		if w := s.waiters[g.ID]; w != nil {
			w <- g
			delete(s.waiters, g.ID)
		}
	}
}

// tickInterval is the time between two looks at waiting requests for which
// waiting may have become of no use.
const tickInterval = 25 * time.Millisecond

func (s *Service) setTimer(time.Time) { s.timer.Reset(tickInterval) }

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.deliver(s.queue.Next(now, nil))
	if s.queue.Queued() > 0 {
		s.setTimer(now)
	}
}

// end gives the slot of a request back, and reports whether its good end shows that
// an upstream that had crashed is back.
func (s *Service) end(id uint64, good, garbled bool) (revived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	s.queue.Done(time.Now(), id, good)
	if good {
		revived, s.dead = s.dead, false
	}
	if s.standing.note(good, garbled) {
		s.deliver(s.queue.Flush(Garbled, nil))
	}
	s.deliver(s.queue.Next(time.Now(), nil))
	return revived
}

// run sends the request to the upstream.
func (s *Service) run(ctx context.Context, c *link.Call, id uint64, u fleet.Upstream, deadline time.Time) *link.Answer {
	h := s.options.Headers
	start := time.Now()
	header := c.Header.Clone()
	header.Set(h.Deadline, millis(deadline.Sub(start)))
	header.Set(h.Expected, u.ID)
	q := &h1.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body, LargeAnswer: c.Large}
	response, failure := s.options.Pool.Exchange(ctx, q, h.RequestID, !c.Idempotent)
	a := s.read(response, failure)
	s.learnSize(id, c, a)
	if failure != nil && (failure.Kind == h1.FailBroken || failure.Kind == h1.FailConnect) {
		s.checkCrash(u, id, failure.Sent)
	}
	good := a.Outcome == link.Ran && a.Status < http.StatusInternalServerError
	if s.end(id, good, a.Reason == ReasonMalformed) {
		s.options.Revived(u)
	}
	return a
}

// read says what an exchange tells about the request.
func (s *Service) read(r *h1.Response, f *h1.Failure) *link.Answer {
	if f != nil {
		return failed(f)
	}
	h := s.options.Headers
	if r.Header.Get(h.NotExecuted) != "" || r.Status == http.StatusMisdirectedRequest {
		r.Held.Release()
		a := refuse(ReasonShed, 0)
		a.Arrived = true
		if r.Status == http.StatusMisdirectedRequest {
			a.Reason = ReasonWrongUpstream
		}
		return a
	}
	signed := r.Header.Get(h.Signature) != ""
	switch {
	case r.Status < http.StatusBadRequest && !signed, r.Header.Get("Content-Encoding") != "":
		r.Held.Release()
		return &link.Answer{Outcome: link.Unknown, Reason: ReasonMalformed, Arrived: true}
	case isPromise(r.Status):
		// Such a status would promise that the request did not run.
		r.Held.Release()
		return &link.Answer{Outcome: link.Unknown, Reason: ReasonUnproven, Arrived: true}
	}
	return &link.Answer{Outcome: link.Ran, Status: r.Status, Header: r.Header, Body: r.Body, Held: r.Held, Arrived: true}
}

// isPromise reports whether a status tells callers that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func failed(f *h1.Failure) *link.Answer {
	a := &link.Answer{Outcome: link.Unknown, Arrived: f.Sent}
	if !f.Sent {
		a.Outcome = link.NotRun
	}
	switch f.Kind {
	case h1.FailConnect:
		a.Reason = ReasonConnect
	case h1.FailMalformed:
		a.Reason = ReasonMalformed
	case h1.FailEnded:
		a.Reason = ReasonEnded
	case h1.FailMemory:
		a.Reason = ReasonNoMemory
	default:
		a.Reason = ReasonBroken
	}
	return a
}

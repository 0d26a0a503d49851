package dispatch

import (
	"context"
	"hash"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// The reasons of answers that are given here.
const (
	ReasonNoConfig   = "no-configuration"
	ReasonNoRoute    = "no-route"
	ReasonNoID       = "no-request-id"
	ReasonNotSent    = "node-unreachable"
	ReasonLost       = "node-lost"
	ReasonUnreadable = "request-unreadable"
	ReasonNoMemory   = link.ReasonNoMemory
	ReasonInternal   = link.ReasonInternal
)

const (
	// answerSlack is how long past its time a request waits for an answer that is
	// on its way.
	answerSlack = 80 * time.Millisecond
	// patience is how long an idempotent request waits for a lost node before it
	// is placed elsewhere. Others wait to their deadline, as only that node knows
	// whether they ran.
	patience = 120 * time.Millisecond
	// quickTries is the number of upstreams that are asked for a free slot before
	// a request may wait for one.
	quickTries = 3
	// startRetryAfter is the advice while no configuration or upstream is known.
	startRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the shortest advice.
	minRetryAfter = 30 * time.Millisecond
)

// Headers names the headers of requests and answers.
type Headers struct {
	RequestID, Deadline, Caller, Expected, Signature string
}

// Options are what a Service needs.
type Options struct {
	Headers    Headers
	Node       string
	DataCentre string
	Region     string
	// Service is the one of the upstream beside this node.
	Service string
	Config  *meshconf.Holder
	Table   *fleet.Table
	// Send sends a call to the node of an upstream.
	Send func(ctx context.Context, node string, c *link.Call, patience time.Duration) (*link.Answer, error)
	// Reachable reports whether a node could be reached at the last attempt.
	Reachable func(node string) bool
	Budget    func() BudgetLimits
	// Poisoned reports whether requests with a fingerprint crash upstreams.
	Poisoned func(fingerprint uint64) bool
	// Observe is told how each request ended.
	Observe func(r *Record)
	// Panicked is told of unexpected errors while a try is sent.
	Panicked guard.Report
	// Repeated is told of each request that is placed again.
	Repeated func(r *Record, reason string, verdict Next, allowed bool)
	// Silent is told when the upstream of a node begins or ends to be avoided, since
	// a share of the newest requests brought no answer.
	Silent func(node string, share float64, avoided bool)
}

// Record tells how a request ended, for its log line and counters.
type Record struct {
	ID, Route, Service, Node string
	Version                  uint64
	Status                   int
	Outcome                  link.Outcome
	Reason                   string
	Places, Arrivals         int
	RetryAfter               time.Duration
	Took, Left               time.Duration
	// Report is the newest load of the upstream, and ReportAge its age.
	Report    link.Load
	ReportAge time.Duration
	// CallerGone tells that nobody waits for the answer.
	CallerGone bool
}

// endpoint is what this node saw of an upstream's node.
type endpoint struct {
	inFlight     int
	report       link.Load
	reportAt     time.Time
	inFlightThen int
	// large and largeThen count the large answers among them.
	large     int
	largeThen int
	silence   Silence
	// avoided tells that the silence was reported.
	avoided bool
}

// Service answers the requests that begin on this host.
type Service struct {
	options Options

	mu        sync.Mutex
	endpoints map[string]*endpoint
	rings     map[string]*ring // by service
	splits    map[string]*Split
	// usual is the time that the callers of a route give.
	usual   map[string]*UsualTime
	budgets map[string]*Budget
	// bytes is the mean size of a route's requests and answers.
	bytes map[string]float64
	// took is the mean time of a route's answers.
	took map[string]time.Duration
}

// New returns a service.
func New(o Options) *Service {
	return &Service{
		options:   o,
		endpoints: make(map[string]*endpoint),
		rings:     make(map[string]*ring),
		splits:    make(map[string]*Split),
		usual:     make(map[string]*UsualTime),
		budgets:   make(map[string]*Budget),
		bytes:     make(map[string]float64),
		took:      make(map[string]time.Duration),
	}
}

// request is a request on its way.
type request struct {
	q        *h1.Request
	id       string
	route    *meshconf.Route
	service  string
	deadline time.Time
	aim      time.Time
	call     link.Call
	tried    map[string]bool
	// busy are the nodes that had no free slot and may be asked to wait for one.
	busy     map[string]bool
	places   int
	waits    int // nodes that refused to let the request wait
	arrivals int
	mayRun   bool // some try may have run
	// answer is the newest answer of an upstream, which may be a failure.
	answer *link.Answer
	// retryAfter is the shortest advice of the refusals, 0 for none.
	retryAfter time.Duration
	reason     string
	node       string
	version    uint64
}

// Handle answers one request.
func (s *Service) Handle(ctx context.Context, q *h1.Request) *h1.Response {
	snap := s.options.Config.Current()
	r := &request{q: q, id: q.Header.Get(s.options.Headers.RequestID), tried: make(map[string]bool), busy: make(map[string]bool)}
	if snap == nil {
		return s.end(ctx, r, refusal(http.StatusServiceUnavailable, ReasonNoConfig, startRetryAfter))
	}
	r.version = snap.Version
	route, ok := snap.Match(q.Host, q.Path)
	if !ok {
		return s.end(ctx, r, refusal(http.StatusNotFound, ReasonNoRoute, 0))
	}
	r.route = route
	if r.id == "" {
		return s.end(ctx, r, refusal(http.StatusBadRequest, ReasonNoID, 0))
	}
	s.prepare(r)
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(answerSlack))
	defer cancel()
	return s.end(ctx, r, s.place(ctx, r))
}

// prepare sets the times of a request and what is sent of it.
func (s *Service) prepare(r *request) {
	h := s.options.Headers
	limit := r.route.Timeout
	waited := time.Duration(0)
	if ms, err := strconv.ParseFloat(r.q.Header.Get(h.Deadline), 64); err == nil && ms >= 0 {
		given := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, given)
		waited = s.waited(r.route.Name, given)
	}
	r.deadline = r.q.Arrived.Add(limit)
	r.aim = r.q.Arrived.Add(min(limit, r.route.Target-waited))
	header := r.q.Header.Clone()
	header.Del(h.Deadline)
	header.Del(h.Expected)
	header.Set(h.Caller, s.options.Service)
	r.call = link.Call{
		Route: r.route.Name, Method: r.q.Method, Target: r.q.Target, Host: r.q.Host, Header: header, Body: r.q.Body,
		Priority: r.route.Priority, Idempotent: r.route.Idempotent,
		Fingerprint: fingerprint(r.q, s.options.Service), Large: r.route.LargeAnswers,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	split := s.splits[r.route.Name]
	if split == nil {
		split = &Split{}
		s.splits[r.route.Name] = split
	}
	r.service = split.Next(r.route.Parts, rand.Float64())
	r.call.Service = r.service
	s.budget(r.service).Request(time.Now(), s.options.Budget())
}

// waited estimates how long a caller of the route has waited before this request.
func (s *Service) waited(route string, given time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usual[route]
	if u == nil {
		u = &UsualTime{}
		s.usual[route] = u
	}
	return u.Waited(given)
}

// budget returns the budget of a service. The caller holds mu.
func (s *Service) budget(service string) *Budget {
	b := s.budgets[service]
	if b == nil {
		b = &Budget{}
		s.budgets[service] = b
	}
	return b
}

// fingerprint is equal for requests that do the same.
func fingerprint(q *h1.Request, caller string) uint64 {
	var d hash.Hash64 = xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.Target, caller} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

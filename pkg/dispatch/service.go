package dispatch

import (
	"context"
	"hash"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragondrum/tarragondrum/pkg/cost"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
)

// Reasons of responses that this package generates.
const (
	ReasonNoConfig = "no-configuration"
	ReasonNoRoute  = "no-route"
	ReasonNoID     = "no-request-id"
	ReasonNotSent  = "node-unreachable"
	ReasonLost     = "node-lost"
	// ReasonBodyNotSent: the connection or the time ended before the body was sent, so that the
	// request did not run.
	ReasonBodyNotSent = "body-not-sent"
	ReasonUnreadable  = "request-unreadable"
	ReasonNoMemory    = link.ReasonNoMemory
	ReasonInternal    = link.ReasonInternal
	// ReasonUnknownKey refuses a request without the key of an organisation, and
	// ReasonKeysNotCurrent one whose key cannot be checked because the configuration in force may be
	// outdated. ReasonQuota refuses a request above the limit of its organisation.
	ReasonUnknownKey     = "unknown-key"
	ReasonKeysNotCurrent = "keys-not-current"
	ReasonQuota          = "quota"
	// ReasonCallsOverloaded: calls that requests of the route make are refused or late.
	ReasonCallsOverloaded = "calls-overloaded"
)

const (
	// answerSlack is how long after its deadline a request still waits for an answer that is
	// in transit.
	answerSlack = 80 * time.Millisecond
	// lostNodeTimeout is how long an idempotent request waits for a node that does not
	// respond before it is retried elsewhere. Other requests wait until their deadline,
	// because only that node knows whether they ran.
	lostNodeTimeout = 120 * time.Millisecond
	// maxFreeSlotTries is the number of nodes that are asked for a free slot before a request
	// may wait for one.
	maxFreeSlotTries = 3
	// startRetryAfter is the Retry-After time while no configuration or upstream is known.
	startRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the shortest Retry-After time.
	minRetryAfter = 30 * time.Millisecond
)

// Headers holds the names of the headers that requests and answers carry, and values of them.
type Headers struct {
	RequestID, Deadline, Caller, Expected, Signature, Authorization, Organisation string
	// KeyScheme is the scheme of keys in the Authorization header.
	KeyScheme string
}

// Options holds the settings, dependencies and callbacks of a Service.
type Options struct {
	Headers    Headers
	Node       string
	DataCentre string
	Region     string
	// Service is the name of the service whose upstream runs beside this node.
	Service string
	Config  *meshconf.Holder
	Table   *fleet.Table
	// Versions tells versions of upstreams apart. With nil, they are not told apart.
	Versions Versions
	// Send sends a call to a node and returns its answer. It gives up on a node that does not
	// respond within the timeout.
	Send func(ctx context.Context, node string, c *link.Call, timeout time.Duration) (*link.Answer, error)
	// Reachable reports whether the last attempt to connect to a node succeeded.
	Reachable func(node string) bool
	Budget    func() RetryLimits
	// DecodeKey returns the key of a request's organisation, or an empty text if it has none.
	DecodeKey func(h http.Header) string
	// Currency says whether a configuration, which is in force, is known to be current.
	Currency func(s *meshconf.Snapshot) Currency
	// Quota limits the requests of organisations. With nil there are no limits.
	Quota Quota
	// Parents recognises the calls of requests that run at the upstream beside this node. With
	// nil, all requests are new ones.
	Parents ParentLookup
	// Poisoned reports whether requests with this fingerprint crash upstreams.
	Poisoned func(fingerprint uint64) bool
	// OnCompleted is called with the fingerprint of a request that an upstream answered with a
	// status below 500. It may be nil.
	OnCompleted func(fingerprint uint64)
	// DecodeNotice decodes what an answer tells about its upstream.
	DecodeNotice func(h http.Header) (fleet.Notice, error)
	// OnFinish is called when a request has ended.
	OnFinish func(r *Record)
	// OnPanic is called with a panic that occurred during a try.
	OnPanic guard.ReportFunc
	// OnRetryDecision is called for each decision on a retry. allowed reports whether the request is
	// retried.
	OnRetryDecision func(r *Record, reason string, verdict RetryDecision, allowed bool)
	// OnCallsOverload is called when the node starts or stops refusing requests of a route
	// because their calls to a service fail. share is the refused share. It may be nil.
	OnCallsOverload func(route, service string, share float64)
	// OnAvoidChange is called when the upstream of a node starts or stops being avoided because of
	// the share of recent requests that it did not answer.
	OnAvoidChange func(node string, share float64, avoided bool)
}

// Record describes a request for its log line and metrics.
type Record struct {
	ID, Route, Service, Node string
	Version                  uint64
	Status                   int
	Outcome                  link.Outcome
	Reason                   string
	// Tries counts the nodes that the request was sent to, Arrivals the upstreams that
	// may have received it.
	Tries, Arrivals int
	RetryAfter      time.Duration
	// Took is the time since the request arrived, Left the time until its deadline.
	Took, Left time.Duration
	// Report is the newest load report of the upstream and ReportAge its age, negative if
	// there is none.
	Report    link.Load
	ReportAge time.Duration
	// Nested reports that a request that ran at the upstream beside this node made the call.
	Nested bool
	// CallerGone reports that the caller closed its connection before the answer.
	CallerGone bool
	// Organisation is the name of the caller's organisation, empty without one.
	Organisation string
	// UpstreamVersion is the version of the software of the upstream that got the last try.
	UpstreamVersion string
}

// endpoint holds what this node observed of the upstream of another node.
type endpoint struct {
	// inFlight counts the requests that this node sent there and that are not answered.
	inFlight int
	report   link.Load
	reportAt time.Time
	// inFlightThen is the value of inFlight when the newest report arrived.
	inFlightThen int
	// large is the number of large answers among the requests in flight, and largeThen the
	// value when the newest report arrived.
	large     int
	largeThen int
	// bodies is the number of bytes of the large bodies of requests in flight, and bodiesThen the
	// value when the newest report arrived.
	bodies     int
	bodiesThen int
	// startedSince counts the requests that were sent since the newest report.
	startedSince int
	// sentWork is the expected slot time of these.
	sentWork time.Duration
	// notice is what the upstream process noticeOf told in its newest answer to this node.
	notice   fleet.Notice
	noticeOf fleet.Upstream
	silence  UnansweredShare
	// avoided reports whether the upstream is avoided because it does not answer, as last
	// passed to Options.OnAvoidChange.
	avoided bool
}

// Service handles the requests that enter the mesh at this host.
type Service struct {
	options  Options
	versions Versions
	// endAt is when the process ends, nil before EndAt.
	endAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	endpoints map[string]*endpoint
	rings     map[ringKey]*ring
	// splits holds the weighted round robin state, by route.
	splits map[string]*Split
	// usualTimes estimates the time that callers give, by route.
	usualTimes map[string]*TypicalTimeout
	budgets    map[string]*RetryBudget
	// meanBytes is the mean size of a request and its answer together, by route.
	meanBytes map[string]float64
	// meanTimes is the mean time until an answer, by route.
	meanTimes map[string]time.Duration
	// costs estimates the slot time of requests at an upstream of usual speed.
	costs *cost.Estimator

	overload overload
}

// New returns a Service that has not observed any upstream yet.
func New(o Options) *Service {
	versions := o.Versions
	if versions == nil {
		versions = allVersions{o.Table}
	}
	return &Service{
		options:    o,
		versions:   versions,
		endpoints:  make(map[string]*endpoint),
		rings:      make(map[ringKey]*ring),
		splits:     make(map[string]*Split),
		usualTimes: make(map[string]*TypicalTimeout),
		budgets:    make(map[string]*RetryBudget),
		meanBytes:  make(map[string]float64),
		meanTimes:  make(map[string]time.Duration),
		costs:      cost.NewEstimator(),
	}
}

// request is the state of one request while it is handled.
type request struct {
	req      *h1.Request
	id       string
	route    *meshconf.Route
	service  string
	deadline time.Time
	// target is the time until which an answer has its full value for the caller.
	target time.Time
	call   link.Call
	// tried holds the nodes that are excluded from the next try.
	tried map[string]bool
	// noSlot holds the nodes that had no free slot. They may be asked again to queue the
	// request.
	noSlot map[string]bool
	// tries counts the nodes that the request was sent to.
	tries        int
	waitRefusals int // nodes that refused to queue the request
	// parentID is the id of the request that made a nested call.
	parentID string
	// called are the services that the request called in its newest try.
	called []link.CalledService
	// arrivals counts the upstreams that may have received the request.
	arrivals   int
	mayHaveRun bool // a try may have run
	// answer is the newest answer of an upstream, which may be a failure.
	answer *link.Answer
	// retryAfter is the shortest Retry-After time of the nodes that refused the request, 0 if
	// there is none.
	retryAfter time.Duration
	reason     string
	node       string
	version    uint64
	// hasOrganisations is set if the configuration has organisations. organisation is that of the
	// caller's key, nil if the route needs none.
	hasOrganisations bool
	organisation     *meshconf.Organisation
	// expected is the expected slot time at an upstream of usual speed, expectedThere the one at
	// the chosen upstream, 0 if they are not known. usualSpeed is the speed that counted as usual.
	expected, expectedThere time.Duration
	usualSpeed              float64
	// token is the token of Options.Quota that the request holds while tookQuota is set.
	token     quota.Token
	tookQuota bool
	// toNew reports that the next try may go to a version that is being rolled out.
	toNew bool
	// upstreamVersion is the version of the software of the upstream that got the last try.
	upstreamVersion string
}

// Handle processes one request and returns its final response.
func (s *Service) Handle(ctx context.Context, req *h1.Request) *h1.Response {
	snap := s.options.Config.Current()
	r := &request{req: req, id: req.Header.Get(s.options.Headers.RequestID), tried: make(map[string]bool), noSlot: make(map[string]bool)}
	if snap == nil {
		return s.finish(ctx, r, errorResponse(http.StatusServiceUnavailable, ReasonNoConfig, startRetryAfter))
	}
	r.version = snap.Version
	route, ok := snap.Match(req.Host, req.Path)
	if !ok {
		return s.finish(ctx, r, errorResponse(http.StatusNotFound, ReasonNoRoute, 0))
	}
	r.route = route
	if refusal := s.admit(ctx, r, snap); refusal != nil {
		return s.finish(ctx, r, refusal)
	}
	if r.id == "" {
		return s.finish(ctx, r, errorResponse(http.StatusBadRequest, ReasonNoID, 0))
	}
	s.prepare(r)
	s.callStarted(r)
	if s.refusedForCalls(r) {
		return s.finish(ctx, r, s.failureResponse(r, ReasonCallsOverloaded))
	}
	if s.endsBefore(r.deadline) {
		return s.finish(ctx, r, s.failureResponse(r, intake.ReasonStopping))
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(answerSlack))
	defer cancel()
	return s.finish(ctx, r, s.forward(ctx, r))
}

// EndAt makes the service refuse further requests that may be unanswered at a time, at which
// the process ends.
func (s *Service) EndAt(t time.Time) { s.endAt.Store(&t) }

// endsBefore reports whether the process may end before a request with the given deadline is
// answered.
func (s *Service) endsBefore(deadline time.Time) bool {
	end := s.endAt.Load()
	return end != nil && deadline.Add(answerSlack).After(*end)
}

// prepare sets the deadline and target time of a request, chooses its service and builds the
// call that is sent to upstreams.
func (s *Service) prepare(r *request) {
	h := s.options.Headers
	limit := r.route.Timeout
	waited := time.Duration(0)
	if ms, err := strconv.ParseFloat(r.req.Header.Get(h.Deadline), 64); err == nil && ms >= 0 {
		given := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, given)
		waited = s.estimateWaited(r.route.Name, given)
	}
	r.deadline = r.req.Arrived.Add(limit)
	r.target = r.req.Arrived.Add(min(limit, r.route.Target-waited))
	header := r.req.Header.Clone()
	header.Del(h.Deadline)
	header.Del(h.Expected)
	header.Set(h.Caller, s.options.Service)
	r.identify(&h, header)
	r.call = link.Call{
		Route: r.route.Name, Method: r.req.Method, Target: r.req.Target, Host: r.req.Host, Header: header, Body: r.req.Body,
		Priority: r.route.Priority, Idempotent: r.route.Idempotent,
		Fingerprint: fingerprint(r.req, s.options.Service), LargeAnswer: r.route.LargeAnswers,
	}
	if o := r.organisation; o != nil {
		r.call.Organisation, r.call.Weight = o.Name, o.RatePerS
		if o.Priority != nil {
			r.call.Priority = *o.Priority
		}
	}
	s.inherit(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	split := s.splits[r.route.Name]
	if split == nil {
		split = &Split{}
		s.splits[r.route.Name] = split
	}
	r.service = split.Next(r.route.Parts, rand.Float64())
	r.call.Service = r.service
	r.toNew = s.versions.Arrive(r.service)
	s.budget(r.service).CountRequest(time.Now(), s.options.Budget(), r.call.Nested)
}

// estimateWaited estimates how long a caller of the route has waited before this request.
func (s *Service) estimateWaited(route string, given time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usualTimes[route]
	if u == nil {
		u = &TypicalTimeout{}
		s.usualTimes[route] = u
	}
	return u.EstimateWaited(given)
}

// budget returns the budget of a service. The caller holds mu.
func (s *Service) budget(service string) *RetryBudget {
	b := s.budgets[service]
	if b == nil {
		b = &RetryBudget{}
		s.budgets[service] = b
	}
	return b
}

// fingerprint returns a hash of the method, host, target, caller and body of a request.
// Requests with equal fingerprints are treated as the same operation.
func fingerprint(req *h1.Request, caller string) uint64 {
	var d hash.Hash64 = xxhash.New()
	for _, part := range []string{req.Method, req.Host, req.Target, caller} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

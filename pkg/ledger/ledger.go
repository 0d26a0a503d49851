// Package ledger keeps orders to at most one run: it records on the platform
// which node owns which idempotency keys, keeps the records of the orders that
// this node owns, and hands them over when the node stops. The decisions are
// those of package order.
package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Name is the name under which the service is looked up.
const Name = "orders"

const (
	// tickInterval is the time between two polls of a service's coordinator.
	tickInterval = 2 * time.Second
	// ownerTimeout is the silence after which an owner counts as gone.
	ownerTimeout = 10 * time.Second
	// callTimeout bounds one message to a peer, platformTimeout one call to the
	// platform.
	callTimeout     = time.Second
	platformTimeout = 2 * time.Second
	// firstLocateTimeout bounds the wait of the first order for a service.
	firstLocateTimeout = time.Second
	// firstKeyAge is the age of the oldest keys that the first owners take.
	firstKeyAge = time.Minute
)

// Options configure the service.
type Options struct {
	// Transport is the mesh transport; handlers are registered on it by New.
	Transport mesh.Transport
	Registry  *metric.Registry
	Log       *event.Log
	// TakesOrders reports whether the bundle in force has a route of class order
	// to the service. Owners are recorded for these in advance, and for any other
	// service at its first order. Nil means that none is known.
	TakesOrders func(service string) bool
	// Lookahead and Limits are the defaults of package order if they are zero.
	Lookahead order.Lookahead
	Limits    order.Limits
}

// Service implements order.Ledger. It needs "platform" and "membership".
type Service struct {
	opts      Options
	self      order.Owner
	transport mesh.Transport
	store     platform.Store
	source    membership.Source
	metrics   metrics
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu sync.Mutex
	// deadSince holds when this node first saw the end of another one.
	deadSince map[model.NodeID]order.Birth
	started   order.Birth
	usage     order.Usage
	services  map[string]*service
}

// service is what the node knows of one service's keys. Its fields are
// protected by Service.mu.
type service struct {
	name  string
	book  *order.Book
	table order.Table
	// layout is the digest of the table's layout.
	layout uint64
	// revision is that of the table's object; empty if not known.
	revision platform.Revision
	// heard holds the owners that polled this node.
	heard  map[order.Owner]contact
	takers []order.Owner
	// stale asks for a fresh table; checked is the time of the last poll.
	stale   bool
	checked time.Time
	cut     bool
	// outage is the state of the platform for this service's owners.
	outage backoff
	// writing serialises updates of the object, fetching those of the cache.
	writing  chan struct{}
	fetching chan struct{}
	claims   [claimShards]*claimant
}

type contact struct {
	at    time.Time
	takes bool
}

// New returns the service and registers its handlers on the transport.
func New(opts Options) *Service {
	if opts.Lookahead == (order.Lookahead{}) {
		opts.Lookahead = order.DefaultLookahead()
	}
	if opts.Limits == (order.Limits{}) {
		opts.Limits = order.DefaultLimits()
	}
	self := opts.Transport.Self()
	s := &Service{
		opts:      opts,
		self:      order.Owner{Node: self.ID, Instance: newOperation()},
		transport: opts.Transport,
		deadSince: make(map[model.NodeID]order.Birth),
		services:  make(map[string]*service),
	}
	s.metrics = newMetrics(opts.Registry, s)
	s.transport.Handle(mesh.KindOrderAdmission, s.handlePoll)
	s.transport.Handle(mesh.KindOrderTransfer, s.handleTransfer)
	s.transport.Handle(mesh.KindOrderRecord, s.handleRecord)
	return s
}

// newOperation returns an identifier that is used only once.
func newOperation() string { return uuid.NewString()[:13] }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{"platform", "membership"} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.store, err = kernel.Lookup[platform.Store](k, "platform"); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if s.source, err = kernel.Lookup[membership.Source](k, "membership"); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	s.mu.Lock()
	s.started = order.BirthOf(time.Now())
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service. It hands ranges and records to successors. A
// hand-over that fails is counted and logged; it is no error of the stop, since
// no key then runs twice: keys of this node are answered unknown.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.done.Wait()
	s.handOver(ctx)
	return nil
}

// service returns the state of the named service. s.mu must be held.
func (s *Service) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{
			name:     name,
			book:     order.NewBook(s.self, s.started, s.opts.Limits, &s.usage),
			heard:    make(map[order.Owner]contact),
			writing:  make(chan struct{}, 1),
			fetching: make(chan struct{}, 1),
		}
		s.services[name] = svc
	}
	return svc
}

// adopt takes a confirmed table. s.mu must be held.
func (s *Service) adopt(svc *service, t order.Table, rev platform.Revision) {
	if t.Validate() != nil || t.Service != svc.name {
		return
	}
	if t.Version < svc.table.Version || t.Version == svc.table.Version && svc.revision != "" {
		return
	}
	svc.table = t
	svc.layout = t.Layout()
	svc.revision = rev
	svc.book.Adopt(t)
}

// Begin implements order.Ledger.
func (s *Service) Begin(ctx context.Context, r order.Request) order.Decision {
	k, err := order.ParseKey(r.Key)
	if err != nil {
		return s.count(order.Decision{Verdict: order.VerdictRefuse, Reason: reason.KeyMalformed, Effect: reason.NotRun})
	}
	if !k.Timed {
		return s.count(s.beginOpaque(ctx, r, k))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(r.Service)
	d := svc.book.Begin(order.BirthOf(time.Now()), k, r.Digest)
	if d.Reason == reason.KeyUnowned && svc.outage.failing() && svc.lapsed(k, s.self) {
		d.Reason, d.RetryAfter = reason.PlatformDown, retryPlatform
	}
	return s.count(d)
}

// lapsed reports whether key k would belong to owner o if it could extend its
// range.
func (svc *service) lapsed(k order.Key, o order.Owner) bool {
	if svc.table.Version == 0 {
		return false
	}
	last := svc.table.Last(k.Shard)
	return last.Owner == o && k.Birth >= last.Until
}

// Finish implements order.Ledger.
func (s *Service) Finish(r order.Request, o order.Outcome) {
	s.end(r, func(b *order.Book, k order.Key) { b.Finish(k.ID, o) })
}

// NotRun implements order.Ledger.
func (s *Service) NotRun(r order.Request) {
	s.end(r, func(b *order.Book, k order.Key) { b.NotRun(k) })
}

// Lost implements order.Ledger.
func (s *Service) Lost(r order.Request) {
	s.end(r, func(b *order.Book, k order.Key) { b.Lost(k.ID) })
}

func (s *Service) end(r order.Request, record func(*order.Book, order.Key)) {
	k, err := order.ParseKey(r.Key)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.service(r.Service).book, k)
}

// count counts a decision. It may be called with or without s.mu.
func (s *Service) count(d order.Decision) order.Decision {
	s.metrics.decisions.WithLabelValues(string(d.Verdict), string(d.Reason)).Inc()
	if d.Reason == reason.KeyStoreFull {
		s.opts.Log.Emit(event.OrderStoreFull)
	}
	return d
}

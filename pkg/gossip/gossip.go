// Package gossip runs the membership: it probes peers, spreads updates down the
// trees, repairs by anti-entropy, and joins and leaves the mesh. Package
// membership decides; this one does the I/O. Its service name is "membership".
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/contacts"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Name is the name of the service.
const Name = "membership"

// Dissemination says how updates reach every node.
type Dissemination string

// The ways of dissemination. Only the tree is meant for production; the others
// are what it is measured against.
const (
	// DisseminationTree pushes updates down the trees of the leads.
	DisseminationTree Dissemination = "tree"
	// DisseminationGossip lets updates ride on probes.
	DisseminationGossip Dissemination = "gossip"
	// DisseminationExchange leaves everything to anti-entropy.
	DisseminationExchange Dissemination = "exchange"
)

// Options configures the service.
type Options struct {
	// Self is the record of this node; its incarnation must be higher than that
	// of an earlier process with the same id, such as the start time.
	Self      membership.Record
	Transport mesh.Transport
	Log       *event.Log
	Registry  *metric.Registry
	// Platform holds the contact objects; nil means that there are none.
	Platform platform.Store
	// Contacts are mesh addresses to try besides those in the platform.
	Contacts []string
	// Seed makes the random choices.
	Seed   uint64
	Timing Timing
	// ProbeInterval overrides that of Timing when it is not zero.
	ProbeInterval time.Duration
	Table         membership.Config
	Dissemination Dissemination
	// Fanout is the number of children of a node in the trees.
	Fanout int
}

// Service is the running membership of one node.
type Service struct {
	options Options
	log     *event.Log
	metrics *metrics
	book    *contacts.Book
	timing  Timing

	mu         sync.Mutex // guards the fields down to echo
	table      *membership.Table
	random     *rand.Rand
	changedAt  time.Time
	exchanged  time.Time
	rumours    membership.Rumours
	recent     *recent
	centreFail map[model.DataCentre]int
	echo       membership.Record // the local record as it last came down a tree

	view      atomic.Pointer[membership.View]
	changedMu sync.Mutex
	changed   chan struct{}
	dirty     chan struct{}

	hooks     atomic.Pointer[hooks]
	probes    pending
	syncs     chan mesh.Peer
	outbox    *batch // to a lead
	treeBox   *batch // down the tree of this node
	remoteBox *batch // to the other data centres
	admission *rate.Limiter
	serving   chan struct{} // bounds exchanges served at a time
	pushing   chan struct{} // bounds updates passed on at a time
	sequence  atomic.Uint64
	joined    chan struct{}
	joinOnce  sync.Once

	ctx     context.Context
	cancel  context.CancelFunc
	spawnMu sync.Mutex // orders spawn and Kill
	wg      sync.WaitGroup
}

// hooks connect the membership to services that start after it.
type hooks struct {
	applied func() model.Version
	offer   func(from model.NodeID, v model.Version)
}

var (
	_ membership.Source = (*Service)(nil)
	_ kernel.Service    = (*Service)(nil)
)

// New returns the service and registers its handlers with the transport.
func New(o Options) (*Service, error) {
	if err := o.Self.Validate(); err != nil {
		return nil, fmt.Errorf("record of this node: %w", err)
	}
	o.setDefaults()
	s := &Service{
		options:    o,
		log:        o.Log,
		metrics:    newMetrics(o.Registry),
		timing:     o.Timing,
		random:     rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation)),
		recent:     newRecent(),
		centreFail: make(map[model.DataCentre]int),
		changed:    make(chan struct{}),
		dirty:      make(chan struct{}, 1),
		syncs:      make(chan mesh.Peer, 1),
		admission:  rate.NewLimiter(joinsPerSecond, joinBurst),
		serving:    make(chan struct{}, maxServing),
		pushing:    make(chan struct{}, maxPushing),
		joined:     make(chan struct{}),
	}
	if o.Platform != nil {
		s.book = contacts.NewBook(o.Platform, o.Self.ID, o.Registry)
	}
	s.table = membership.NewTable(o.Table, o.Self, time.Now(), s.random, s.observe)
	s.outbox = newBatch(s.submit)
	s.treeBox = newBatch(s.pushOwnTree)
	s.remoteBox = newBatch(s.pushCentres)
	s.sequence.Store(o.Self.Incarnation)
	s.hooks.Store(&hooks{
		applied: func() model.Version { return 0 },
		offer:   func(model.NodeID, model.Version) {},
	})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.publish()
	s.register(o.Transport)
	return s, nil
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = event.Discard()
	}
	if o.Registry == nil {
		o.Registry = metric.NewRegistry()
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.ProbeInterval != 0 {
		o.Timing.ProbeInterval = o.ProbeInterval
	}
	if o.Table == (membership.Config{}) {
		o.Table = membership.DefaultConfig()
	}
	if o.Dissemination == "" {
		o.Dissemination = DisseminationTree
	}
	if o.Fanout == 0 {
		o.Fanout = defaultFanout
	}
}

// Name returns the name of the service.
func (s *Service) Name() string { return Name }

// Needs returns the names of the services that must run before this one.
func (s *Service) Needs() []string { return []string{"mesh"} }

// SetHooks connects the roll-out: applied returns the version in force, and
// offer is called when a peer has a newer one. It may be called at any time.
func (s *Service) SetHooks(applied func() model.Version, offer func(from model.NodeID, v model.Version)) {
	s.hooks.Store(&hooks{applied: applied, offer: offer})
}

// Joined returns a channel that is closed once this node has taken part in an
// exchange with another.
func (s *Service) Joined() <-chan struct{} { return s.joined }

// Start begins to join and to probe.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	loops := []func(){
		s.probeLoop, s.publishLoop, s.syncLoop, s.joinLoop, s.gatewayLoop,
		func() { s.outbox.run(s.ctx) },
		func() { s.treeBox.run(s.ctx) },
		func() { s.remoteBox.run(s.ctx) },
	}
	if s.book != nil {
		loops = append(loops, s.contactsLoop)
	}
	for _, loop := range loops {
		s.wg.Go(loop)
	}
	return nil
}

// Stop tells the peers that this node leaves, and ends all background work.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	own := s.table.Leave(time.Now())
	s.mu.Unlock()
	leaveCtx, cancel := context.WithTimeout(ctx, s.timing.LeaveTimeout)
	defer cancel()
	s.submitTo(leaveCtx, []membership.Entry{own}, 0)
	s.log.Emit(event.SelfLeft)
	return s.Kill(ctx)
}

// Kill ends all background work without a word to the peers.
func (s *Service) Kill(ctx context.Context) error {
	s.spawnMu.Lock()
	s.cancel()
	s.spawnMu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("membership still has work in flight: %w", ctx.Err())
	}
}

// spawn runs f in the background unless the service ends.
func (s *Service) spawn(f func()) {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.ctx.Err() == nil {
		s.wg.Go(f)
	}
}

// sleep waits for d, give or take a quarter, and reports whether the service
// still runs.
func (s *Service) sleep(d time.Duration) bool {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	quarter := int64(d / 4)
	return d - time.Duration(quarter) + time.Duration(s.random.Int64N(2*quarter+1))
}

// randomUpTo returns a random time between zero and d.
func (s *Service) randomUpTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *Service) self() membership.Record { return s.options.Self }

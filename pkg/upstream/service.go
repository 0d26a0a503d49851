package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

// ServiceName is the name under which the service is looked up.
const ServiceName = "upstreams"

// Errors of the package. They are wrapped with the upstream's name.
var (
	// ErrInvalid: an announcement breaks a rule.
	ErrInvalid = errors.New("upstream: invalid announcement")
	// ErrUnknown: no upstream of this host has the name.
	ErrUnknown = errors.New("upstream: not announced on this host")
	// ErrInFlight: calls were in flight when the drain's time was up.
	ErrInFlight = errors.New("upstream: calls are still in flight")
)

// defaultWaiting bounds the queue of a class that the bundle does not bound.
const defaultWaiting = 32

// Service keeps the upstreams of this host. It implements Manager and Local.
type Service struct {
	settings settings.Settings
	holder   *snapshot.Holder
	log      *event.Log
	changes  *prometheus.CounterVec
	probes   *prometheus.CounterVec

	mu        sync.RWMutex
	instances map[string]*Instance
	members   membership.Source

	publishMu sync.Mutex
	ctx       context.Context
	cancel    context.CancelFunc
	probing   sync.WaitGroup
}

// Local finds the upstreams of this host that run calls.
type Local interface {
	Manager
	// Find returns the upstream of the service with the given name, or the least
	// loaded running one if there is none of that name. The error is ErrUnknown.
	Find(service, name string) (*Instance, error)
	// Suspect tells that a connection to the upstream broke. If nothing listens
	// at its address any more, the upstream has crashed and peers are told.
	Suspect(i *Instance) (crashed bool)
	// DrainAll drains every upstream of this host.
	DrainAll(ctx context.Context) error
}

// New returns the service. The bundles in holder bound the queues and say how
// to probe.
func New(s settings.Settings, holder *snapshot.Holder, log *event.Log, registry *metric.Registry) *Service {
	svc := &Service{
		settings:  s,
		holder:    holder,
		log:       log,
		changes:   metric.Counter(registry, "upstream_state_changes_total", "Changes of state of this host's upstreams.", "state", "trigger"),
		probes:    metric.Counter(registry, "upstream_probes_total", "Health probes of this host's upstreams.", "result"),
		instances: make(map[string]*Instance),
	}
	registry.MustRegister(newCollector(svc))
	return svc
}

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Needs names the membership, which tells the peers of the upstreams.
func (s *Service) Needs() []string { return []string{"membership"} }

// Start announces the upstreams of the settings.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	members, err := kernel.Lookup[membership.Source](k, "membership")
	if err != nil {
		return fmt.Errorf("upstream: %w", err)
	}
	s.mu.Lock()
	s.members = members
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mu.Unlock()
	for _, u := range s.settings.Upstreams {
		if err := s.Announce(fromSettings(u)); err != nil {
			return err
		}
	}
	return nil
}

func fromSettings(u settings.Upstream) model.Upstream {
	return model.Upstream{
		Name:        u.Name,
		Service:     u.Service,
		Address:     u.Address,
		Slots:       u.Slots,
		Connections: u.Connections,
		State:       model.UpstreamRunning,
	}
}

// Stop ends the probes. The proxy has drained the upstreams before.
func (s *Service) Stop(_ context.Context) error {
	s.mu.Lock()
	if s.cancel != nil {
		s.cancel()
	}
	instances := s.all()
	s.mu.Unlock()
	s.probing.Wait()
	for _, i := range instances {
		i.pool.Close()
	}
	return nil
}

// all returns the instances sorted by name. The caller holds mu.
func (s *Service) all() []*Instance {
	names := make([]string, 0, len(s.instances))
	for name := range s.instances {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]*Instance, 0, len(names))
	for _, name := range names {
		out = append(out, s.instances[name])
	}
	return out
}

// Announce adds or renews an upstream. An announcement in the state leaving
// starts its drain, and one in the state stopped ends it.
func (s *Service) Announce(u model.Upstream) error {
	if err := check(u); err != nil {
		return err
	}
	i, restarted, err := s.upsert(u)
	if err != nil {
		return err
	}
	switch u.State {
	case model.UpstreamLeaving, model.UpstreamDrained:
		err = s.leave(i)
	case model.UpstreamStopped:
		err = s.fire(i, triggerStop)
	default:
		// A drained upstream goes on renewing its announcement until it stops.
		if restarted || i.snapshot().State != model.UpstreamDrained {
			err = s.comeBack(i)
		}
	}
	s.publish()
	return err
}

func check(u model.Upstream) error {
	switch {
	case u.Name == "" || u.Service == "":
		return fmt.Errorf("upstream %q of service %q needs a name and a service: %w", u.Name, u.Service, ErrInvalid)
	case u.Slots <= 0:
		return fmt.Errorf("upstream %q announces %d slots, at least 1 is needed: %w", u.Name, u.Slots, ErrInvalid)
	case u.Connections < 0:
		return fmt.Errorf("upstream %q announces %d connections: %w", u.Name, u.Connections, ErrInvalid)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		return fmt.Errorf("upstream %q has address %q, which is not an IP and port: %w", u.Name, u.Address, ErrInvalid)
	}
	for _, c := range u.Classes {
		if !c.Valid() {
			return fmt.Errorf("upstream %q names unknown class %q: %w", u.Name, c, ErrInvalid)
		}
	}
	return nil
}

// upsert stores an announcement and reports whether it comes from a new start
// of the upstream. An instance at a new address replaces the old one.
func (s *Service) upsert(u model.Upstream) (i *Instance, restarted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil, false, fmt.Errorf("upstream %q: the node is not running: %w", u.Name, ErrInvalid)
	}
	since := u.Since
	if u.Since.IsZero() {
		u.Since = time.Now()
	}
	old, ok := s.instances[u.Name]
	if ok && old.pool.Address() == u.Address && old.snapshot().Service == u.Service {
		restarted = since.After(old.snapshot().Since)
		old.renew(u)
		return old, restarted, nil
	}
	i = newInstance(u, s.log, s.waiting)
	i.machine = newMachine(func(from, to model.UpstreamState, why trigger) { s.changed(i, from, to, why) })
	s.instances[u.Name] = i
	s.log.Emit(event.UpstreamAnnounced, event.F("upstream", u.Name), event.F("service", u.Service), event.F("slots", u.Slots))
	s.probing.Add(1)
	go s.probe(s.ctx, i)
	return i, true, nil
}

// renew takes over the bounds of a new announcement.
func (i *Instance) renew(u model.Upstream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	u.Since = i.announced.Since
	i.announced = u
	i.queue.Configure(i.config(u))
}

// waiting returns the bound of a class's queue from the bundle in force.
func (s *Service) waiting(service string, c model.Class) int {
	if snap := s.holder.Current(); snap != nil {
		if svc, ok := snap.Service(service); ok {
			if n := svc.Queue.Of(c); n > 0 {
				return n
			}
		}
	}
	return defaultWaiting
}

// changed runs after a transition, with the instance locked.
func (s *Service) changed(i *Instance, from, to model.UpstreamState, why trigger) {
	i.state = to
	i.changedAt = time.Now()
	i.crashed = why == triggerCrash
	if to == model.UpstreamRunning {
		i.announced.Since = time.Now()
		i.health = health{}
	}
	s.changes.WithLabelValues(string(to), string(why)).Inc()
	s.log.Emit(event.UpstreamChanged, event.F("upstream", i.announced.Name), event.F("from", from), event.F("to", to), event.F("trigger", why))
}

func (s *Service) fire(i *Instance, t trigger) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fire(i.machine, t)
}

// comeBack makes a stopped upstream run again, from the start of its ramp.
func (s *Service) comeBack(i *Instance) error { return s.fire(i, triggerReturn) }

// List returns the upstreams of this host sorted by name.
func (s *Service) List() []model.Upstream {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]model.Upstream, 0, len(s.instances))
	for _, i := range s.all() {
		out = append(out, i.snapshot())
	}
	return out
}

// Find returns the named upstream of a service, or the least loaded one.
func (s *Service) Find(service, name string) (*Instance, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if i, ok := s.instances[name]; ok {
		if u := i.snapshot(); u.Service == service && u.State == model.UpstreamRunning {
			return i, nil
		}
	}
	var best *Instance
	bestLoad := 0.0
	for _, i := range s.instances {
		u := i.snapshot()
		if u.Service != service {
			continue
		}
		load := i.Load()
		score := float64(load.Running+load.Queued) / float64(load.Limit)
		if u.State != model.UpstreamRunning {
			score += notRunningPenalty
		}
		if best == nil || score < bestLoad {
			best, bestLoad = i, score
		}
	}
	if best == nil {
		return nil, fmt.Errorf("service %q: %w", service, ErrUnknown)
	}
	return best, nil
}

// notRunningPenalty puts upstreams that do not run behind all that do.
const notRunningPenalty = 1e6

// publish tells the peers of the upstreams of this host.
func (s *Service) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.RLock()
	members := s.members
	s.mu.RUnlock()
	members.SetUpstreams(s.List())
}

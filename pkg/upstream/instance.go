package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Refusal is a call that was not admitted. It did not run.
type Refusal struct {
	Reason     reason.Reason
	RetryAfter time.Duration
}

// Instance is one upstream of this host: its state, its slots and its connections.
type Instance struct {
	pool *client.Pool
	log  *event.Log
	// waitingLimit returns the bound of a class's queue.
	waitingLimit func(service string, c model.Class) int

	mu        sync.Mutex
	announced model.Upstream
	machine   *stateless.StateMachine
	state     model.UpstreamState
	// changedAt is the time of the last change of state.
	changedAt time.Time
	// crashed tells that a stopped upstream may return by itself.
	crashed bool
	// refuseFrom is the time from which a leaving upstream takes no new calls.
	refuseFrom time.Time
	queue      *admission.Queue
	waiters    map[uint64]chan admission.Event
	nextID     uint64
	inFlight   int
	idle       chan struct{} // closed when a drain sees no call in flight
	events     []admission.Event
	health     health
}

func newInstance(u model.Upstream, log *event.Log, waitingLimit func(string, model.Class) int) *Instance {
	i := &Instance{
		log:          log,
		pool:         client.NewPool(u.Address, max(u.Connections, u.Slots, 1)),
		waitingLimit: waitingLimit,
		announced:    u,
		state:        model.UpstreamRunning,
		waiters:      make(map[uint64]chan admission.Event),
	}
	i.queue = admission.NewQueue(i.config(u))
	return i
}

func (i *Instance) config(u model.Upstream) admission.Config {
	return admission.Config{
		Slots:       u.Slots,
		Connections: u.Connections,
		Waiting:     func(c model.Class) int { return i.waitingLimit(u.Service, c) },
	}
}

// Name returns the name, which is unique on the host.
func (i *Instance) Name() string { return i.snapshot().Name }

// Pool returns the connections to the upstream.
func (i *Instance) Pool() *client.Pool { return i.pool }

// Load returns what the upstream is doing.
func (i *Instance) Load() admission.Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.queue.Load()
	l.Failed = i.health.failedCalls
	return l
}

// snapshot returns the announcement with the current state.
func (i *Instance) snapshot() model.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	u := i.announced
	u.State = i.state
	return u
}

// Slot is the right to run one call. Done must be called once.
type Slot struct {
	instance *Instance
	class    model.Class
	start    time.Time
}

// Acquire waits for a slot until ctx ends. A refused call did not run.
func (i *Instance) Acquire(ctx context.Context, class model.Class, deadline time.Time) (*Slot, *Refusal) {
	now := time.Now()
	i.mu.Lock()
	if r := i.refusal(now); r != nil {
		i.mu.Unlock()
		return nil, r
	}
	i.nextID++
	id := i.nextID
	d := i.queue.Arrive(now, id, class, deadline)
	switch d.Verdict {
	case admission.Admitted:
		i.inFlight++
		i.mu.Unlock()
		return &Slot{instance: i, class: class, start: now}, nil
	case admission.Refused:
		i.mu.Unlock()
		return nil, &Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	granted := make(chan admission.Event, 1)
	i.waiters[id] = granted
	i.inFlight++
	i.mu.Unlock()
	return i.wait(ctx, id, class, d.LookAt, granted)
}

// refusal tells why the upstream takes no new calls, or nil. The caller holds mu.
func (i *Instance) refusal(now time.Time) *Refusal {
	switch i.state {
	case model.UpstreamRunning:
		return nil
	case model.UpstreamLeaving:
		if now.Before(i.refuseFrom) {
			return nil
		}
	case model.UpstreamStopped:
		return &Refusal{Reason: reason.ConnectFailed, RetryAfter: time.Second}
	}
	return &Refusal{Reason: reason.UpstreamLeaving, RetryAfter: time.Second}
}

func (i *Instance) wait(ctx context.Context, id uint64, class model.Class, lookAt time.Time, granted chan admission.Event) (*Slot, *Refusal) {
	timer := time.NewTimer(time.Until(lookAt))
	defer timer.Stop()
	for {
		select {
		case e := <-granted:
			return i.conclude(e, class)
		case <-ctx.Done():
			return i.giveUp(ctx, id, class, granted)
		case <-timer.C:
			timer.Reset(i.look(id))
		}
	}
}

// look lets the queue refuse calls for which waiting is of no use, and returns
// the time until the next look at the given one.
func (i *Instance) look(id uint64) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.deliver(now)
	next, waits := i.queue.LookAt(now, id)
	if !waits {
		return time.Hour // the end of the wait has been delivered
	}
	return max(next.Sub(now), minLook)
}

// minLook is the shortest time between two looks at a waiting call.
const minLook = time.Millisecond

// giveUp ends the wait of a call whose caller has gone or whose time is up.
func (i *Instance) giveUp(ctx context.Context, id uint64, class model.Class, granted chan admission.Event) (*Slot, *Refusal) {
	i.mu.Lock()
	if !i.queue.Cancel(id) {
		i.mu.Unlock()
		return i.conclude(<-granted, class)
	}
	delete(i.waiters, id)
	i.leave()
	i.deliver(time.Now())
	i.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, &Refusal{Reason: reason.CallerGone}
	}
	return nil, &Refusal{Reason: reason.QueueTimeout, RetryAfter: time.Second}
}

// conclude turns the end of a wait into a slot or a refusal.
func (i *Instance) conclude(e admission.Event, class model.Class) (*Slot, *Refusal) {
	if e.Granted {
		return &Slot{instance: i, class: class, start: time.Now()}, nil
	}
	return nil, &Refusal{Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// Done gives the slot back. good tells that the upstream answered the call and
// not with an error of its own.
func (s *Slot) Done(o admission.Outcome, good bool) {
	i := s.instance
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.queue.Load().Limit
	i.queue.Done(now, s.class, now.Sub(s.start), o)
	if after := i.queue.Load().Limit; after != before {
		i.log.Emit(event.LimitChanged, event.F("upstream", i.announced.Name), event.F("from", before), event.F("to", after))
	}
	if o != admission.OutcomeShed {
		i.health.observe(good)
	}
	i.leave()
	i.deliver(now)
}

// leave counts one call less in flight. The caller holds mu.
func (i *Instance) leave() {
	i.inFlight--
	i.signalIdle()
}

func (i *Instance) signalIdle() {
	if i.idle != nil && i.inFlight == 0 {
		close(i.idle)
		i.idle = nil
	}
}

// deliver hands out what the queue decided. The caller holds mu.
func (i *Instance) deliver(now time.Time) {
	i.events = i.queue.Next(now, i.events[:0])
	i.send()
}

func (i *Instance) send() {
	for _, e := range i.events {
		granted, ok := i.waiters[e.ID]
		if !ok {
			continue
		}
		delete(i.waiters, e.ID)
		if !e.Granted {
			i.leave()
		}
		granted <- e
	}
}

// whenIdle returns a channel that is closed when no call is in flight.
func (i *Instance) whenIdle() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idle == nil {
		i.idle = make(chan struct{})
	}
	idle := i.idle
	i.signalIdle()
	return idle
}

// flush refuses every waiting call. Calls that run are left alone.
func (i *Instance) flush(r reason.Reason) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.events = i.queue.Flush(r, i.events[:0])
	i.send()
}

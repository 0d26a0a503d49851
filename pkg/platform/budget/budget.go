// Package budget holds back the calls of one process to the platform: a rate per
// class of collections, a few retries within a share of the calls, and a circuit
// that lets calls fail at once while the platform is down. Its decisions are
// pure types; Store applies them to a platform.Store.
package budget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Class groups collections that share a rate, so that none starves another.
type Class string

// The classes.
const (
	ClassBundle Class = "bundle"
	ClassReport Class = "report"
	ClassOrder  Class = "order"
)

// ClassOf returns the class of a collection.
func ClassOf(c platform.Collection) Class {
	switch c {
	case platform.CollectionOwners, platform.CollectionClaims:
		return ClassOrder
	case platform.CollectionContacts, platform.CollectionStatuses:
		return ClassReport
	}
	return ClassBundle
}

// The reasons for which a call is refused here, without reaching the platform.
const (
	reasonRate    = "rate"
	reasonCircuit = "circuit"
)

// Options tune a Store. The zero value of each field stands for its default.
type Options struct {
	// Rate is the number of calls per second and class, default 20, with a burst
	// of two seconds.
	Rate float64
	// MaxWait is the longest wait for the rate, default 1s; a call that would
	// wait longer is refused.
	MaxWait time.Duration
	// Backoff says how calls are tried again, by default up to 3 times within 2s.
	Backoff Backoff
	// RetryShare is the share of calls that may be retries, default 0.1.
	RetryShare float64
	// Failures in a row open the circuit, default 5; it then stays open for up to
	// OpenBase, default 500ms, doubling up to OpenMax, default 5s.
	Failures          int
	OpenBase, OpenMax time.Duration
	// Random returns numbers in [0, 1); by default those of math/rand/v2.
	Random func() float64
}

// maxSavedRetries bounds the retries that a quiet process saves up.
const maxSavedRetries = 10

func (o Options) withDefaults() Options {
	setDefault(&o.Rate, 20)
	setDefault(&o.MaxWait, time.Second)
	if o.Backoff.Attempts == 0 {
		o.Backoff = Backoff{Attempts: 3, Base: 100 * time.Millisecond, Max: time.Second}
	}
	setDefault(&o.RetryShare, 0.1)
	setDefault(&o.Failures, 5)
	setDefault(&o.OpenBase, 500*time.Millisecond)
	setDefault(&o.OpenMax, 5*time.Second)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// Store is a platform.Store that keeps to a budget. It is safe for concurrent use.
type Store struct {
	next     platform.Store
	options  Options
	limiters map[Class]*rate.Limiter

	mu      sync.Mutex
	retry   *RetryBudget
	circuit *Circuit

	calls    *prometheus.CounterVec
	retries  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	down     prometheus.Gauge
}

// New returns a store that passes calls on to next.
func New(next platform.Store, options Options, registry *metric.Registry, log *event.Log) *Store {
	options = options.withDefaults()
	s := &Store{
		next:     next,
		options:  options,
		limiters: make(map[Class]*rate.Limiter),
		retry:    NewRetryBudget(options.RetryShare, maxSavedRetries),
		calls:    metric.Counter(registry, "platform_calls_total", "Calls sent to the platform, by result.", "call", "class", "result"),
		retries:  metric.Counter(registry, "platform_retries_total", "Calls to the platform that were tried again, by reason.", "call", "reason"),
		refusals: metric.Counter(registry, "platform_refusals_total", "Calls refused without reaching the platform, by reason.", "class", "reason"),
		down:     metric.Gauge(registry, "platform_down", "1 while calls fail at once because the platform is down.").WithLabelValues(),
	}
	for _, class := range []Class{ClassBundle, ClassReport, ClassOrder} {
		s.limiters[class] = rate.NewLimiter(rate.Limit(options.Rate), int(2*options.Rate))
	}
	s.circuit = NewCircuit(options.Failures, options.OpenBase, options.OpenMax, func(from, to CircuitState) {
		s.changed(log, from, to)
	})
	return s
}

// changed logs when the platform goes down and when it is back; probes in
// between are not worth a line.
func (s *Store) changed(log *event.Log, from, to CircuitState) {
	switch {
	case from == CircuitClosed && to == CircuitOpen:
		s.down.Set(1)
		log.Emit(event.PlatformDown)
	case to == CircuitClosed:
		s.down.Set(0)
		log.Emit(event.PlatformUp)
	}
}

// Up reports whether calls are sent to the platform.
func (s *Store) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.circuit.State() == CircuitClosed
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, key platform.Key) (o platform.Object, err error) {
	err = s.do(ctx, CallGet, key.Collection, func() (err error) {
		o, err = s.next.Get(ctx, key)
		return err
	})
	return o, err
}

// List reads a collection and the revision to watch from.
func (s *Store) List(ctx context.Context, c platform.Collection) (objects []platform.Object, revision platform.Revision, err error) {
	err = s.do(ctx, CallList, c, func() (err error) {
		objects, revision, err = s.next.List(ctx, c)
		return err
	})
	return objects, revision, err
}

// Put writes value if the object still has revision ifRevision.
func (s *Store) Put(ctx context.Context, key platform.Key, value json.RawMessage, ifRevision platform.Revision) (revision platform.Revision, err error) {
	err = s.do(ctx, CallPut, key.Collection, func() (err error) {
		revision, err = s.next.Put(ctx, key, value, ifRevision)
		return err
	})
	return revision, err
}

// Delete removes the object if it still has revision ifRevision.
func (s *Store) Delete(ctx context.Context, key platform.Key, ifRevision platform.Revision) error {
	return s.do(ctx, CallDelete, key.Collection, func() error {
		return s.next.Delete(ctx, key, ifRevision)
	})
}

// Watch reports changes of a collection after the given revision. Only opening
// it counts.
func (s *Store) Watch(ctx context.Context, c platform.Collection, from platform.Revision) (w platform.Watch, err error) {
	err = s.do(ctx, CallWatch, c, func() (err error) {
		w, err = s.next.Watch(ctx, c, from)
		return err
	})
	return w, err
}

// do runs one call with its retries.
func (s *Store) do(ctx context.Context, call Call, c platform.Collection, send func() error) error {
	class := ClassOf(c)
	s.mu.Lock()
	s.retry.Deposit()
	s.mu.Unlock()
	for attempt := 1; ; attempt++ {
		if err := s.admit(ctx, call, class); err != nil {
			return err
		}
		err := send()
		s.record(ctx, err)
		result := ResultOf(err)
		s.calls.WithLabelValues(string(call), string(class), string(result)).Inc()
		pause, again := s.options.Backoff.Next(call, attempt, err, s.options.Random())
		if !again || !s.spend() {
			return err
		}
		s.retries.WithLabelValues(string(call), string(result)).Inc()
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

// admit waits for the rate and asks the circuit. A refused call had no effect.
func (s *Store) admit(ctx context.Context, call Call, class Class) error {
	reservation := s.limiters[class].Reserve()
	wait := reservation.Delay()
	if wait > s.options.MaxWait {
		reservation.Cancel()
		s.refusals.WithLabelValues(string(class), reasonRate).Inc()
		return fmt.Errorf("%s: over this process's rate for class %s: %w", call, class, platform.ErrRateLimited)
	}
	if err := sleep(ctx, wait); err != nil {
		reservation.Cancel()
		return fmt.Errorf("%s: %w: %w", call, platform.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.circuit.Allow(time.Now()) {
		s.refusals.WithLabelValues(string(class), reasonCircuit).Inc()
		return fmt.Errorf("%s: the platform did not answer lately: %w", call, platform.ErrUnavailable)
	}
	return nil
}

// record tells the circuit how a call ended. A caller that gave up says nothing
// about the platform.
func (s *Store) record(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case ResultOf(err).reachedPlatform():
		s.circuit.Pass()
	case errors.Is(ctx.Err(), context.Canceled):
		s.circuit.Abandon()
	default:
		s.circuit.Fail(time.Now(), s.options.Random())
	}
}

func (s *Store) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.Withdraw()
}

// sleep waits for d or returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

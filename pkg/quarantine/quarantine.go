// Package quarantine refuses calls that crash upstreams, on every node: it
// tracks the calls of this host, tells the suspects in the member record and
// judges those of all members. The decisions are those of package poison.
package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
)

// Name is the name under which the service is looked up.
const Name = "poison"

// judgeInterval is the time between two judgements while there are suspects.
const judgeInterval = time.Second

// Service implements poison.Guard. It needs "membership".
type Service struct {
	log    *event.Log
	source membership.Source
	cancel context.CancelFunc
	done   sync.WaitGroup
	// convicted holds the quarantined fingerprints.
	convicted atomic.Pointer[map[uint64]struct{}]
	crashes   prometheus.Counter

	mu      sync.Mutex
	tracker *poison.Tracker
	entries []poison.Entry
	// told is set once this process has told of suspects; before, its record may
	// hold those of a former process.
	told bool
}

// New returns the service.
func New(registry *metric.Registry, log *event.Log) *Service {
	s := &Service{log: log, tracker: poison.NewTracker()}
	s.convicted.Store(&map[uint64]struct{}{})
	s.crashes = metric.Counter(registry, "poison_suspect_crashes_total", "Calls that were running when an upstream of this host crashed.").WithLabelValues()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metric.Namespace,
		Name:      "poison_quarantined",
		Help:      "Fingerprints of calls that are refused on every node.",
	}, func() float64 { return float64(len(*s.convicted.Load())) }))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{"membership"} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	source, err := kernel.Lookup[membership.Source](k, "membership")
	if err != nil {
		return fmt.Errorf("quarantine: %w", err)
	}
	s.source = source
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// run judges at each change of the membership and, while there are suspects,
// at each interval.
func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		changed := s.source.Changed()
		s.judge(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// judge takes the suspects of all members and decides on the quarantine.
func (s *Service) judge(now time.Time) {
	v := s.source.View()
	var others []membership.Suspect
	for id, m := range v.Members {
		if id != v.Self {
			others = append(others, m.Suspects...)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.told {
		s.tracker.Adopt(v.Members[v.Self].Suspects)
	}
	tell := s.tracker.Observe(now, others)
	tell = s.tracker.Expire(now) || tell
	own := s.tracker.Suspects()
	s.entries = poison.Judge(now, append(others, own...))
	s.publish()
	if tell {
		s.told = true
		s.source.SetSuspects(own)
	}
}

// publish puts the quarantined fingerprints in force. s.mu must be held.
func (s *Service) publish() {
	old := *s.convicted.Load()
	next := make(map[uint64]struct{})
	for _, e := range s.entries {
		if !e.Quarantined {
			continue
		}
		next[e.Fingerprint] = struct{}{}
		if _, ok := old[e.Fingerprint]; !ok {
			s.log.Emit(event.PoisonQuarantined, event.F("fingerprint", e.Fingerprint), event.F("crashes", e.Crashes), event.F("until", e.Until))
		}
	}
	s.convicted.Store(&next)
}

// Quarantined implements poison.Guard.
func (s *Service) Quarantined(fingerprint uint64) bool {
	_, ok := (*s.convicted.Load())[fingerprint]
	return ok
}

// Begin implements poison.Guard.
func (s *Service) Begin(upstream string, fingerprint uint64) (end func(poison.End)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Begin(upstream, fingerprint)
	return func(how poison.End) { s.end(upstream, fingerprint, how) }
}

func (s *Service) end(upstream string, fingerprint uint64, how poison.End) {
	s.mu.Lock()
	tell := s.tracker.End(time.Now(), upstream, fingerprint, how)
	var suspects []membership.Suspect
	if tell {
		suspects = s.tracker.Suspects()
	}
	s.mu.Unlock()
	if how == poison.EndCrashed {
		s.crashes.Inc()
	}
	if !tell {
		return
	}
	if how == poison.EndCrashed {
		s.log.Emit(event.PoisonSuspected, event.F("upstream", upstream), event.F("fingerprint", fingerprint))
	}
	s.source.SetSuspects(suspects)
	s.judge(time.Now())
}

// List returns the suspects and quarantined fingerprints known to this node.
func (s *Service) List() []poison.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]poison.Entry(nil), s.entries...)
}

// Lift ends the quarantine of a fingerprint on every node and forgets its
// crashes. by names the operator in the log.
func (s *Service) Lift(fingerprint uint64, by string) {
	s.mu.Lock()
	s.tracker.Lift(time.Now(), fingerprint)
	s.told = true
	suspects := s.tracker.Suspects()
	s.mu.Unlock()
	s.log.Emit(event.PoisonLifted, event.F("fingerprint", fingerprint), event.F("by", by))
	s.source.SetSuspects(suspects)
	s.judge(time.Now())
}

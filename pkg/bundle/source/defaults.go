package source

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Defaults of a service. They are written into the bundle when it is prepared,
// so that a later program with other defaults does not change its meaning.
var defaultService = bundle.Service{
	Timeout:            bundle.Duration(5 * time.Second),
	RetryBudgetPercent: 10,
	MaxBodyBytes:       1 << 20,
	Queue:              bundle.QueueLimits{Interactive: 32, Order: 16, Batch: 256, Internal: 16},
	Probe:              bundle.Probe{Interval: bundle.Duration(5 * time.Second), Timeout: bundle.Duration(time.Second)},
	Warmup:             bundle.Duration(10 * time.Second),
	MaxEjectedPercent:  30,
}

const (
	// defaultPathPrefix matches every path.
	defaultPathPrefix = "/"
	// defaultAttempts is for idempotent calls; other classes are tried once.
	defaultAttempts = 2
)

func applyServiceDefaults(s *bundle.Service, p place) {
	set(p, "timeout", &s.Timeout, defaultService.Timeout)
	set(p, "retryBudgetPercent", &s.RetryBudgetPercent, defaultService.RetryBudgetPercent)
	set(p, "maxBodyBytes", &s.MaxBodyBytes, defaultService.MaxBodyBytes)
	set(p, "queue.interactive", &s.Queue.Interactive, defaultService.Queue.Interactive)
	set(p, "queue.order", &s.Queue.Order, defaultService.Queue.Order)
	set(p, "queue.batch", &s.Queue.Batch, defaultService.Queue.Batch)
	set(p, "queue.internal", &s.Queue.Internal, defaultService.Queue.Internal)
	set(p, "probe.interval", &s.Probe.Interval, defaultService.Probe.Interval)
	set(p, "probe.timeout", &s.Probe.Timeout, defaultService.Probe.Timeout)
	set(p, "warmup", &s.Warmup, defaultService.Warmup)
	set(p, "maxEjectedPercent", &s.MaxEjectedPercent, defaultService.MaxEjectedPercent)
}

func applyRouteDefaults(r *bundle.Route, p place) {
	set(p, "pathPrefix", &r.PathPrefix, defaultPathPrefix)
	attempts := defaultAttempts
	if r.Class == model.ClassOrder {
		attempts = 1
	}
	set(p, "attempts", &r.Attempts, attempts)
}

// set assigns the default if the file does not give the key.
func set[T any](p place, name string, target *T, value T) {
	if !p.positions.Has(p.key + "." + name) {
		*target = value
	}
}

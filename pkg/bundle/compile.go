package bundle

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// targetNumerator and targetDenominator are the part of the timeout that is the
// target of a route without one, as in the users' deployments.
const targetNumerator, targetDenominator = 2, 5

// Config returns the configuration that nodes put in force for a valid bundle.
func (b *Bundle) Config(v model.Version) meshconf.Config {
	c := meshconf.Config{
		Version: uint64(v),
		Limits: meshconf.Limits{
			HeaderBytes: b.Limits.HeaderBytes, BodyBytes: b.Limits.BodyBytes,
			HeaderTimeout: b.Limits.HeaderTimeout.Std(), IdleTimeout: b.Limits.IdleTimeout.Std(),
		},
	}
	timeouts := make(map[string]Duration, len(b.Services))
	for _, s := range b.Services {
		timeouts[s.Name] = s.Timeout
		c.Services = append(c.Services, meshconf.Service{Name: s.Name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections})
	}
	for i := range b.Routes {
		c.Routes = append(c.Routes, b.Routes[i].config(timeouts))
	}
	return c
}

// config compiles one route. A split route without a timeout has the longest of
// its services.
func (r *Route) config(timeouts map[string]Duration) meshconf.Route {
	parts := []meshconf.Part{{Service: r.Service, Weight: 1}}
	if len(r.Parts) > 0 {
		parts = nil
		for _, p := range r.Parts {
			parts = append(parts, meshconf.Part{Service: p.Service, Weight: p.Weight})
		}
	}
	timeout := r.Timeout
	if timeout == 0 {
		for _, p := range parts {
			timeout = max(timeout, timeouts[p.Service])
		}
	}
	target := r.Target.Std()
	if target == 0 {
		target = max(timeout.Std()*targetNumerator/targetDenominator, time.Millisecond).Truncate(time.Millisecond)
	}
	return meshconf.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Parts: parts,
		Idempotent:  r.Class != model.ClassOrder,
		MaxAttempts: r.Attempts,
		Timeout:     timeout.Std(),
		Target:      target,
		Priority:    r.Class.Rank(),
	}
}

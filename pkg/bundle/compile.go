package bundle

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// targetNumerator and targetDenominator are the fraction of the timeout that is the
// latency target of a route without a target of its own. Two fifths is the ratio in the
// users' deployments.
const targetNumerator, targetDenominator = 2, 5

// Config compiles the bundle into the configuration that nodes apply, with the given
// version. The bundle must be valid.
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
		c.Routes = append(c.Routes, b.Routes[i].compile(timeouts))
	}
	for i := range b.Organisations {
		c.Organisations = append(c.Organisations, b.Organisations[i].compile())
	}
	return c
}

// compile compiles one route; timeouts holds the timeouts of the services by name. A
// route without a timeout gets the longest timeout of its services.
func (r *Route) compile(timeouts map[string]Duration) meshconf.Route {
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
		Public:      r.Public,
	}
}

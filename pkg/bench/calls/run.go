// Package calls measures the path of calls on stand-in upstreams: the latency
// that nodes add, their cost per call, and the promises to callers on bad days.
package calls

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Errors of a run.
var (
	// ErrPromise: a promise to callers was broken; see Result.Failures.
	ErrPromise = errors.New("bench: a promise was broken")
	// ErrUnknownScenario: there is no scenario of that name.
	ErrUnknownScenario = errors.New("bench: unknown scenario")
)

// PathScenario names the measurement of added latency and cost.
const PathScenario = "path"

// Options say what to run.
type Options struct {
	// Scenarios names what is run; empty means everything.
	Scenarios []string
	// Baselines adds the baseline policies.
	Baselines bool
	Seed      uint64
	// Progress is called before each part of the run; nil for none.
	Progress func(part string)
}

// Names returns the names that Options.Scenarios takes.
func Names() []string {
	names := []string{PathScenario}
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Run measures and checks. It returns ErrPromise, with the whole result, if a
// promise was broken.
func Run(ctx context.Context, o Options) (Result, error) {
	for _, name := range o.Scenarios {
		if !slices.Contains(Names(), name) {
			return Result{}, fmt.Errorf("scenario %q: %w (known: %v)", name, ErrUnknownScenario, Names())
		}
	}
	result := Result{Seed: o.Seed}
	if o.wants(PathScenario) {
		o.progress(PathScenario)
		path, err := measurePath(ctx, o.Seed)
		if err != nil {
			return result, fmt.Errorf("bench %s: %w", PathScenario, err)
		}
		result.Path = &path
	}
	for _, s := range scenarios() {
		if !o.wants(s.name) {
			continue
		}
		policies := []Policy{PolicyMesh}
		if o.Baselines {
			policies = append(policies, s.baselines...)
		}
		for _, p := range policies {
			o.progress(fmt.Sprintf("%s (%s)", s.name, p))
			r, err := s.run(ctx, p, o.Seed)
			if err != nil {
				return result, fmt.Errorf("bench %s: %w", s.name, err)
			}
			result.add(r, s.planned)
		}
	}
	if len(result.Failures) > 0 {
		return result, fmt.Errorf("%w: %s", ErrPromise, strings.Join(result.Failures, "; "))
	}
	return result, ctx.Err()
}

func (o Options) wants(name string) bool {
	return len(o.Scenarios) == 0 || slices.Contains(o.Scenarios, name)
}

func (o Options) progress(part string) {
	if o.Progress != nil {
		o.Progress(part)
	}
}

// add takes a scenario's result and names the promises broken by the mesh.
func (r *Result) add(s ScenarioResult, planned bool) {
	r.Scenarios = append(r.Scenarios, s)
	if s.Policy != PolicyMesh {
		return
	}
	fail := func(count int, what string) {
		if count > 0 {
			r.Failures = append(r.Failures, fmt.Sprintf("%s: %d %s", s.Name, count, what))
		}
	}
	fail(s.Orders.RunTwice, "orders ran twice")
	fail(s.Orders.IntentTwice, "intents ran under two keys")
	fail(s.Orders.NotRunRan, "attempts answered not run ran")
	fail(s.Orders.RunMissing, "attempts answered run never ran")
	fail(s.Orders.WrongAnswer, "orders got another order's answer")
	fail(s.WrongReplies, "calls got another call's reply: "+s.WrongReply)
	r.Failures = append(r.Failures, s.Orders.Faults...)
	if planned {
		fail(s.PlannedStopCuts, "calls were cut by a planned stop")
	}
}

// defaultSettle is how long nodes run before the first call.
const defaultSettle = 500 * time.Millisecond

// run runs the scenario once under a policy, on a fresh cluster.
func (sc scenario) run(ctx context.Context, p Policy, seed uint64) (ScenarioResult, error) {
	c, err := newCluster(seed, bundleOf(sc.services), sc.look, p == PolicyMesh, sc.services...)
	if err != nil {
		return ScenarioResult{}, err
	}
	defer c.close()
	service := sc.services[0].name
	if p == PolicyMesh {
		if err := c.awaitOwners(ctx, service); err != nil {
			return ScenarioResult{}, err
		}
		pause(ctx, max(defaultSettle, sc.settle))
	}
	s := newCallers(p, c, service, seed)
	defer s.close()
	writes := c.store.Calls().Put
	if err := sc.load(ctx, c, s, seed); err != nil {
		return ScenarioResult{}, err
	}
	return sc.result(c, s, writes), nil
}

// load drives the streams while the bad day happens.
func (sc scenario) load(ctx context.Context, c *cluster, s *callers, seed uint64) error {
	disturbed, cancel := context.WithTimeout(ctx, sc.length)
	defer cancel()
	var wg sync.WaitGroup
	var failure error
	if sc.disturb != nil {
		wg.Go(func() { failure = sc.disturb(disturbed, c) })
	}
	drive(ctx, s, sc.length, seed, sc.streams...)
	cancel()
	wg.Wait()
	return failure
}

func (sc scenario) result(c *cluster, s *callers, writesBefore uint64) ScenarioResult {
	r := ScenarioResult{
		Name: sc.name, Policy: s.policy, Classes: make(map[string]*ClassResult),
		Orders: c.history.Check(), WrongReplies: s.wrong, WrongReply: s.wrongReply, PlatformWrites: c.store.Calls().Put - writesBefore,
	}
	if sc.planned {
		r.PlannedStopCuts = s.cuts
	}
	for class, result := range s.classes {
		result.finish()
		r.Classes[class] = result
	}
	for _, n := range c.of("") {
		r.Crashes += n.standIn.Crashes()
	}
	return r
}

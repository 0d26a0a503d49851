package proxy

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/outlier"
	"github.com/tarragondrum/tarragondrum/pkg/retry"
	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

const (
	// minRebuild is the shortest time between two readings of the membership.
	minRebuild = 10 * time.Millisecond
	// rebuildRest is the rest after a reading, in times of its own length, so that
	// churn in a large mesh costs at most a twentieth of a core.
	rebuildRest = 20
)

// table keeps the endpoints of the services that this node calls, up to date
// with the membership.
type table struct {
	members membership.Source
	// moved is called after a new view has been read.
	moved func(*membership.View)

	mu      sync.RWMutex
	view    *membership.View
	entries map[string]*entry
}

// entry holds the endpoints of one service.
type entry struct {
	service string

	mu        sync.Mutex
	endpoints []*routing.Endpoint
	chooser   routing.Chooser
	budget    *retry.Budget
}

func newTable(members membership.Source, moved func(*membership.View)) *table {
	return &table{members: members, moved: moved, view: members.View(), entries: make(map[string]*entry)}
}

// follow keeps the table up to date until ctx ends.
func (t *table) follow(ctx context.Context) {
	for {
		changed := t.members.Changed()
		start := time.Now()
		t.update()
		rest := max(minRebuild, rebuildRest*time.Since(start))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rest):
		}
	}
}

// update reads the newest view into every entry.
func (t *table) update() {
	view := t.members.View()
	t.mu.Lock()
	if view.Index == t.view.Index {
		t.mu.Unlock()
		return
	}
	t.view = view
	entries := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	t.mu.Unlock()
	wanted := make(map[string][]*routing.Endpoint, len(entries))
	for _, e := range entries {
		wanted[e.service] = nil
	}
	readEndpoints(view, wanted)
	for _, e := range entries {
		e.replace(wanted[e.service], time.Now())
	}
	t.moved(view)
}

// entry returns the endpoints of a service.
func (t *table) entry(service string) *entry {
	t.mu.RLock()
	e, ok := t.entries[service]
	t.mu.RUnlock()
	if ok {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[service]; ok {
		return e
	}
	e = &entry{service: service, budget: retry.NewBudget(), chooser: routing.Chooser{Policy: routing.TwoChoices}}
	wanted := map[string][]*routing.Endpoint{service: nil}
	readEndpoints(t.view, wanted)
	e.replace(wanted[service], time.Now())
	t.entries[service] = e
	return e
}

// readEndpoints adds to each service in wanted the endpoints that may get calls.
func readEndpoints(v *membership.View, wanted map[string][]*routing.Endpoint) {
	self := v.Members[v.Self]
	for _, m := range v.Members {
		if m.Stopping || m.Status == membership.StatusFailed || m.Status == membership.StatusLeft {
			continue
		}
		for i := range m.Upstreams {
			u := &m.Upstreams[i]
			list, ok := wanted[u.Service]
			if !ok || u.State != model.UpstreamRunning {
				continue
			}
			wanted[u.Service] = append(list, &routing.Endpoint{
				Key:      routing.Key{Node: m.ID, Upstream: u.Name},
				Address:  m.InboundAddr,
				Tier:     tierOf(self, m),
				Slots:    u.Slots,
				Since:    u.Since,
				Classes:  u.Classes,
				Doubtful: m.Status == membership.StatusSuspect,
			})
		}
	}
}

func tierOf(self, m membership.Member) routing.Tier {
	switch {
	case m.Status == membership.StatusUnreachable:
		return routing.TierUnreachable
	case m.DataCentre == self.DataCentre:
		return routing.TierDataCentre
	case m.Region == self.Region:
		return routing.TierRegion
	}
	return routing.TierRemote
}

// replace takes over new endpoints and keeps what was observed of the old ones.
func (e *entry) replace(endpoints []*routing.Endpoint, now time.Time) {
	sort.Slice(endpoints, func(i, j int) bool {
		a, b := endpoints[i].Key, endpoints[j].Key
		return a.Node < b.Node || (a.Node == b.Node && a.Upstream < b.Upstream)
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	old := make(map[routing.Key]*routing.Endpoint, len(e.endpoints))
	for _, p := range e.endpoints {
		old[p.Key] = p
	}
	for _, p := range endpoints {
		inherit(p, old[p.Key], now)
	}
	e.endpoints = endpoints
}

// inherit takes over what was observed of an endpoint before. An upstream that
// was started again begins anew. Its warm-up is counted from now at the latest,
// in case the clock of its host is ahead.
func inherit(p, before *routing.Endpoint, now time.Time) {
	announced := p.Since
	if before == nil {
		p.State = &routing.State{}
	} else {
		p.State = before.State
		if announced.Equal(p.State.Announced) {
			p.Since = before.Since
			return
		}
		p.State.Outlier = outlier.Endpoint{}
	}
	p.State.Announced = announced
	if announced.After(now) {
		p.Since = now
	}
}

// pick chooses an endpoint and counts the call as in flight there.
func (e *entry) pick(c *call, tried []routing.Key, now time.Time) *routing.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := routing.Request{
		Now:    now,
		Class:  c.class,
		Warmup: c.warmup,
		Panic:  outlier.Panic(e.ejected(now), len(e.endpoints), c.ejected),
		Tried:  tried,
	}
	p := e.chooser.Pick(e.endpoints, &r, rand.IntN)
	if p != nil {
		p.State.InFlight++
	}
	return p
}

// onNode returns the endpoint of the given node and counts the call there.
func (e *entry) onNode(node model.NodeID) *routing.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.endpoints {
		if p.Node == node {
			p.State.InFlight++
			return p
		}
	}
	return nil
}

// ejected counts the endpoints that are out. The caller holds mu.
func (e *entry) ejected(now time.Time) int {
	n := 0
	for _, p := range e.endpoints {
		if p.State.Outlier.Ejected(now) {
			n++
		}
	}
	return n
}

// verdict is what a call tells about its endpoint.
type verdict int

const (
	verdictNone verdict = iota
	verdictGood
	verdictBad
)

// change is what the end of a call changed about its endpoint.
type change int

const (
	changeNone change = iota
	changeEjected
	changeBack
)

// done takes in how a call ended at an endpoint.
func (e *entry) done(p *routing.Endpoint, c *call, load string, v verdict, took time.Duration, now time.Time) change {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := parseLoad(load)
	if ok {
		p.State.Report(now, l.Running, l.Queued, l.Limit)
	}
	p.State.InFlight--
	if v == verdictNone {
		return changeNone
	}
	bad := p.State.Outlier.Record(now, v == verdictGood, l.Failed)
	if v == verdictGood {
		p.State.Took(took)
		if p.State.Away && !p.State.Outlier.Ejected(now) {
			p.State.Away = false
			return changeBack
		}
	}
	if !bad || !outlier.Allowed(e.ejected(now), len(e.endpoints), c.ejected) {
		return changeNone
	}
	p.State.Outlier.Eject(now)
	p.State.Away = true
	return changeEjected
}

// call adds one call's share to the retry budget.
func (e *entry) call(percent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Call(percent)
}

// take uses up one retry of the budget.
func (e *entry) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take()
}

package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// peers records what the service tells them.
type peers struct {
	mu   sync.Mutex
	told [][]model.Upstream
}

func (p *peers) Name() string                                { return "membership" }
func (p *peers) Needs() []string                             { return nil }
func (p *peers) Start(context.Context, *kernel.Kernel) error { return nil }
func (p *peers) Stop(context.Context) error                  { return nil }
func (p *peers) View() *membership.View                      { return &membership.View{} }
func (p *peers) Changed() <-chan struct{}                    { return nil }
func (p *peers) SetSuspects([]membership.Suspect)            {}
func (p *peers) SetStopping()                                {}

func (p *peers) SetUpstreams(u []model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = append(p.told, u)
}

// states returns the states that the peers were told of the only upstream.
func (p *peers) states() []model.UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []model.UpstreamState
	for _, u := range p.told {
		if len(u) == 1 && (len(out) == 0 || out[len(out)-1] != u[0].State) {
			out = append(out, u[0].State)
		}
	}
	return out
}

func start(t *testing.T, b bundle.Bundle) (*upstream.Service, *peers) {
	t.Helper()
	is := is.New(t)
	holder := &snapshot.Holder{}
	snap, err := snapshot.Compile(bundle.Acceptance{Version: 1}, b)
	is.NoErr(err)
	holder.Publish(snap)
	s := settings.Settings{}
	s.Drain.Notice = bundle.Duration(20 * time.Millisecond)
	s.Drain.Timeout = bundle.Duration(100 * time.Millisecond)
	svc := upstream.New(s, holder, event.Discard(), metric.NewRegistry())
	p := &peers{}
	k := kernel.New()
	is.NoErr(k.Register(svc, p))
	is.NoErr(k.Start(t.Context(), time.Second))
	t.Cleanup(func() { _ = k.Stop(5 * time.Second) })
	return svc, p
}

func announcement(address string) model.Upstream {
	return model.Upstream{Name: "u", Service: "s", Address: address, Slots: 1, Connections: 10, Since: time.Now().Add(-time.Hour)}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("never happened: " + what)
}

// The load of an upstream is reported as metrics.
func TestLoadIsMeasured(t *testing.T) {
	is := is.New(t)
	registry := metric.NewRegistry()
	svc := upstream.New(settings.Settings{}, &snapshot.Holder{}, event.Discard(), registry)
	k := kernel.New()
	is.NoErr(k.Register(svc, &peers{}))
	is.NoErr(k.Start(t.Context(), time.Second))
	defer func() { _ = k.Stop(time.Second) }()
	is.NoErr(svc.Announce(announcement("127.0.0.1:1")))
	i, err := svc.Find("s", "u")
	is.NoErr(err)
	slot, _ := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Minute))
	families, err := registry.Gather()
	is.NoErr(err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[f.GetName()] = m.GetGauge().GetValue()
		}
	}
	is.Equal(got["tarragondrum_upstream_running_calls"], 1.0)
	is.Equal(got["tarragondrum_upstream_limit_calls"], 1.0)
	slot.Done(admission.OutcomeOK, true)
}

func TestBadAnnouncementsAreRefused(t *testing.T) {
	svc, _ := start(t, bundle.Bundle{})
	for _, change := range []func(*model.Upstream){
		func(u *model.Upstream) { u.Name = "" },
		func(u *model.Upstream) { u.Service = "" },
		func(u *model.Upstream) { u.Slots = 0 },
		func(u *model.Upstream) { u.Connections = -1 },
		func(u *model.Upstream) { u.Address = "nowhere" },
		func(u *model.Upstream) { u.Classes = []model.Class{"urgent"} },
	} {
		u := announcement("127.0.0.1:1")
		change(&u)
		is.New(t).True(errors.Is(svc.Announce(u), upstream.ErrInvalid))
	}
	is.New(t).Equal(len(svc.List()), 0)
}

// A drain tells the peers at once, lets the call in flight end, refuses those
// that wait, and passes through every state.
func TestDrainPassesThroughItsStates(t *testing.T) {
	is := is.New(t)
	svc, p := start(t, bundle.Bundle{})
	is.NoErr(svc.Announce(announcement("127.0.0.1:1")))
	i, err := svc.Find("s", "u")
	is.NoErr(err)
	slot, refusal := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Minute))
	is.True(refusal == nil)
	drained := make(chan error, 1)
	go func() { drained <- svc.Drain(t.Context(), "u") }()
	eventually(t, "the peers hear of it", func() bool { return len(p.states()) == 2 })
	eventually(t, "new calls are refused", func() bool {
		_, r := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Millisecond))
		return r != nil && r.Reason == reason.UpstreamLeaving
	})
	slot.Done(admission.OutcomeOK, true)
	is.NoErr(<-drained)
	is.Equal(p.states(), []model.UpstreamState{model.UpstreamRunning, model.UpstreamLeaving, model.UpstreamDrained})
	is.True(errors.Is(svc.Drain(t.Context(), "other"), upstream.ErrUnknown))
}

func TestDrainEndsWithCallsInFlight(t *testing.T) {
	is := is.New(t)
	svc, _ := start(t, bundle.Bundle{})
	is.NoErr(svc.Announce(announcement("127.0.0.1:1")))
	i, err := svc.Find("s", "u")
	is.NoErr(err)
	slot, _ := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Minute))
	waiting := make(chan *upstream.Refusal, 1)
	go func() {
		_, r := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Minute))
		waiting <- r
	}()
	eventually(t, "the second call waits", func() bool { return i.Load().Queued == 1 })
	is.True(errors.Is(svc.Drain(t.Context(), "u"), upstream.ErrInFlight))
	is.Equal((<-waiting).Reason, reason.UpstreamLeaving)
	slot.Done(admission.OutcomeOK, true)
}

// A waiting call whose caller goes gives its place up.
func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	svc, _ := start(t, bundle.Bundle{})
	is.NoErr(svc.Announce(announcement("127.0.0.1:1")))
	i, err := svc.Find("s", "")
	is.NoErr(err)
	slot, _ := i.Acquire(t.Context(), model.ClassBatch, time.Now().Add(time.Minute))
	ctx, cancel := context.WithCancel(t.Context())
	waiting := make(chan *upstream.Refusal, 1)
	go func() {
		_, r := i.Acquire(ctx, model.ClassBatch, time.Now().Add(time.Minute))
		waiting <- r
	}()
	eventually(t, "the second call waits", func() bool { return i.Load().Queued == 1 })
	cancel()
	is.Equal((<-waiting).Reason, reason.CallerGone)
	is.Equal(i.Load().Queued, 0)
	slot.Done(admission.OutcomeOK, true)
	is.Equal(i.Load().Running, 0)
}

// probed is a bundle that probes fast.
func probed() bundle.Bundle {
	return bundle.Bundle{Services: []bundle.Service{{Name: "s", Probe: bundle.Probe{
		Path: "/health", Interval: bundle.Duration(5 * time.Millisecond), Timeout: bundle.Duration(time.Second),
	}}}}
}

// A failing probe alone takes nothing out; with failing calls it does, and the
// upstream returns when the probe succeeds.
func TestHealthIsNotTakenFromOneSignal(t *testing.T) {
	is := is.New(t)
	svc, _ := start(t, probed())
	var healthy atomic.Bool
	var probes atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		probes.Add(1)
		if !healthy.Load() {
			w.WriteHeader(500)
		}
	}))
	defer srv.Close()
	is.NoErr(svc.Announce(announcement(srv.Listener.Addr().String())))
	i, err := svc.Find("s", "u")
	is.NoErr(err)
	call := func(o admission.Outcome) {
		slot, refusal := i.Acquire(t.Context(), model.ClassInteractive, time.Now().Add(time.Minute))
		is.True(refusal == nil)
		slot.Done(o, o == admission.OutcomeOK)
	}
	eventually(t, "the probe has failed often", func() bool { return probes.Load() > 10 })
	call(admission.OutcomeOK)
	is.Equal(svc.List()[0].State, model.UpstreamRunning)
	for range 3 {
		call(admission.OutcomeFailed)
	}
	eventually(t, "both signals stop it", func() bool { return svc.List()[0].State == model.UpstreamStopped })
	healthy.Store(true)
	before := time.Now()
	eventually(t, "it returns", func() bool { return svc.List()[0].State == model.UpstreamRunning })
	is.True(svc.List()[0].Since.After(before)) // the ramp starts anew
}

// An upstream at whose address nothing listens any more has crashed.
func TestRefusedProbeIsACrash(t *testing.T) {
	is := is.New(t)
	svc, p := start(t, bundle.Bundle{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(svc.Announce(announcement(ln.Addr().String())))
	i, err := svc.Find("s", "u")
	is.NoErr(err)
	is.Equal(svc.Suspect(i), false)
	is.NoErr(ln.Close())
	is.Equal(svc.Suspect(i), true)
	is.Equal(p.states(), []model.UpstreamState{model.UpstreamRunning, model.UpstreamStopped})
	_, refusal := i.Acquire(t.Context(), model.ClassOrder, time.Now().Add(time.Minute))
	is.Equal(refusal.Reason, reason.ConnectFailed)
}

// A drained upstream that renews its announcement stays out; one that was
// restarted comes back.
func TestDrainedUpstreamStaysOutUntilItRestarts(t *testing.T) {
	is := is.New(t)
	svc, _ := start(t, bundle.Bundle{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	u := announcement(ln.Addr().String())
	is.NoErr(svc.Announce(u))
	is.NoErr(svc.Drain(t.Context(), "u"))
	is.NoErr(svc.Announce(u))
	is.Equal(svc.List()[0].State, model.UpstreamDrained)
	u.Since = time.Now()
	is.NoErr(svc.Announce(u))
	is.Equal(svc.List()[0].State, model.UpstreamRunning)
	u.State = model.UpstreamStopped
	is.NoErr(svc.Announce(u))
	is.Equal(svc.List()[0].State, model.UpstreamStopped)
}

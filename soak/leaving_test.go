package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// TestLeavingsOverRestarts checks that an acknowledged leaving is not forgotten when the node
// beside the upstream is stopped or killed and started again, also while the store is silent, and
// a heartbeat from before the leaving arrives late; that the node serves again in time, and that
// the next upstream at that address is served soon.
func TestLeavingsOverRestarts(t *testing.T) {
	binary := build(t)
	forEachSeed(t, max(1, *seeds/2), func(t *testing.T, network int, seed uint64) { restartBesideLeavings(t, binary, network, seed) })
}

// restartBesideLeavings lets the upstream of each host leave once, two at a time, one of each
// service.
func restartBesideLeavings(t *testing.T, binary string, network int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	m := newMesh(t, binary, network, seed, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for _, p := range m.hosts {
		for caller := range callers {
			running.Go(func() { m.load(ctx, p, caller) })
		}
	}
	time.Sleep(2 * time.Second) // until the store has all hosts
	for i := 0; i+1 < len(m.hosts); i += 2 {
		var both sync.WaitGroup
		isAway := random.IntN(3) == 0
		if isAway {
			t.Logf("seed %d: the store is silent", seed)
			m.setStoreFaults(standin.Faults{Silent: true})
		}
		for _, p := range m.hosts[i : i+2] {
			l := drawRestart(random)
			t.Logf("seed %d: %s: %+v", seed, p.name, l)
			both.Go(func() {
				m.leaveAndRestart(p, l)
				if !isAway {
					m.awaitServed(p)
				}
			})
		}
		both.Wait()
		if !isAway {
			continue
		}
		m.setStoreFaults(standin.Faults{})
		for _, p := range m.hosts[i : i+2] {
			// Strict revocation refuses callers with keys until the store is back.
			m.awaitServed(p)
		}
	}
	cancel()
	running.Wait()
	if len(m.ledger.leaving) < len(m.hosts) {
		t.Errorf("seed %d: %d leavings of %d upstreams were acknowledged", seed, len(m.ledger.leaving), len(m.hosts))
	}
	if violations := checkLeaving(m.ledger.leaving, m.seen()); len(violations) > 0 {
		t.Errorf("seed %d: %d requests reached upstreams that had left, the first: %s", seed, len(violations), violations[0])
	}
}

// restartDraw is a leaving of an upstream and the restart of its node that follows.
type restartDraw struct {
	// drains is set if the upstream says that it drains before it deregisters.
	drains bool
	signal syscall.Signal
	// wait is the time from the acknowledgement to the signal, downtime that from the end of
	// the process to its next start, and lateBy that from there to the late heartbeat.
	wait, downtime, lateBy time.Duration
}

func drawRestart(random *rand.Rand) restartDraw {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	l := restartDraw{drains: random.IntN(3) == 0, signal: syscall.SIGTERM, wait: upTo(time.Second), downtime: upTo(2 * time.Second), lateBy: upTo(time.Second)}
	if random.IntN(3) == 0 {
		l.signal = syscall.SIGKILL
	}
	return l
}

const (
	// readyWithin is the time that the platform allows until a started node serves again.
	readyWithin = 15 * time.Second
	// acknowledgedWithin and servedWithin are the times that the platform allows for the
	// acknowledgement of a leaving, and until a new upstream gets its first request.
	acknowledgedWithin = 4 * time.Second
	servedWithin       = 4 * time.Second
)

// setStoreFaults sets the faults of the store for all nodes.
func (m *mesh) setStoreFaults(f standin.Faults) {
	for _, p := range m.hosts {
		m.store.SetFaults(p.store, f)
	}
}

// leaveAndRestart lets a host's upstream leave, restarts its node while the upstream goes on
// serving, and then starts another upstream in its place.
func (m *mesh) leaveAndRestart(p *process, l restartDraw) {
	p.mu.Lock()
	u := p.upstream
	p.silent = true
	p.mu.Unlock()
	control := p.ip + ":8082"
	if l.drains {
		m.awaitLeaving(u, func() error { return u.Beat(control, standin.StateDraining) })
		time.Sleep(drainTime)
	}
	m.awaitLeaving(u, func() error { return u.Remove(control) })
	time.Sleep(l.wait)
	m.restart(p, l.signal, l.downtime)
	time.Sleep(l.lateBy)
	for start := time.Now(); !isReady(p); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > readyWithin {
			m.t.Errorf("seed %d: the node of %s is not ready %s after its start", m.seed, p.name, readyWithin)
			break
		}
	}
	_ = u.BeatAs(control, standin.StateReady, 1_000_000) // it need not be acknowledged
	time.Sleep(drainTime + 500*time.Millisecond)
	m.replace(p)
}

// awaitServed checks that the upstream of a host gets a request soon.
func (m *mesh) awaitServed(p *process) {
	p.mu.Lock()
	next := p.upstream
	p.mu.Unlock()
	start := time.Now()
	for time.Since(start) < servedWithin {
		if seen, _ := next.Seen(); len(seen) > 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	m.t.Errorf("seed %d: the new upstream %s of %s got no request in %s", m.seed, next.ID, p.name, servedWithin)
}

// awaitLeaving calls the node, as upstreams do, until it acknowledges a leaving, and records
// the leaving.
func (m *mesh) awaitLeaving(u *standin.Upstream, call func() error) {
	for start := time.Now(); time.Since(start) < acknowledgedWithin; time.Sleep(100 * time.Millisecond) {
		if call() == nil {
			m.ledger.addLeaving(u.ID, time.Now())
			return
		}
	}
}

// isReady reports whether the node of a host is ready.
func isReady(p *process) bool {
	r, err := http.Get("http://" + p.ip + ":8083" + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

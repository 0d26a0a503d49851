// Package soak runs the real program as separate processes on loopback, injects faults into
// them, the store, the upstreams and the network in an order drawn from a seed, and checks
// the system's guarantees from what callers and upstreams see.
//
//	go test ./soak                              four short seeds, as in CI
//	go test ./soak -seeds 50 -length 20s        the next 50 seeds
//	go test ./soak -seed 7 -seeds 1 -length 20s  one seed again
//	go test ./soak -hosts 40 -at-once 1         a fleet in which nodes are not all connected
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

var (
	firstSeed = flag.Int("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 4, "number of seeds")
	length    = flag.Duration("length", 8*time.Second, "length of the faults of one seed")
	hosts     = flag.Int("hosts", 6, "hosts of a mesh")
	parallel  = flag.Int("at-once", 2, "seeds that run at the same time")
)

// TestSoak runs the faults of each seed. A violation is reported with its seed; a seed that
// has ever failed is added to regressions.
func TestSoak(t *testing.T) {
	binary := build(t)
	forEachSeed(t, *seeds, func(t *testing.T, network int, seed uint64) { runSeed(t, binary, network, seed, *length) })
}

// forEachSeed calls run with the given number of seeds, several at the same time, each with a
// network of its own.
func forEachSeed(t *testing.T, count int, run func(t *testing.T, network int, seed uint64)) {
	t.Helper()
	var slots = make(chan int, *parallel)
	for i := range *parallel {
		slots <- i + 1
	}
	t.Run("seeds", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+count; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				network := <-slots
				// Registered first, so that it runs after all other clean-ups, which free the addresses.
				t.Cleanup(func() { slots <- network })
				run(t, network, uint64(seed))
			})
		}
	})
}

// build compiles the program and returns the path of the binary.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tarragondrum")
	command := exec.Command("go", "build", "-tags", "netcgo", "-o", binary, "../cmd/tarragondrum")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	return binary
}

// runSeed injects the faults of one seed under load and reports violations.
func runSeed(t *testing.T, binary string, network int, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	isRolledOut, isBad := random.IntN(2) == 0, random.IntN(3) != 0
	newHosts := 0
	if isRolledOut {
		newHosts = *hosts / 2 // as many as have the old version
	}
	m := newMesh(t, binary, network, seed, newHosts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running, faults sync.WaitGroup
	for _, p := range m.hosts {
		for caller := range callers {
			running.Go(func() { m.load(ctx, p, caller) })
		}
	}
	if isRolledOut {
		time.AfterFunc(time.Second, func() { m.addRollout(isBad) })
	}
	isRestoredAtEnd := random.IntN(2) == 0
	time.AfterFunc(length/2, func() { m.halfway.Store(m.store.Copy()) })
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := drawFault(random, m)
		faults.Go(fault)
		time.Sleep(time.Duration(100+random.IntN(700)) * time.Millisecond)
	}
	faults.Wait()
	if isRestoredAtEnd {
		m.restoreStore(m.halfway.Load(), time.Second)
	}
	m.nextVersion()
	m.awaitNewestVersion()
	time.Sleep(max(2*time.Second, time.Until(m.ledger.lastAccepted().Add(revokeTime+2*time.Second)))) // sees the last revocation on each host
	cancel()
	running.Wait()
	m.ledger.rollout.statuses = m.store.Statuses("rollouts", "desk")
	seen := m.seen()
	if r := m.ledger.rollout; isRolledOut {
		total, exposed, bad := r.exposure(seen)
		t.Logf("seed %d: roll-out, bad %t: %d of %d requests, %d bad answers, states %q", seed, isBad, exposed, total, len(bad), r.statuses)
	}
	for _, violation := range m.ledger.check(seen) {
		t.Errorf("seed %d: %s", seed, violation)
	}
	m.checkServed(seed)
}

// checkServed checks that at least a third of all requests with a key that is always valid
// were served, and some of the organisation with a limit served and refused, since a mesh that
// serves nothing violates none of the other guarantees. Requests with other keys may rightly
// be refused.
func (m *mesh) checkServed(seed uint64) {
	m.t.Helper()
	m.ledger.mu.Lock()
	defer m.ledger.mu.Unlock()
	sent, served, limited, refused, last := 0, 0, 0, 0, make(map[string]int)
	for _, s := range m.ledger.sent {
		switch {
		case s.key == steadyKey && s.status == http.StatusOK:
			sent++
			served++
		case s.key == steadyKey:
			sent++
		case s.key == limitedKey && s.status == http.StatusOK:
			limited++
		case s.key == limitedKey && s.status == http.StatusTooManyRequests:
			refused++
		}
		if s.status == http.StatusOK || last[s.host] == 0 {
			last[s.host] = s.status
		}
	}
	m.t.Logf("seed %d: %d of %d requests served; %d served and %d refused with a limit", seed, served, sent, limited, refused)
	if served*3 < sent {
		m.t.Errorf("seed %d: only %d of %d requests were served", seed, served, sent)
	}
	if limited == 0 || refused == 0 {
		m.t.Errorf("seed %d: %d requests were served and %d refused with a limit", seed, limited, refused)
	}
}

// drawFault returns the next fault as a function that injects it and ends it again.
func drawFault(random *rand.Rand, m *mesh) func() {
	p := m.hosts[random.IntN(len(m.hosts))]
	span := time.Duration(200+random.IntN(1800)) * time.Millisecond
	share := random.IntN(3)
	switch random.IntN(20) {
	case 0:
		return func() { m.freeze(p, span) }
	case 1:
		return func() { m.restart(p, syscall.SIGKILL, span/4) }
	case 2:
		return func() { m.restart(p, syscall.SIGTERM, span/4) }
	case 3:
		return func() { // kill two thirds of the hosts at the same time
			var all sync.WaitGroup
			for i, other := range m.hosts {
				if i%3 != share {
					all.Go(func() { m.restart(other, syscall.SIGKILL, span/2) })
				}
			}
			all.Wait()
		}
	case 4:
		faults := []standin.Faults{{Status: 503}, {Status: 429}, {Reset: true}, {Silent: true}, {Delay: 300 * time.Millisecond},
			{LoseWrites: true}, {LoseWrites: true, Late: time.Second}}[random.IntN(7)]
		return func() {
			m.store.SetFaults(p.store, faults)
			time.Sleep(span)
			m.store.SetFaults(p.store, standin.Faults{})
		}
	case 5:
		return func() { m.store.SetDeaf(true); time.Sleep(span); m.store.SetDeaf(false) }
	case 6:
		does := []standin.Behaviour{{LoseAnswer: true}, {Reset: true}, {Truncate: true}, {Unsigned: true}, {ShedAll: true},
			{Work: 400 * time.Millisecond}, {Size: 300 << 10}, {Repeated: "X-More: more\r\n"}, {Repeated: "\x00"},
			{Endless: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Repeated: "5\r\nhello\r\n"}}[random.IntN(10)]
		return func() { m.behave(p, does, span) }
	case 7:
		return func() { p.relay.reset() }
	case 8:
		return func() { p.relay.mute(share != 0, share != 1, span/2) }
	case 9:
		return func() { m.leave(p) }
	case 10:
		return p.link.reset
	case 11:
		return func() { p.link.mute(share != 0, share != 1, span) }
	case 16:
		return func() { m.limit(p, 4500*time.Millisecond+2*span) }
	case 17:
		return func() { m.loseRecent(span, span/time.Duration(1+share)) }
	case 18:
		return func() { m.freezeBeyondRevocation(p) }
	case 19:
		if !m.cut.Swap(true) { // once a seed, since much is refused meanwhile
			return m.cutBeyondRevocation(share)
		}
	case 12:
		by := time.Duration(20+random.IntN(200)) * time.Millisecond
		return func() { p.link.slow(by, span) }
	}
	if share == 0 && !m.killedAll.Swap(true) { // once a seed, since no request is served meanwhile
		return m.killAllWithoutStore(span)
	}
	return func() { m.nextVersion() }
}

// freeze stops the process of a host for a while.
func (m *mesh) freeze(p *process, d time.Duration) {
	from := time.Now()
	m.signal(p, syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(p, syscall.SIGCONT)
	m.ledger.addFreeze(interval{host: p.name, from: from, until: time.Now()})
}

// outdatedTime is for how long a host gets no new version, long enough to catch it serving
// keys that are revoked.
const outdatedTime = revokeTime + 2500*time.Millisecond

// freezeBeyondRevocation freezes a host, and writes a version meanwhile.
func (m *mesh) freezeBeyondRevocation(p *process) {
	time.AfterFunc(100*time.Millisecond, m.nextVersion)
	m.freeze(p, outdatedTime)
}

// cutBeyondRevocation cuts all hosts from each other, and a third of them from the store too, and
// writes a version meanwhile.
func (m *mesh) cutBeyondRevocation(share int) func() {
	return func() {
		m.storeLoss.Lock()
		defer m.storeLoss.Unlock()
		var all sync.WaitGroup
		for i, p := range m.hosts {
			all.Go(func() { p.link.mute(true, true, outdatedTime) })
			if i%3 == share {
				m.store.SetFaults(p.store, standin.Faults{Silent: true})
				defer m.store.SetFaults(p.store, standin.Faults{})
			}
		}
		m.nextVersion()
		all.Wait()
	}
}

// loseRecent restores the store from the copy of its content from an earlier time.
func (m *mesh) loseRecent(age, outage time.Duration) {
	m.storeLoss.Lock()
	defer m.storeLoss.Unlock()
	older := m.store.Copy()
	time.Sleep(age)
	m.restoreStore(older, outage)
	time.Sleep(rewriteTime)
}

// restoreStore silences the store and then restores it from an older copy. The operator
// writes the newest version again a while later.
func (m *mesh) restoreStore(older *standin.Copy, outage time.Duration) {
	for _, p := range m.hosts {
		m.store.SetFaults(p.store, standin.Faults{Silent: true})
	}
	time.Sleep(outage / 2)
	m.store.Restore(older)
	m.ledger.mu.Lock()
	m.ledger.rollout.losses++
	m.ledger.mu.Unlock()
	for _, p := range m.hosts {
		m.store.SetFaults(p.store, standin.Faults{})
	}
	time.Sleep(outage / 2)
	m.writeNewestVersion()
}

// rewriteTime is how long the nodes have to write again what the store has lost, before all
// of them may be killed.
const rewriteTime = 2 * time.Second

// killAllWithoutStore kills and restarts all nodes while the store is silent. The store answers again
// only after the nodes have started.
func (m *mesh) killAllWithoutStore(downtime time.Duration) func() {
	return func() {
		m.storeLoss.Lock()
		defer m.storeLoss.Unlock()
		for _, p := range m.hosts {
			m.store.SetFaults(p.store, standin.Faults{Silent: true})
		}
		var all sync.WaitGroup
		for _, p := range m.hosts {
			all.Go(func() { m.restart(p, syscall.SIGKILL, downtime/4) })
		}
		all.Wait()
		time.Sleep(downtime)
		for _, p := range m.hosts {
			m.store.SetFaults(p.store, standin.Faults{})
		}
	}
}

// restart ends the process of a host and starts it again after a while.
func (m *mesh) restart(p *process, s syscall.Signal, downtime time.Duration) {
	if !p.busy.TryLock() {
		return // it is being restarted
	}
	defer p.busy.Unlock()
	m.signal(p, syscall.SIGCONT)
	p.mu.Lock()
	startCount := p.startCount
	p.mu.Unlock()
	from := time.Now()
	m.signal(p, s)
	if s == syscall.SIGTERM {
		m.ledger.addStop(interval{host: p.name, startCount: startCount, from: from, until: time.Now()})
	}
	time.Sleep(downtime)
	m.start(p)
}

// behave sets the behaviour of a host's upstream for a while.
func (m *mesh) behave(p *process, does standin.Behaviour, d time.Duration) {
	p.mu.Lock()
	u := p.upstream
	p.mu.Unlock()
	u.SetBehaviour(does)
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	u.SetBehaviour(p.normal)
}

// limitPerS is the limit that upstreams name, far below the load.
const limitPerS = 5

// limit lets a host's upstream name a limit for a while.
func (m *mesh) limit(p *process, d time.Duration) {
	p.mu.Lock()
	u, does := p.upstream, p.normal
	p.mu.Unlock()
	does.Header = notice(u, platform.HeaderLimit, fmt.Sprint(limitPerS))
	m.behave(p, does, d)
}

// notice returns the headers of an upstream's answers that hold a notice.
func notice(u *standin.Upstream, name, value string) http.Header {
	return http.Header{name: {value}, platform.HeaderUpstream: {u.ID}}
}

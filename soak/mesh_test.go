package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// mesh is a mesh whose nodes are separate processes and whose store and upstreams are
// stand-ins.
type mesh struct {
	t       *testing.T
	binary  string
	network int
	seed    uint64
	store   *standin.Store
	hosts   []*process
	ledger  ledger
	version atomic.Int64
	// operator is held while the operator writes to the store.
	operator sync.Mutex
	// storeLoss is held while the store has lost records that only the nodes know, and while
	// all nodes are killed, since then nobody knows them, and while faults of the store must last.
	storeLoss sync.Mutex
	// halfway is a copy of the store from the middle of the faults.
	halfway atomic.Pointer[standin.Copy]
	// killedAll is true once all nodes were killed while the store was silent.
	killedAll atomic.Bool
	// cut is true once all hosts were cut from each other.
	cut atomic.Bool

	mu        sync.Mutex
	upstreams []*standin.Upstream
}

// process is one host: its node as a separate process, its upstream, the relay from the node
// to the upstream, and link, the relay from other nodes to this one.
type process struct {
	name, ip, service, version, settings, store string
	relay, link                                 *relay
	log                                         *os.File

	busy       sync.Mutex // held while the process is restarted
	mu         sync.Mutex
	command    *exec.Cmd
	startCount int
	upstream   *standin.Upstream
	silent     bool              // the upstream sends no heartbeats
	normal     standin.Behaviour // the upstream's, without faults
}

// newMesh starts a mesh, with newHosts hosts whose upstreams have the new version and are
// silent until it is rolled out.
func newMesh(t *testing.T, binary string, network int, seed uint64, newHosts int) *mesh {
	t.Helper()
	m := &mesh{t: t, binary: binary, network: network, seed: seed, store: standin.NewStore()}
	t.Cleanup(m.store.Close)
	m.nextVersion()
	for i := range *hosts {
		m.add(i, []string{"desk", "ledger"}[i%2], oldVersion)
	}
	for i := range newHosts {
		m.add(*hosts+i, "desk", newVersion)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, p := range m.hosts {
		m.start(p)
		go m.sendHeartbeats(ctx, p)
	}
	for _, p := range m.hosts {
		m.waitUntil(func() bool { return isReady(p) })
	}
	return m
}

func (m *mesh) add(i int, service, version string) {
	m.t.Helper()
	p := &process{name: fmt.Sprint("host-", i), ip: fmt.Sprintf("127.96.%d.%d", m.network, i+1), service: service, version: version,
		normal: standin.Behaviour{Work: 20 * time.Millisecond}}
	var err error
	if p.store, err = m.store.Listen(p.ip + ":7000"); err != nil {
		m.t.Fatal(err)
	}
	if p.relay, err = newRelay(p.ip + ":9001"); err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(p.relay.close)
	if p.link, err = newRelay(p.ip + ":7100"); err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(p.link.close)
	p.link.setTarget(p.ip + ":7101")
	m.replace(p)
	p.silent = version == newVersion
	dir := m.t.TempDir()
	p.settings = filepath.Join(dir, "host.jsonc")
	text := fmt.Sprintf(`{
  "node": {"id": %q, "dataCentre": "dc-%d", "region": "r", "ip": %q, "memoryMB": 256, "cpuShare": 0.3, "linkMbps": %d},
  "upstream": {"address": "%s:9001", "service": %q},
  "listen": {"outbound": "%s:8081", "ready": "%s:8083", "announce": "%s:8082", "peerPort": 7101, "peerAdvertised": 7100, "metricsPort": 9464},
  "store": {"address": %q},
  "bounds": {"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64,
    "strictRevocation": true, "revokeMs": %d, "configApplyMs": 2500, "quotaWindowS": %g, "quotaExcess": %g, "quotaSlack": %d,
    "exposeShare": %g, "exposeSlack": %d, "rollbackMs": %d},
}`, p.name, i%2, p.ip, []int{8, 1000}[i/2%2], p.ip, p.service, p.ip, p.ip, p.ip, p.store,
		revokeTime.Milliseconds(), quotaWindow.Seconds(), quotaExcess, quotaSlack,
		exposeShare, exposeSlack, rollbackTime.Milliseconds())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		m.t.Fatal(err)
	}
	m.hosts = append(m.hosts, p)
	m.t.Cleanup(func() { m.signal(p, syscall.SIGKILL) })
}

// replace starts a new upstream at a new address for a host.
func (m *mesh) replace(p *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u, err := standin.NewUpstream(fmt.Sprint("up-", len(m.upstreams)), p.service, p.ip+":0", 6)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.t.Cleanup(u.Close)
	u.Announced = p.ip + ":9001" // the relay, through which the node connects
	u.Version = p.version
	m.upstreams = append(m.upstreams, u)
	p.mu.Lock()
	defer p.mu.Unlock()
	u.SetBehaviour(p.normal)
	p.upstream, p.silent = u, false
	p.relay.setTarget(u.Address())
}

func (m *mesh) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(m.binary, "node", "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.startCount++
	if err := p.command.Start(); err != nil {
		m.t.Error(err)
	}
}

// signal sends a signal to the process of a host and waits for its end if it ends.
func (m *mesh) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil || command.Process == nil {
		return
	}
	_ = command.Process.Signal(s) // the process may have ended already
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		_ = command.Wait() // the exit code does not matter after a signal
	}
}

// sendHeartbeats sends the heartbeats of a host's upstream.
func (m *mesh) sendHeartbeats(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		p.mu.Lock()
		u, silent := p.upstream, p.silent
		p.mu.Unlock()
		if !silent {
			_ = u.Beat(p.ip+":8082", "ready") // the node may be down
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// leave drains and removes a host's upstream and starts another one in its place.
func (m *mesh) leave(p *process) {
	p.mu.Lock()
	u, does := p.upstream, p.normal
	p.silent = true
	p.mu.Unlock()
	does.Header = notice(u, platform.HeaderLeaving, "1")
	u.SetBehaviour(does)
	if u.Beat(p.ip+":8082", "draining") == nil {
		m.ledger.addLeaving(u.ID, time.Now())
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	if u.Remove(p.ip+":8082") == nil {
		m.ledger.addLeaving(u.ID, time.Now())
	}
	m.replace(p)
}

// nextVersion writes the next configuration version to the store.
func (m *mesh) nextVersion() {
	m.operator.Lock()
	defer m.operator.Unlock()
	m.writeVersion(int(m.version.Add(1)))
}

// writeNewestVersion writes the newest configuration version to the store again.
func (m *mesh) writeNewestVersion() {
	m.operator.Lock()
	defer m.operator.Unlock()
	m.writeVersion(int(m.version.Load()))
}

// awaitNewestVersion waits until every host has served a request of the newest version, for
// at most applyTime.
func (m *mesh) awaitNewestVersion() {
	for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(m.ledger.hostsBehind()) == 0 {
			return
		}
	}
}

// writeVersion writes a configuration version to the store. It has a route /vN/ for itself
// and for each earlier version, so that a request shows which version a node has.
func (m *mesh) writeVersion(version int) {
	route := func(prefix, service, kind string) map[string]any {
		return map[string]any{"host": "a.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 500,
			"priority": 1, "service": service, "maxAttempts": 2}
	}
	public := route(publicPrefix, "desk", "idempotent")
	public["authExempt"] = true
	routes := map[string]any{"public": public, "desk": route("/desk/", "desk", "download"), "order": route("/order/", "ledger", "non_idempotent")}
	for v := 1; v <= version; v++ {
		routes[fmt.Sprint("v", v)] = route(fmt.Sprintf("/v%d/", v), "desk", "idempotent")
	}
	owners := drawOwners(m.seed, version)
	spec, err := json.Marshal(map[string]any{
		"tenants": tenants(owners),
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": map[string]any{"desk": map[string]any{}, "ledger": map[string]any{}},
		"limits": map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
	})
	if err != nil {
		m.t.Error(err)
		return
	}
	written := time.Now()
	m.store.Put("config", "main", spec)
	m.ledger.addAccepted(version, time.Now())
	m.ledger.addOwnership(ownership{version, written, time.Now(), owners})
}

// callers is the number of callers of each host. Requests of limitedCaller have the key of
// the organisation with a limit; they are orders, which run at most once, so that a second
// try does not count.
const callers, limitedCaller = 4, 3

// load sends requests through a host until ctx ends, on connections that stay open while the
// process lives.
func (m *mesh) load(ctx context.Context, p *process, caller int) {
	random := rand.New(rand.NewPCG(m.seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		s := sent{id: fmt.Sprintf("%s-%d-%d", p.name, caller, i), host: p.name, at: time.Now()}
		method := http.MethodGet
		switch i % 3 {
		case 0:
			s.path = "/desk/x"
		case 1:
			s.path, s.order, method = "/order/x", true, http.MethodPost
		case 2:
			s.path = fmt.Sprintf("/v%d/x", m.version.Load())
		}
		if drawKey(random, &s); caller == limitedCaller {
			s.path, s.order, method, s.key = "/order/x", true, http.MethodPost, limitedKey
		}
		p.mu.Lock()
		s.startCount = p.startCount
		p.mu.Unlock()
		m.send(client, p, method, &s)
		m.ledger.add(s)
		time.Sleep(15 * time.Millisecond)
	}
}

func (m *mesh) send(client *http.Client, p *process, method string, s *sent) {
	r, err := http.NewRequest(method, "http://"+p.ip+":8081"+s.path, strings.NewReader(s.id))
	if err != nil {
		m.t.Error(err)
		return
	}
	// Without GetBody, net/http cannot send an order again by itself.
	r.GetBody = nil
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, s.id)
	r.Header.Set(platform.HeaderDeadline, "1200")
	if s.key != "" {
		r.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+" "+s.key)
	}
	if s.forged != "" {
		r.Header.Set(platform.HeaderOrganisation, s.forged)
	}
	a, err := client.Do(r)
	if err != nil {
		s.cut, s.answered = isCut(err), time.Now() // the process may be down
		return
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		s.cut, s.answered = isCut(err), time.Now()
		return // truncated, and the caller can tell: counts as no answer
	}
	s.status, s.body, s.signature = a.StatusCode, string(body), a.Header.Get(platform.HeaderSignature)
	s.answered, s.upstream = time.Now(), a.Header.Get(platform.HeaderUpstream)
	s.limit, s.leaving = a.Header.Get(platform.HeaderLimit), a.Header.Get(platform.HeaderLeaving)
}

// isCut reports whether an error of a request means that its connection was closed before the
// answer.
func isCut(err error) bool {
	var n net.Error
	timedOut := errors.As(err, &n) && n.Timeout()
	return !timedOut && !errors.Is(err, syscall.ECONNREFUSED)
}

// seen returns the requests that all upstreams received.
func (m *mesh) seen() []receivedRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []receivedRequest
	for _, u := range m.upstreams {
		seen, _ := u.Seen()
		for _, s := range seen {
			all = append(all, receivedRequest{Seen: s, upstream: u.ID, service: u.Service, version: u.Version})
		}
	}
	return all
}

// waitUntil polls ok and fails the test if it is not true within 20 s.
func (m *mesh) waitUntil(ok func() bool) {
	m.t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			m.t.Fatal("the mesh did not start within 20 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// relay is a TCP proxy to a target that may change. It can reset or delay connections, or drop
// their data in one direction or both.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	conns    map[net.Conn]struct{}
	muteUp   atomic.Bool
	muteDown atomic.Bool
	delay    atomic.Int64 // nanoseconds for each read
}

func newRelay(address string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		up, err := net.Dial("tcp", target)
		if err != nil {
			_ = c.Close()
			continue
		}
		r.mu.Lock()
		r.conns[c], r.conns[up] = struct{}{}, struct{}{}
		r.mu.Unlock()
		go r.copyData(up, c, &r.muteUp)
		go r.copyData(c, up, &r.muteDown)
	}
}

// copyData copies from one connection to the other until either fails, with the delay of the
// relay, and drops the data while mute is set.
func (r *relay) copyData(to, from net.Conn, mute *atomic.Bool) {
	defer func() {
		_ = to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	part := make([]byte, 4096)
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if mute.Load() {
			continue
		}
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
	}
}

// mute drops incoming data for a while, in one direction or both. It then resets the
// connections, since a stream with a gap must not go on: TCP does not resend what was dropped.
func (r *relay) mute(up, down bool, d time.Duration) {
	r.muteUp.Store(up)
	r.muteDown.Store(down)
	time.Sleep(d)
	r.muteUp.Store(false)
	r.muteDown.Store(false)
	r.reset()
}

// slow delays each read for a while.
func (r *relay) slow(by, d time.Duration) {
	r.delay.Store(int64(by))
	time.Sleep(d)
	r.delay.Store(0)
}

// reset closes every connection with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset()
}

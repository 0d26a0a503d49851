package main

import (
	"bufio"
	"bytes"
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
	"time"
)

// The bounds of the small deployments (SYSTEM.md).
const (
	grace    = 6 * time.Second
	contact  = 3 * time.Second
	lossSlip = 200 * time.Millisecond
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// machine is one sidecar machine: its node and the instance beside it, as processes.
type machine struct {
	mesh                          *mesh
	name, zone, service, ip       string
	outbound, ready, control, app string
	peer, metrics                 int
	settings                      string

	mu       sync.Mutex
	node     *exec.Cmd
	nodeDone chan struct{}
	// startedAt is the start of the node's process, termAt its newest SIGTERM.
	startedAt, termAt time.Time
	inst              *exec.Cmd
	instDone          chan struct{}
	instances         int
	// in says whether the platform sends clients here; misses counts missed questions.
	in     bool
	misses int
}

// mesh is a small deployment as separate processes on loopback.
type mesh struct {
	dir, binary, self, store string
	faults                   string // where the store takes its faults
	storeCmd                 *exec.Cmd
	machines                 []*machine
	record                   *recorder
	linkMbps                 float64
	octet                    string
	configured               bool

	mu   sync.Mutex
	runs map[string][]entry // what instances logged, by request id
	all  []entry
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func (r *recorder) line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) say(format string, args ...any) {
	r.line(time.Now(), format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// recorded says that record.txt has been begun; a second mesh of the same case goes on in it.
var recorded bool

func newRecorder(path string) (*recorder, error) {
	mode := os.O_CREATE | os.O_WRONLY | os.O_TRUNC
	if recorded {
		mode = os.O_WRONLY | os.O_APPEND
	}
	recorded = true
	f, err := os.OpenFile(path, mode, 0o644)
	if err != nil {
		return nil, err
	}
	return &recorder{w: bufio.NewWriter(f), f: f, start: time.Now()}, nil
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

func freePort(ip string, not map[int]bool) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		p := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !not[p] {
			not[p] = true
			return p, nil
		}
	}
	return 0, errors.New("no free port")
}

// newMesh prepares machines; layout gives zone and service of each.
func newMesh(repo, caseDir string, linkMbps float64, layout [][2]string) (*mesh, error) {
	record, err := newRecorder(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	m := &mesh{
		dir: dir, binary: filepath.Join(repo, "target", "tarragondrum"), self: self, record: record, linkMbps: linkMbps,
		runs: make(map[string][]entry), octet: fmt.Sprintf("127.%d.%d", 64+rand.IntN(120), 1+rand.IntN(250)),
	}
	ip := m.octet + ".1"
	port, err := freePort(ip, map[int]bool{})
	if err != nil {
		return nil, err
	}
	m.store = fmt.Sprintf("%s:%d", ip, port)
	if port, err = freePort(ip, map[int]bool{port: true}); err != nil {
		return nil, err
	}
	m.faults = fmt.Sprintf("%s:%d", ip, port)
	for i, l := range layout {
		x := &machine{mesh: m, name: fmt.Sprintf("m%d-%s", i+1, l[0]), zone: l[0], service: l[1], ip: fmt.Sprintf("%s.%d", m.octet, 10+i), in: true}
		used := map[int]bool{}
		var ports [6]int
		for j := range ports {
			if ports[j], err = freePort(x.ip, used); err != nil {
				return nil, err
			}
		}
		at := func(j int) string { return fmt.Sprintf("%s:%d", x.ip, ports[j]) }
		x.outbound, x.ready, x.control, x.app, x.peer, x.metrics = at(0), at(1), at(2), at(3), ports[4], ports[5]
		x.settings = filepath.Join(dir, x.name+".jsonc")
		if err := os.WriteFile(x.settings, x.render(), 0o600); err != nil {
			return nil, err
		}
		m.machines = append(m.machines, x)
	}
	return m, nil
}

// render returns the settings, with the fields of deploy/host.jsonc.tmpl.
func (x *machine) render() []byte {
	raw, _ := json.MarshalIndent(map[string]any{
		"node":     map[string]any{"id": x.name, "dataCentre": x.zone, "region": "ro-nord", "ip": x.ip, "memoryMB": 284, "cpuShare": 0.32, "linkMbps": x.mesh.linkMbps, "firstStart": false},
		"upstream": map[string]any{"address": x.app, "service": x.service},
		"listen":   map[string]any{"outbound": x.outbound, "ready": x.ready, "announce": x.control, "peerPort": x.peer, "metricsPort": x.metrics},
		"store":    map[string]any{"address": x.mesh.store},
		"bounds":   map[string]any{"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64},
	}, "", "  ")
	return raw
}

func (m *mesh) logFile(name string) *os.File {
	f, err := os.OpenFile(filepath.Join(m.dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil
	}
	return f
}

func (m *mesh) startStore() error {
	m.storeCmd = exec.Command(m.binary, "platform", "--listen", m.store, "--faults", m.faults)
	m.storeCmd.Stdout = m.logFile("store.log")
	m.storeCmd.Stderr = m.storeCmd.Stdout
	return m.storeCmd.Start()
}

// setStore makes the store answer every call with a status, or as usual with 0.
func (m *mesh) setStore(status int) error {
	a, err := http.Post("http://"+m.faults+"/faults", "application/json", strings.NewReader(fmt.Sprintf(`{"status":%d}`, status)))
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("the store's faults answered %d", a.StatusCode)
	}
	m.record.say("the store answers with status %d from now on (0: as usual)", status)
	return nil
}

// killNode sends SIGKILL and waits for the end.
func (x *machine) killNode() {
	x.mu.Lock()
	c, done := x.node, x.nodeDone
	x.mu.Unlock()
	_ = c.Process.Kill()
	<-done
	x.mesh.record.say("SIGKILL to the node of %s", x.name)
}

// startNode starts the node with the command of the deploy file.
func (x *machine) startNode() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := exec.Command(x.mesh.binary, "node")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TARRAGONDRUM_CONFIG=" + x.settings}
	c.Stdout = x.mesh.logFile(x.name + ".log")
	c.Stderr = c.Stdout
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.node, x.nodeDone, x.startedAt = c, done, time.Now()
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

// stopNode sends SIGTERM, and SIGKILL after the grace, and waits for the end.
func (x *machine) stopNode() {
	x.mu.Lock()
	c, done := x.node, x.nodeDone
	x.termAt = time.Now()
	x.mu.Unlock()
	x.mesh.record.say("SIGTERM to the node of %s", x.name)
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-done
		x.mesh.record.say("the node of %s got SIGKILL after graceS", x.name)
	}
	x.mesh.record.say("the node of %s has ended", x.name)
}

// startInstance starts a new incarnation of the instance, with a new id.
func (x *machine) startInstance() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.instances++
	c := exec.Command(x.mesh.self, "instance", "--id", fmt.Sprintf("i-%s-%d", x.name, x.instances), "--service", x.service,
		"--listen", x.app, "--control", x.control, "--slots", "9")
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = x.mesh.logFile("instances.log")
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.inst, x.instDone = c, done
	go func() {
		x.mesh.collect(out)
		_ = c.Wait()
		close(done)
	}()
	return nil
}

// superviseInstance starts the instance again some time after it crashed.
func (x *machine) superviseInstance(stop <-chan struct{}, after time.Duration) {
	for {
		x.mu.Lock()
		done := x.instDone
		x.mu.Unlock()
		select {
		case <-stop:
			return
		case <-done:
		}
		x.mesh.record.say("the instance beside %s crashed", x.name)
		select {
		case <-stop:
			return
		case <-time.After(after):
		}
		if err := x.startInstance(); err != nil {
			return
		}
	}
}

func (m *mesh) collect(out io.Reader) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		var e entry
		if json.Unmarshal(s.Bytes(), &e) != nil {
			continue
		}
		m.mu.Lock()
		m.all = append(m.all, e)
		if e.ID != "" {
			m.runs[e.ID] = append(m.runs[e.ID], e)
		}
		m.mu.Unlock()
		if e.ID != "" {
			m.record.line(e.At, "instance %s: %s %s %s", e.Instance, e.Event, e.ID, e.Path)
		}
	}
}

func (m *mesh) eventsOf(id string) []entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]entry(nil), m.runs[id]...)
}

// putConfig writes a configuration as the operator does: the first one creates the object.
func (m *mesh) putConfig(version int, routes map[string]any, services ...string) error {
	s := map[string]any{}
	for _, name := range services {
		s[name] = map[string]any{"healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": false}
	}
	body, _ := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": "main"},
		"spec": map[string]any{
			"version": fmt.Sprintf("%08x", version), "routes": routes, "services": s,
			"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		},
	})
	var err error
	for range 50 {
		method, path := http.MethodPut, "/objects/config/main"
		if !m.configured {
			method, path = http.MethodPost, "/objects/config"
		}
		r, _ := http.NewRequest(method, "http://"+m.store+path, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		var a *http.Response
		if a, err = http.DefaultClient.Do(r); err == nil {
			_ = a.Body.Close()
			if a.StatusCode/100 == 2 {
				m.configured = true
				return nil
			}
			err = fmt.Errorf("store answered %d", a.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

func route(host, prefix, kind, service string, timeoutMs, targetMs, priority, attempts int) map[string]any {
	return map[string]any{"host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": priority, "service": service, "maxAttempts": attempts}
}

// start starts everything and waits until each node is ready.
func (m *mesh) start(routes map[string]any, services ...string) error {
	if _, err := os.Stat(m.binary); err != nil {
		return fmt.Errorf("%w: build the deploy file first: %w", errSetup, err)
	}
	if err := m.startStore(); err != nil {
		return err
	}
	if err := m.putConfig(3, routes, services...); err != nil {
		return err
	}
	for _, x := range m.machines {
		if err := x.startNode(); err != nil {
			return err
		}
		if err := x.startInstance(); err != nil {
			return err
		}
	}
	for _, x := range m.machines {
		ok := false
		for range 200 {
			if ok = x.askReady(); ok {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ok {
			return fmt.Errorf("%w: the node of %s is not ready after 20 s", errSetup, x.name)
		}
	}
	return nil
}

func (x *machine) askReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + x.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// askAll asks each node once a second whether it is ready. Two misses take a machine out.
func (m *mesh) askAll(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		var all sync.WaitGroup
		for _, x := range m.machines {
			all.Go(func() {
				ready := x.askReady()
				x.mu.Lock()
				defer x.mu.Unlock()
				if ready {
					if !x.in {
						m.record.say("the platform takes %s in again", x.name)
					}
					x.misses, x.in = 0, true
					return
				}
				x.misses++
				if x.misses == 2 {
					x.in = false
					m.record.say("the platform takes %s out: two misses", x.name)
				}
			})
		}
		all.Wait()
	}
}

// getsClients reports whether the clients of a machine receive work: it is in, or fewer than
// half of the zone's nodes are in.
func (x *machine) getsClients() bool {
	in, all := 0, 0
	self := false
	for _, y := range x.mesh.machines {
		if y.zone != x.zone {
			continue
		}
		y.mu.Lock()
		all++
		if y.in {
			in++
			self = self || y == x
		}
		y.mu.Unlock()
	}
	return self || 2*in < all
}

// crashInstance ends the instance as a crash does.
func (x *machine) crashInstance() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mesh.record.say("SIGKILL to the instance beside %s", x.name)
	_ = x.inst.Process.Kill()
}

// close ends every process that the case started.
func (m *mesh) close() {
	kill := func(c *exec.Cmd) {
		if c != nil && c.Process != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
		}
	}
	for _, x := range m.machines {
		x.mu.Lock()
		kill(x.node)
		kill(x.inst)
		nodeDone, instDone := x.nodeDone, x.instDone
		x.mu.Unlock()
		if nodeDone != nil {
			<-nodeDone
		}
		if instDone != nil {
			<-instDone
		}
	}
	kill(m.storeCmd)
	if m.storeCmd != nil {
		_ = m.storeCmd.Wait()
	}
	m.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	} else {
		fmt.Println("kept", m.dir)
	}
}

// request is one client attempt and what the client saw of it.
type request struct {
	id, method, path string
	host             string
	machine          *machine
	deadline         time.Duration
	body             string

	sentAt, endAt time.Time
	connected     bool
	status        int // 0 without a complete answer
	signature     string
	size          int
	reason        string
	gaveUp        bool
	err           error
	done          atomic.Bool // the fields above are final
}

// do sends one request on a connection of its own and waits until its deadline.
func (q *request) do() {
	defer q.done.Store(true)
	begin := time.Now()
	limit := begin.Add(q.deadline)
	q.endAt = begin
	c, err := net.DialTimeout("tcp", q.machine.outbound, time.Second)
	if err != nil {
		q.err, q.endAt = err, time.Now()
		return
	}
	defer c.Close()
	q.connected = true
	_ = c.SetDeadline(limit)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nTarragondrum-Request-Id: %s\r\nTarragondrum-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, time.Until(limit).Milliseconds())
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_, err = io.WriteString(c, b.String())
	q.sentAt = time.Now()
	if err == nil {
		err = q.read(c)
	}
	q.endAt = time.Now()
	var n net.Error
	q.gaveUp = errors.As(err, &n) && n.Timeout()
	q.err = err
}

func (q *request) read(c net.Conn) error {
	a, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	q.size = len(body)
	if err != nil {
		return err
	}
	q.status, q.signature = a.StatusCode, a.Header.Get("Tarragondrum-Server-Signature")
	if q.signature == "" {
		q.reason = string(bytes.TrimSpace(body))
	}
	return nil
}

func (q *request) String() string {
	end := fmt.Sprintf("status %d, %d bytes %s", q.status, q.size, q.reason)
	if q.status == 0 {
		end = fmt.Sprintf("no complete answer (%v, %d bytes of the body)", q.err, q.size)
	}
	return fmt.Sprintf("client at %s: %s %s %s, after %d ms: %s", q.machine.name, q.id, q.method, q.path, q.endAt.Sub(q.sentAt).Milliseconds(), end)
}

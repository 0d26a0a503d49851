// Command kit2 plays the script cases of the review: it starts nodes and the project's stand-in of
// the store as separate processes, and is itself the instances, the clients and the operator.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment (sites/vopsea-ops.toml).
const (
	contact = 3000 * time.Millisecond // contactMs
	drain   = 2000 * time.Millisecond // drainMs
	grace   = 6 * time.Second         // graceS
)

var (
	start    = time.Now()
	recordMu sync.Mutex
	recordTo *os.File
)

// say writes a line with the time since the start to the record.
func say(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordTo, "%8.3f  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the case as one that could not run.
func cannotRun(format string, args ...any) {
	say("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

var (
	procMu sync.Mutex
	procs  = map[*exec.Cmd]bool{}
	dir    string
)

// spawn starts a process of the project in the repository's root.
func spawn(name string, env []string, args ...string) *exec.Cmd {
	c := exec.Command(os.Getenv("KIT_BIN"), args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	defer out.Close()
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		cannotRun("%v", err)
	}
	procMu.Lock()
	procs[c] = true
	procMu.Unlock()
	return c
}

// reap waits for a process that ends.
func reap(c *exec.Cmd) {
	_ = c.Wait()
	procMu.Lock()
	delete(procs, c)
	procMu.Unlock()
}

// cleanUp ends all processes that were started.
func cleanUp() {
	procMu.Lock()
	left := make([]*exec.Cmd, 0, len(procs))
	for c := range procs {
		left = append(left, c)
	}
	procMu.Unlock()
	for _, c := range left {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		reap(c)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
}

// freePort returns a free port of a loopback address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// mesh is a small deployment.
type mesh struct {
	store    string
	machines []*machine
}

// machine is a machine with a node and an instance.
type machine struct {
	m                             *mesh
	name, zone, service, ip       string
	outbound, ready, control, app string
	peer, metrics                 int
	inst                          *instance

	mu   sync.Mutex
	node *exec.Cmd
	// disturbed lists when the node was started or signalled, and when it ended.
	disturbed []time.Time
	starts    int
}

func (h *machine) settings() []byte {
	return fmt.Appendf(nil, `{
  "node": {"id": %q, "dataCentre": %q, "region": "ro-nord", "ip": %q, "memoryMB": 284, "maxDescriptors": 4100, "cpuShare": 0.32, "linkMbps": 1000.0, "firstStart": %t},
  "upstream": {"address": %q, "service": %q},
  "listen": {"outbound": %q, "ready": %q, "announce": %q, "peerPort": %d, "metricsPort": %d},
  "store": {"address": %q},
  "bounds": {"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64, "configApplyMs": 2000}
}
`, h.name, h.zone, h.ip, h.starts == 0, h.app, h.service, h.outbound, h.ready, h.control, h.peer, h.metrics, h.m.store)
}

// startNode starts the node with the command of the deploy file.
func (h *machine) startNode() {
	h.mu.Lock()
	defer h.mu.Unlock()
	path := filepath.Join(dir, h.name+".jsonc")
	if err := os.WriteFile(path, h.settings(), 0o644); err != nil {
		cannotRun("%v", err)
	}
	h.starts++
	h.node = spawn(h.name, []string{"TARRAGONDRUM_CONFIG=" + path}, "node")
	h.disturbed = append(h.disturbed, time.Now())
}

// termNode stops the node as planned: SIGTERM, and SIGKILL after graceS.
func (h *machine) termNode() {
	h.mu.Lock()
	c := h.node
	h.disturbed = append(h.disturbed, time.Now())
	h.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(grace, func() { _ = c.Process.Kill() })
	reap(c)
	t.Stop()
	h.mu.Lock()
	h.disturbed = append(h.disturbed, time.Now())
	h.mu.Unlock()
}

// calmAt reports whether the node ran for contactMs before a time without a start or signal.
func (h *machine) calmAt(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.disturbed {
		if !d.After(at) && at.Sub(d) <= contact {
			return false
		}
	}
	return true
}

func (h *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// newMesh starts the store and writes the first configuration.
func newMesh(zones int, services []string) *mesh {
	a, b := 16+rand.IntN(200), rand.IntN(250)
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, 10+i) }
	m := &mesh{}
	m.store = fmt.Sprintf("%s:%d", ip(0), freePort(ip(0)))
	spawn("store", nil, "platform", "--listen", m.store, "--faults", "")
	eventually("the store listens", 5*time.Second, func() bool {
		r, err := http.Get("http://" + m.store + "/objects/config")
		if err != nil {
			return false
		}
		r.Body.Close()
		return true
	})
	for i, s := range services {
		h := &machine{m: m, name: fmt.Sprintf("machine-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%zones), service: s, ip: ip(i + 1)}
		at := func() string { return fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)) }
		h.outbound, h.ready, h.control, h.app = at(), at(), at(), at()
		h.peer, h.metrics = freePort(h.ip), freePort(h.ip)
		m.machines = append(m.machines, h)
	}
	return m
}

// putConfig writes the first configuration as the operator does.
func (m *mesh) putConfig(version int, routes map[string]any) {
	m.writeConfig(http.MethodPost, "", version, routes)
}

// replaceConfig writes a later configuration.
func (m *mesh) replaceConfig(version int, routes map[string]any) {
	m.writeConfig(http.MethodPut, "/main", version, routes)
}

func (m *mesh) writeConfig(method, path string, version int, routes map[string]any) {
	services := map[string]any{}
	for _, h := range m.machines {
		services[h.service] = map[string]any{"healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": false}
	}
	spec := map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": "main"}, "spec": spec})
	q, _ := http.NewRequest(method, "http://"+m.store+"/objects/config"+path, bytes.NewReader(body))
	q.Header.Set("Content-Type", "application/json")
	r, err := http.DefaultClient.Do(q)
	if err != nil || r.StatusCode/100 != 2 {
		cannotRun("the configuration could not be written: %v", err)
	}
	r.Body.Close()
}

// route describes a route.
func route(prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{"host": "desk.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": attempts}
}

// eventually waits until a condition holds.
func eventually(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	cannotRun("not within %s: %s", limit, what)
}

// startAll starts all instances and nodes and waits until they are ready.
func (m *mesh) startAll() {
	for _, h := range m.machines {
		h.inst = newInstance(h)
	}
	for _, h := range m.machines {
		h.startNode()
	}
	for _, h := range m.machines {
		eventually(h.name+" is ready", 10*time.Second, h.isReady)
	}
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	err    error
	body   string
}

// send sends one request on a new connection.
func (h *machine) send(method, path, id string, deadlineMs int, body string) answer {
	c := http.Client{Timeout: time.Duration(deadlineMs) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, "http://"+h.outbound+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	q.Host = "desk.example"
	q.Header.Set("Tarragondrum-Request-Id", id)
	q.Header.Set("Tarragondrum-Deadline-Ms", fmt.Sprint(deadlineMs))
	r, err := c.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, signed: r.Header.Get("Tarragondrum-Server-Signature") != "", err: err, body: string(data)}
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer"
	}
	if a.signed {
		return fmt.Sprintf("%d with the instance's signature", a.status)
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

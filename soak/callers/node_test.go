// Package callers runs the real program as separate processes on loopback addresses, lets a
// small number of callers or an upstream misbehave, and checks that the processes live, that
// their memory and their open descriptors stay under a bound, that no caller gets a broken
// answer, and that ordinary requests are answered. The settings of the processes have low
// limits, so that few callers reach them.
package callers

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

const (
	// memoryMB is the memory of the host in the settings, and the bound for the resident
	// memory of the process. It is about half of the smallest host's of the deployments.
	memoryMB = 64
	// maxDescriptors is the number of descriptors in the settings, and the bound for the
	// descriptors that the process has open.
	maxDescriptors = 400
	// headerBytes and bodyBytes are the limits of the configuration.
	headerBytes = 16384
	bodyBytes   = 2 << 20
	// giveUp bounds the wait for the start and for the ordinary request, so that a process
	// that hangs fails the test. It is no requirement on time.
	giveUp = 20 * time.Second
	// slots is the number of requests that an upstream runs at once.
	slots = 6
)

// ordinary is how upstreams answer unless a test says otherwise.
var ordinary = standin.Behaviour{Work: 50 * time.Millisecond, Size: 20_000}

var (
	buildOnce sync.Once
	binary    string
	errBuild  error
	// networks numbers the loopback networks of the nodes of this package.
	networks atomic.Int32
)

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// build compiles the program once and returns the path of the binary.
func build(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "callers")
		if err != nil {
			errBuild = err
			return
		}
		binary = filepath.Join(dir, "tarragondrum")
		command := exec.Command("go", "build", "-tags", "netcgo", "-o", binary, "../../cmd/tarragondrum")
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		errBuild = command.Run()
	})
	if errBuild != nil {
		t.Fatal(errBuild)
	}
	return binary
}

// mesh is the store that the nodes of a test share, in a network of its own.
type mesh struct {
	t       *testing.T
	network int32
	nodes   int
	store   string // the address
}

// newMesh starts a store with a configuration.
func newMesh(t *testing.T, bodyBytes int) *mesh {
	t.Helper()
	m := &mesh{t: t, network: networks.Add(1)}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	var err error
	if m.store, err = store.Listen(m.ip(1) + ":7000"); err != nil {
		t.Fatal(err)
	}
	store.Put("config", "main", configuration(t, bodyBytes))
	return m
}

// ip returns the address of the host with a number from 1 on.
func (m *mesh) ip(host int) string { return fmt.Sprintf("127.97.%d.%d", m.network, host) }

// node is a process of the real program with an upstream in the test.
type node struct {
	t        *testing.T
	ip       string
	memoryMB int64
	// service is that of the upstream.
	service  string
	upstream *standin.Upstream
	command  *exec.Cmd
	ended    chan struct{}
	log      string

	stop     chan struct{}
	watching sync.WaitGroup
	// mostMemory and mostDescriptors are the highest values of the process that were seen.
	mostMemory, mostDescriptors atomic.Int64
}

// startNode starts a node with the low limits and waits until it answers ordinary requests.
func startNode(t *testing.T) *node {
	t.Helper()
	return startNodeWith(t, memoryMB, bodyBytes)
}

// startNodeWith starts a node with other limits.
func startNodeWith(t *testing.T, memoryMB, bodyBytes int) *node {
	t.Helper()
	return newMesh(t, bodyBytes).startNode("desk", memoryMB)
}

// startNode starts a node beside an upstream of a service and waits until it answers ordinary
// requests. The first node of a mesh has an upstream of the service "desk".
func (m *mesh) startNode(service string, memoryMB int) *node {
	t := m.t
	t.Helper()
	program := os.Getenv("CALLERS_BINARY") // another build to compare with
	if program == "" {
		program = build(t)
	}
	m.nodes++
	n := &node{t: t, memoryMB: int64(memoryMB), service: service, ip: m.ip(m.nodes), ended: make(chan struct{}), stop: make(chan struct{})}
	var err error
	if n.upstream, err = standin.NewUpstream(fmt.Sprint("up-", m.nodes), service, n.ip+":9001", slots); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.upstream.Close)
	n.upstream.SetBehaviour(ordinary)
	dir := t.TempDir()
	settings := filepath.Join(dir, "host.jsonc")
	text := fmt.Sprintf(`{
  "node": {"id": "host-%d", "dataCentre": "dc-1", "region": "r", "ip": %q, "memoryMB": %d, "maxDescriptors": %d, "cpuShare": 0.3, "linkMbps": 1000},
  "upstream": {"address": "%s:9001", "service": %q},
  "listen": {"outbound": "%s:8081", "ready": "%s:8083", "announce": "%s:8082", "peerPort": 7101, "metricsPort": 9464},
  "store": {"address": %q},
  "bounds": {"graceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64},
}`, m.nodes, n.ip, memoryMB, maxDescriptors, n.ip, service, n.ip, n.ip, n.ip, m.store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.log = filepath.Join(dir, "log")
	log, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	n.command = exec.Command(program, "node", "--settings", settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.command.Wait() // the tests check only whether it ended
		close(n.ended)
	}()
	t.Cleanup(func() {
		close(n.stop)
		n.watching.Wait()
		_ = n.command.Process.Signal(syscall.SIGKILL) // it may have ended already
		<-n.ended
	})
	n.checkServed()
	n.watching.Go(n.watch)
	return n
}

func configuration(t *testing.T, bodyBytes int) json.RawMessage {
	t.Helper()
	route := func(name, service, kind string) map[string]any {
		return map[string]any{
			"host": "a.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 4000,
			"priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	spec, err := json.Marshal(map[string]any{
		"version": "00000001",
		"routes": map[string]any{
			"desk": route("desk", "desk", "idempotent"), "orders": route("orders", "desk", "upload"),
			"files": route("files", "desk", "download"), "ledger": route("ledger", "ledger", "idempotent"),
		},
		"services": map[string]any{"desk": map[string]any{}, "ledger": map[string]any{}},
		"limits":   map[string]any{"maxHeaderBytes": headerBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// watch records the memory and the open descriptors of the process until the test ends, and
// sends the heartbeats of the upstream.
func (n *node) watch() {
	for i := 0; ; i++ {
		select {
		case <-n.stop:
			return
		case <-n.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		raise(&n.mostMemory, n.residentBytes())
		raise(&n.mostDescriptors, n.descriptors())
		if i%100 == 0 {
			go func() { _ = n.upstream.Beat(n.ip+":8082", "ready") }() // refused while callers misbehave there
		}
	}
}

func raise(most *atomic.Int64, value int64) { most.Store(max(most.Load(), value)) }

// residentBytes returns the resident memory of the process, 0 if it has ended.
func (n *node) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// descriptors returns the number of open descriptors of the process, 0 if it has ended.
func (n *node) descriptors() int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// check fails the test if the process has ended or went over a bound, or if it does not answer
// ordinary requests.
func (n *node) check() {
	n.t.Helper()
	n.checkServed()
	memory, descriptors := n.mostMemory.Load(), n.mostDescriptors.Load()
	n.t.Logf("at most %.1f MB resident, %d descriptors", float64(memory)/(1<<20), descriptors)
	if memory > n.memoryMB<<20 {
		n.t.Errorf("%.1f MB resident, %d MB allowed", float64(memory)/(1<<20), n.memoryMB)
	}
	if descriptors > maxDescriptors {
		n.t.Errorf("%d descriptors open, %d allowed", descriptors, maxDescriptors)
	}
}

// checkServed waits until a heartbeat is acknowledged, the node is ready, shows its metrics and
// answers a request.
func (n *node) checkServed() {
	n.t.Helper()
	for end := time.Now().Add(giveUp); ; time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.ended:
			n.t.Fatalf("the process ended: %v\n%s", n.command.ProcessState, n.lastLines())
		default:
		}
		err := n.serve()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			n.t.Fatalf("ordinary requests are not answered: %v\n%s", err, n.lastLines())
		}
	}
}

func (n *node) serve() error {
	if err := n.upstream.Beat(n.ip+":8082", "ready"); err != nil {
		return err
	}
	// Each request has a connection of its own, as that of a caller that has just come.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for _, address := range []string{n.ip + ":8083" + platform.ReadyPath, n.ip + ":9464/metrics", n.ip + ":8081/" + n.service + "/x"} {
		r, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if err != nil {
			return err
		}
		if strings.HasSuffix(address, "/x") {
			r.Host = "a.example"
			r.Header.Set(platform.HeaderRequestID, fmt.Sprint("ordinary-", time.Now().UnixNano()))
		}
		a, err := client.Do(r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		if err != nil {
			return err
		}
		if a.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d", address, a.StatusCode)
		}
	}
	return nil
}

// lastLines returns the end of the log of the process.
func (n *node) lastLines() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-3000):])
}

// dial connects to a listener of the node, or returns nil if that fails, since refusing is
// allowed.
func (n *node) dial(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil
	}
	return c
}

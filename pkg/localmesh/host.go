package localmesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/host"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// The ports of every host.
const (
	storePort    = 7000
	peerPort     = 7100
	outboundPort = 8081
	announcePort = 8082
	readyPort    = 8083
	upstreamPort = 9000
	metricsPort  = 9464
)

const (
	// beatInterval is the time between two heartbeats of a stand-in upstream.
	beatInterval = 200 * time.Millisecond
	// graceS is the time between SIGTERM and SIGKILL in seconds, as on the users'
	// platform.
	graceS = 6
	// memoryMB is what each node may take. The nodes share a process, and each sets
	// its bound for the whole of it.
	memoryMB = 2048
)

// Host is one host with its upstream and its node.
type Host struct {
	Name, DataCentre, Service, IP string
	// StoreAddress is where only this host reaches the store, so that the store can
	// turn it away alone.
	StoreAddress string
	// SettingsFile is where the settings of the node are, and GraceS goes into them.
	SettingsFile string
	GraceS       int
	Upstream     *standin.Upstream
	// Node is nil before the first start.
	Node *host.Node

	slots     int
	dir       string
	operators []bundle.Operator
	log       io.Writer

	mu      sync.Mutex
	beating context.CancelFunc
}

func (h *Host) at(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }

// Outbound is where callers on the host send their requests.
func (h *Host) Outbound() string { return h.at(outboundPort) }

// Announce is where the upstream sends its heartbeats.
func (h *Host) Announce() string { return h.at(announcePort) }

// Ready is where the platform asks for readiness.
func (h *Host) Ready() string { return h.at(readyPort) }

// URL is where operators ask the node.
func (h *Host) URL() string { return "http://" + h.at(metricsPort) }

// WriteSettings writes the settings file.
func (h *Host) WriteSettings() error {
	operators, err := json.Marshal(h.operators)
	if err != nil {
		return fmt.Errorf("encode operators: %w", err)
	}
	text := fmt.Sprintf(`// Settings of a node of a mesh on loopback.
{
  "node": {"id": %q, "dataCentre": %q, "region": "r", "ip": %q, "memoryMB": %d, "cpuShare": 0.32, "linkMbps": 1000},
  "upstream": {"address": %q, "service": %q},
  "listen": {"outbound": %q, "ready": %q, "announce": %q, "peerPort": %d, "metricsPort": %d},
  "store": {"address": %q},
  "bounds": {"graceS": %d, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64},
  "operators": %s,
}
`, h.Name, h.DataCentre, h.IP, memoryMB, h.at(upstreamPort), h.Service, h.Outbound(), h.Ready(), h.Announce(), peerPort, metricsPort,
		h.StoreAddress, h.GraceS, operators)
	h.SettingsFile = filepath.Join(h.dir, h.Name+".jsonc")
	if err := os.WriteFile(h.SettingsFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Start starts the node, and the heartbeats of the upstream unless they were
// stopped.
func (h *Host) Start() error {
	n, err := host.New(h.SettingsFile, h.log)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	h.Node = n
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beating == nil {
		var ctx context.Context
		ctx, h.beating = context.WithCancel(context.Background())
		go h.beat(ctx)
	}
	return nil
}

// Kill ends the node at once, as if its process was killed.
func (h *Host) Kill() {
	if h.Node != nil {
		h.Node.Kill()
	}
}

// beat sends heartbeats; a node that is down misses them.
func (h *Host) beat(ctx context.Context) {
	for ctx.Err() == nil {
		_ = h.Upstream.Beat(h.Announce(), standin.StateReady)
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

// StopBeating ends the heartbeats of the upstream for good.
func (h *Host) StopBeating() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beating == nil {
		h.beating = func() {}
	}
	h.beating()
}

// Leave makes the upstream leave as planned: it says so and goes on.
func (h *Host) Leave() error {
	h.StopBeating()
	return h.Upstream.Beat(h.Announce(), standin.StateDraining)
}

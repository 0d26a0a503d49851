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

// Ports that are the same on every host; hosts differ in their IP address.
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
	// heartbeatInterval is the time between two heartbeats of a stand-in upstream.
	heartbeatInterval = 200 * time.Millisecond
	// graceS is the time between SIGTERM and SIGKILL in seconds. It is the same as on
	// the users' platform.
	graceS = 6
	// linkMbps is the speed of a host's link in Mbit/s. It is the same as on the users'
	// platform.
	linkMbps = 1000
	// memoryMB is the memory limit in the settings of each node. All nodes share one
	// process and each node sets the memory limit of the process, so the value covers the
	// whole mesh.
	memoryMB = 2048
)

// Host is a host with its upstream and its node.
type Host struct {
	Name, DataCentre, Service, IP string
	// StoreAddress is an address of the store that only this host uses, so that a test
	// can cut off this host alone.
	StoreAddress string
	// SettingsFile is the path of the node's settings; WriteSettings sets it.
	SettingsFile string
	// GraceS is the time in seconds between SIGTERM and SIGKILL that WriteSettings puts
	// into the settings.
	GraceS int
	// LinkMbps is the speed of the host's link in Mbit/s that WriteSettings puts into the
	// settings. It applies from the next start of the node.
	LinkMbps float64
	// Bounds are further bounds that WriteSettings puts into the settings, by their names there.
	Bounds   map[string]float64
	Upstream *standin.Upstream
	// Node is nil before the first start.
	Node *host.Node

	slots int
	// revokeMs and advertisedPort are 0 without strict revocation and without a relay.
	revokeMs, advertisedPort int
	exposeShare              float64

	dir       string
	operators []bundle.Operator
	log       io.Writer

	mu sync.Mutex
	// stopHeartbeats ends the heartbeats of the upstream. It is nil before the first
	// start; a non-nil value keeps Start from starting them again.
	stopHeartbeats context.CancelFunc
}

// address returns the address of a port on the host.
func (h *Host) address(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }

// OutboundAddress returns the address to which callers on the host send their requests.
func (h *Host) OutboundAddress() string { return h.address(outboundPort) }

// AnnounceAddress returns the address to which the upstream sends its heartbeats.
func (h *Host) AnnounceAddress() string { return h.address(announcePort) }

// ReadinessAddress returns the address of the readiness endpoint.
func (h *Host) ReadinessAddress() string { return h.address(readyPort) }

// OperatorURL returns the base URL for the operators' requests to the node.
func (h *Host) OperatorURL() string { return "http://" + h.address(metricsPort) }

// WriteSettings writes the settings file of the node and sets SettingsFile.
func (h *Host) WriteSettings() error {
	operators, err := json.Marshal(h.operators)
	if err != nil {
		return fmt.Errorf("encode operators: %w", err)
	}
	limits := map[string]any{"graceS": h.GraceS, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 64,
		"strictRevocation": h.revokeMs > 0, "revokeMs": h.revokeMs,
		"exposeShare": h.exposeShare, "exposeSlack": 50, "rollbackMs": 5000}
	for name, value := range h.Bounds {
		limits[name] = value
	}
	bounds, err := json.Marshal(limits)
	if err != nil {
		return fmt.Errorf("encode bounds: %w", err)
	}
	text := fmt.Sprintf(`// Settings of a node in a mesh on loopback.
{
  "node": {"id": %q, "dataCentre": %q, "region": "r", "ip": %q, "memoryMB": %d, "cpuShare": 0.32, "linkMbps": %g},
  "upstream": {"address": %q, "service": %q},
  "listen": {"outbound": %q, "ready": %q, "announce": %q, "peerPort": %d, "peerAdvertised": %d, "metricsPort": %d},
  "store": {"address": %q},
  "bounds": %s,
  "operators": %s,
}
`, h.Name, h.DataCentre, h.IP, memoryMB, h.LinkMbps, h.address(upstreamPort), h.Service, h.OutboundAddress(), h.ReadinessAddress(), h.AnnounceAddress(), peerPort, h.advertisedPort, metricsPort,
		h.StoreAddress, bounds, operators)
	h.SettingsFile = filepath.Join(h.dir, h.Name+".jsonc")
	if err := os.WriteFile(h.SettingsFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Start starts the node from its settings file. It also starts the heartbeats of the
// upstream, unless they run already or StopHeartbeats has ended them.
func (h *Host) Start() error {
	node, err := host.New(h.SettingsFile, h.log)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	h.Node = node
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopHeartbeats == nil {
		var ctx context.Context
		ctx, h.stopHeartbeats = context.WithCancel(context.Background())
		go h.sendHeartbeats(ctx)
	}
	return nil
}

// Kill ends the node at once, as if its process had been killed.
func (h *Host) Kill() {
	if h.Node != nil {
		h.Node.Kill()
	}
}

// sendHeartbeats sends heartbeats to the node until ctx ends. Errors are ignored, because
// the node may be down.
func (h *Host) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		_ = h.Upstream.Beat(h.AnnounceAddress(), standin.StateReady)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// StopHeartbeats ends the heartbeats of the upstream; a later Start does not resume them.
func (h *Host) StopHeartbeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopHeartbeats == nil {
		h.stopHeartbeats = func() {}
	}
	h.stopHeartbeats()
}

// AnnounceDraining starts a planned departure of the upstream: it stops the regular heartbeats and
// announces that the upstream is draining. The upstream still serves requests.
func (h *Host) AnnounceDraining() error {
	h.StopHeartbeats()
	return h.Upstream.Beat(h.AnnounceAddress(), standin.StateDraining)
}

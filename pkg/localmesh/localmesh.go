// Package localmesh runs a mesh of nodes in one process for tests, measurements and the
// demonstration. Every host has its own loopback address; the platform's store and the
// upstreams are stand-ins.
package localmesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// ErrTimeout is returned by Wait if the mesh does not reach a state in time.
var ErrTimeout = errors.New("localmesh: state was not reached in time")

const (
	// pollInterval is the time between two checks of a state in Wait.
	pollInterval = 10 * time.Millisecond
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
	// hostsPerSubnet is the number of hosts that share the third octet of their address.
	// It keeps the fourth octet below 255.
	hostsPerSubnet = 200
)

// Options describe the mesh that Start starts.
type Options struct {
	Deployment Deployment
	// AddressBlock is the second octet of all loopback addresses, 127.BLOCK.x.y. Meshes that run
	// at the same time need different blocks.
	AddressBlock byte
	// Dir is the directory for the settings files of the nodes.
	Dir string
	// Operators are the operators whose sign-off the nodes accept. If there are none, the
	// nodes accept any configuration in the store.
	Operators []bundle.Operator
	// UpstreamWorkTime is the time that an upstream spends on one request.
	UpstreamWorkTime time.Duration
	// RevokeMs makes the nodes revoke keys strictly within that many milliseconds. With 0 they do not.
	RevokeMs int
	// Partitions makes it possible to separate nodes with Isolate.
	Partitions bool
	// ExposeShare enables roll-outs of service versions in the settings of the nodes.
	ExposeShare float64
	// Log returns the writer for the log of a host's node. A nil function discards all
	// logs.
	Log func(h *Host) io.Writer
	// Bounds are further bounds in the settings of the nodes, by their names there.
	Bounds map[string]float64
}

// Mesh is a running mesh with its store and hosts.
type Mesh struct {
	Store *standin.Store
	// StoreAddress is the address of the store for operators.
	StoreAddress string
	Hosts        []*Host
	options      Options
	partition    partition
}

// Start starts the store and all hosts of a deployment. The nodes become ready once the
// store has a configuration in force.
func Start(o Options) (*Mesh, error) {
	m := &Mesh{Store: standin.NewStore(), options: o, partition: partition{groups: make(map[string]int)}}
	var err error
	if m.StoreAddress, err = m.Store.Listen(fmt.Sprintf("127.%d.0.1:%d", o.AddressBlock, storePort)); err != nil {
		return nil, err
	}
	for _, s := range o.Deployment.Services {
		for range s.HostCount {
			h, err := m.AddHost(s)
			if err == nil {
				err = h.Start()
			}
			if err != nil {
				m.Stop()
				return nil, err
			}
		}
	}
	return m, nil
}

// AddHost adds a host for a service and starts its upstream. The node does not run until
// Host.Start. Hosts are spread over the data centres in turn.
func (m *Mesh) AddHost(s Service) (*Host, error) {
	i := len(m.Hosts)
	dc := m.options.Deployment.DataCentres[i%len(m.options.Deployment.DataCentres)]
	h := &Host{
		Name: fmt.Sprintf("host-%d", i), DataCentre: dc, Service: s.Name, slots: s.Slots,
		IP:  fmt.Sprintf("127.%d.%d.%d", m.options.AddressBlock, 1+i/hostsPerSubnet, 1+i%hostsPerSubnet),
		dir: m.options.Dir, operators: m.options.Operators, log: io.Discard, GraceS: graceS, LinkMbps: linkMbps, Bounds: m.options.Bounds,
		revokeMs: m.options.RevokeMs, exposeShare: m.options.ExposeShare,
	}
	if m.options.Partitions {
		h.advertisedPort = relayPort
		if err := m.partition.relay(h); err != nil {
			return nil, err
		}
	}
	if m.options.Log != nil {
		h.log = m.options.Log(h)
	}
	var err error
	if h.StoreAddress, err = m.Store.Listen(fmt.Sprintf("%s:%d", h.IP, storePort)); err != nil {
		return nil, err
	}
	if h.Upstream, err = standin.NewUpstream(fmt.Sprintf("up-%d", i), s.Name, fmt.Sprintf("%s:%d", h.IP, upstreamPort), s.Slots); err != nil {
		return nil, err
	}
	if s.Version != "" {
		h.Upstream.Version = s.Version
	}
	h.Upstream.SetBehaviour(standin.Behaviour{Work: m.options.UpstreamWorkTime})
	m.Hosts = append(m.Hosts, h)
	return h, h.WriteSettings()
}

// Stop ends all nodes and upstreams and the store at once, without a graceful shutdown.
func (m *Mesh) Stop() {
	for _, h := range m.Hosts {
		h.StopHeartbeats()
		h.Kill()
		h.Upstream.Close()
	}
	m.partition.close()
	m.Store.Close()
}

// WaitReady waits until every node that was started is ready.
func (m *Mesh) WaitReady(ctx context.Context) error {
	return Wait(ctx, "all nodes are ready", func() bool {
		for _, h := range m.Hosts {
			if h.Node != nil && !h.IsReady(ctx) {
				return false
			}
		}
		return true
	})
}

// WaitUpstreamsReady waits until every node that was started sees the upstreams of all hosts as
// ready.
func (m *Mesh) WaitUpstreamsReady(ctx context.Context) error {
	return Wait(ctx, "all nodes see all upstreams as ready", func() bool {
		for _, h := range m.Hosts {
			if h.Node != nil && h.Node.Report().Hosts["ready"] != len(m.Hosts) {
				return false
			}
		}
		return true
	})
}

// Wait polls isTrue until it returns true. It returns ErrTimeout, wrapped with the name of
// the awaited state, if ctx ends first.
func Wait(ctx context.Context, state string, isTrue func() bool) error {
	for !isTrue() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", state, ErrTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// IsReady requests the readiness endpoint of the node, as the platform does.
func (h *Host) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ReadinessAddress()+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Package localmesh runs a mesh of nodes in one process on loopback, each with an
// address of its own, beside stand-ins of the platform's store and of upstreams.
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

// ErrTooSlow is returned when the mesh does not come into a state in time.
var ErrTooSlow = errors.New("localmesh: mesh is too slow")

const (
	// pollInterval is the time between two looks at a state.
	pollInterval = 10 * time.Millisecond
	// askTimeout bounds one readiness check.
	askTimeout = time.Second
	// hostsPerNet is how many hosts share the third number of their addresses.
	hostsPerNet = 200
)

// Options say what to start.
type Options struct {
	Deployment Deployment
	// Block is the second number of all loopback addresses, 127.BLOCK.x.y.
	Block byte
	// Dir takes the settings files.
	Dir string
	// Operators may sign off; without any the nodes trust the store.
	Operators []bundle.Operator
	// Work is the time that one request takes.
	Work time.Duration
	// Log returns where a host's node writes its log; nil discards it.
	Log func(h *Host) io.Writer
}

// Mesh is a running mesh.
type Mesh struct {
	Store *standin.Store
	// StoreAddress is where operators reach the store.
	StoreAddress string
	Hosts        []*Host
	options      Options
}

// Start starts a mesh. Nodes are ready once a configuration is in force.
func Start(o Options) (*Mesh, error) {
	m := &Mesh{Store: standin.NewStore(), options: o}
	var err error
	if m.StoreAddress, err = m.Store.Listen(fmt.Sprintf("127.%d.0.1:%d", o.Block, storePort)); err != nil {
		return nil, err
	}
	for _, s := range o.Deployment.Services {
		for range s.Count {
			h, err := m.Add(s)
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

// Add adds a host whose node does not run yet.
func (m *Mesh) Add(s Service) (*Host, error) {
	i := len(m.Hosts)
	dc := m.options.Deployment.DataCentres[i%len(m.options.Deployment.DataCentres)]
	h := &Host{
		Name: fmt.Sprintf("host-%d", i), DataCentre: dc, Service: s.Name, slots: s.Slots,
		IP:  fmt.Sprintf("127.%d.%d.%d", m.options.Block, 1+i/hostsPerNet, 1+i%hostsPerNet),
		dir: m.options.Dir, operators: m.options.Operators, log: io.Discard, GraceS: graceS,
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
	h.Upstream.SetBehaviour(standin.Behaviour{Work: m.options.Work})
	m.Hosts = append(m.Hosts, h)
	return h, h.WriteSettings()
}

// Stop ends every node, upstream and the store at once.
func (m *Mesh) Stop() {
	for _, h := range m.Hosts {
		h.StopBeating()
		h.Kill()
		h.Upstream.Close()
	}
	m.Store.Close()
}

// WaitReady waits until every node that runs is ready.
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

// WaitKnown waits until every node knows that all upstreams are ready.
func (m *Mesh) WaitKnown(ctx context.Context) error {
	return Wait(ctx, "all nodes know all hosts", func() bool {
		for _, h := range m.Hosts {
			if h.Node != nil && h.Node.Handover().Hosts["ready"] != len(m.Hosts) {
				return false
			}
		}
		return true
	})
}

// Wait waits until isTrue, or returns ErrTooSlow when ctx is done.
func Wait(ctx context.Context, what string, isTrue func() bool) error {
	for !isTrue() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ErrTooSlow)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// IsReady asks for the readiness of the node as the platform does.
func (h *Host) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Ready()+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

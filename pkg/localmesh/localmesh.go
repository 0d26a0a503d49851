package localmesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/node"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// Ports of every host; hosts differ by their loopback address.
const (
	meshPort     = 7100
	inboundPort  = 8080
	outboundPort = 8081
	adminPort    = 9090
	upstreamPort = 9000
	platformPort = 7000
	faultPort    = 7001
)

const (
	drainTimeout  = 20 * time.Second
	drainNotice   = 500 * time.Millisecond
	probeInterval = time.Second
	headerTimeout = 5 * time.Second
	platformCall  = 2 * time.Second
)

// Options say how to run a deployment.
type Options struct {
	Deployment Deployment
	// Block is the second number of the loopback addresses, 127.Block.x.y. Two
	// meshes that run at the same time need different blocks.
	Block byte
	// Keys holds the files that the nodes' settings point at.
	Keys Keys
	// Operators may sign off bundles.
	Operators []settings.Operator
	// LogWriter takes the nodes' logs.
	LogWriter io.Writer
	// LogLevel is the level of the nodes' logs.
	LogLevel string
	// Upstream describes the stand-in upstream of an instance; the address is
	// filled in.
	Upstream func(i Instance) upstream.Options
}

// Host is one host of a running mesh.
type Host struct {
	Instance Instance
	Settings settings.Settings
	Node     *node.Node
	Upstream *upstream.Server
}

// InboundURL returns the base URL for callers.
func (h *Host) InboundURL() string { return "http://" + h.Settings.Inbound.Address }

// AdminURL returns the base URL for operators.
func (h *Host) AdminURL() string { return "http://" + h.Settings.Admin.Address }

// Mesh is a running deployment.
type Mesh struct {
	options  Options
	Platform *standin.Server
	Hosts    []*Host
}

// Start runs the platform, the upstreams and the nodes, and returns when every
// node is up. On an error everything already started is stopped.
func Start(ctx context.Context, o Options) (*Mesh, error) {
	m := &Mesh{options: o}
	if err := m.start(ctx); err != nil {
		return nil, errors.Join(err, m.Stop(ctx))
	}
	return m, nil
}

func (m *Mesh) start(ctx context.Context) error {
	var err error
	m.Platform, err = standin.Start(standin.Config{
		Address:      m.address(0, 1, platformPort),
		FaultAddress: m.address(0, 1, faultPort),
		Reads:        standin.DefaultReads,
		Writes:       standin.DefaultWrites,
	})
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	for i, instance := range m.options.Deployment.Instances() {
		host := &Host{Instance: instance, Settings: m.settings(i, instance)}
		m.Hosts = append(m.Hosts, host)
	}
	var group errgroup.Group
	for _, host := range m.Hosts {
		group.Go(func() error { return m.StartHost(ctx, host) })
	}
	return group.Wait()
}

// StartHost starts the upstream and then the node of a host.
func (m *Mesh) StartHost(ctx context.Context, h *Host) error {
	if err := m.StartUpstream(h); err != nil {
		return err
	}
	return m.StartNode(ctx, h)
}

// StartUpstream starts the stand-in upstream of a host.
func (m *Mesh) StartUpstream(h *Host) error {
	o := m.options.Upstream(h.Instance)
	o.Address = h.Settings.Upstreams[0].Address
	up, err := upstream.Start(o)
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", h.Instance.Name, err)
	}
	h.Upstream = up
	return nil
}

// StartNode starts the node of a host.
func (m *Mesh) StartNode(ctx context.Context, h *Host) error {
	n, err := node.New(node.Options{Settings: h.Settings, LogWriter: m.options.LogWriter})
	if err != nil {
		return fmt.Errorf("make node %s: %w", h.Settings.Node.ID, err)
	}
	if err := n.Start(ctx); err != nil {
		return fmt.Errorf("start node %s: %w", h.Settings.Node.ID, err)
	}
	h.Node = n
	return nil
}

// StopNode stops the node of a host gracefully.
func (m *Mesh) StopNode(h *Host) error {
	if h.Node == nil {
		return nil
	}
	err := h.Node.Stop()
	h.Node = nil
	return err
}

// StopHost stops the node of a host gracefully and then its upstream.
func (m *Mesh) StopHost(h *Host) error {
	err := m.StopNode(h)
	if h.Upstream != nil {
		h.Upstream.Stop()
		h.Upstream = nil
	}
	return err
}

// Stop stops every host and the platform.
func (m *Mesh) Stop(ctx context.Context) error {
	var group errgroup.Group
	for _, host := range m.Hosts {
		group.Go(func() error { return m.StopHost(host) })
	}
	err := group.Wait()
	if m.Platform != nil {
		err = errors.Join(err, m.Platform.Stop(ctx))
	}
	return err
}

// WaitApplied waits until every running node has applied version v.
func (m *Mesh) WaitApplied(ctx context.Context, v model.Version) error {
	return m.wait(ctx, fmt.Sprintf("version %d", v), func(n *node.Node) bool {
		return n.Applied() >= v
	})
}

// WaitMembers waits until every running node knows all the others.
func (m *Mesh) WaitMembers(ctx context.Context) error {
	return m.wait(ctx, "the whole membership", func(n *node.Node) bool {
		return len(n.Members().View().Members) >= len(m.Hosts)
	})
}

func (m *Mesh) wait(ctx context.Context, what string, reached func(*node.Node) bool) error {
	const pollInterval = 5 * time.Millisecond
	for {
		behind := m.behind(reached)
		if behind == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s has not reached %s: %w", behind, what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (m *Mesh) behind(reached func(*node.Node) bool) model.NodeID {
	for _, h := range m.Hosts {
		if h.Node != nil && !reached(h.Node) {
			return h.Settings.Node.ID
		}
	}
	return ""
}

func (m *Mesh) settings(index int, i Instance) settings.Settings {
	dc := byte(1 + m.dataCentreIndex(i.DataCentre))
	host := byte(1 + index)
	id := nodeID(i)
	s := settings.Settings{
		Node:     settings.Node{ID: id, DataCentre: i.DataCentre, Region: m.options.Deployment.Region},
		Platform: settings.Platform{URL: m.Platform.URL(), Mesh: m.options.Deployment.Name, Timeout: bundle.Duration(platformCall)},
		Mesh: settings.Mesh{
			Address:       m.address(dc, host, meshPort),
			Contacts:      m.contacts(),
			ProbeInterval: bundle.Duration(probeInterval),
		},
		Inbound:   settings.Inbound{Address: m.address(dc, host, inboundPort), HeaderTimeout: bundle.Duration(headerTimeout)},
		Outbound:  settings.Outbound{Address: m.address(dc, host, outboundPort)},
		Admin:     settings.Admin{Address: m.address(dc, host, adminPort)},
		Operators: m.options.Operators,
		Log:       settings.Log{Level: m.options.LogLevel},
		Upstreams: []settings.Upstream{{
			Name:        i.Name,
			Service:     i.Service.Name,
			Address:     m.address(dc, host, upstreamPort),
			Slots:       i.Service.Slots,
			Connections: i.Service.Connections,
		}},
		Drain: settings.Drain{Timeout: bundle.Duration(drainTimeout), Notice: bundle.Duration(drainNotice)},
	}
	m.options.Keys.apply(&s.Mesh, id)
	return s
}

// contacts returns the mesh addresses of the first host of each data centre.
func (m *Mesh) contacts() []string {
	var list []string
	seen := make(map[model.DataCentre]bool)
	for index, i := range m.options.Deployment.Instances() {
		if seen[i.DataCentre] {
			continue
		}
		seen[i.DataCentre] = true
		dc := byte(1 + m.dataCentreIndex(i.DataCentre))
		list = append(list, m.address(dc, byte(1+index), meshPort))
	}
	return list
}

func (m *Mesh) dataCentreIndex(dc model.DataCentre) int {
	for i, name := range m.options.Deployment.DataCentres {
		if name == dc {
			return i
		}
	}
	return 0
}

// address returns 127.Block.network.host:port.
func (m *Mesh) address(network, host byte, port uint16) string {
	ip := netip.AddrFrom4([4]byte{127, m.options.Block, network, host})
	return netip.AddrPortFrom(ip, port).String()
}

// Package wire is the network transport between nodes: requests as CBOR over
// WebSocket with mutual TLS, and sealed datagrams over UDP on the same port.
//
// Connections are opened on demand, kept while they are used and closed after
// an idle time. Everything that arrives is bounded in size, number and time;
// what breaks a bound is refused, counted by reason and logged.
package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// Name is the name of the service.
const Name = "mesh"

const (
	dialTimeout   = 2 * time.Second
	headerTimeout = 3 * time.Second
	// messageTimeout bounds the time in which one message is sent or received.
	messageTimeout = 5 * time.Second
	// silentTimeout is the time without a reply after which a request that is not
	// answered ends its connection.
	silentTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * time.Second
	// idleCheck is the time between two looks for unused connections.
	idleCheck = 15 * time.Second
	// maxOutgoing bounds the connections that this node opened.
	maxOutgoing = 128
	// maxIncoming bounds the connections of peers.
	maxIncoming = 512
	// maxRequests bounds the requests of one peer that run at the same time.
	maxRequests = 64
	// maxRequestTime bounds a request whose sender gave no deadline.
	maxRequestTime = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// Errors of the transport's settings.
var (
	// ErrNoSecret: the secret file is empty.
	ErrNoSecret = errors.New("wire: secret file is empty")
	// ErrPlain: there are no certificates and the address is not loopback.
	ErrPlain = errors.New("wire: certificates are required off loopback")
)

// Options say how the transport works.
type Options struct {
	Settings settings.Mesh
	// Self is the id of this node; its address is that of the settings.
	Self     model.NodeID
	Log      *event.Log
	Registry *metric.Registry
}

// Transport is a mesh.Transport over the network.
type Transport struct {
	mesh.Handlers

	self        mesh.Peer
	log         *event.Log
	secret      []byte
	credentials *pki.Credentials
	metrics     *metrics
	counter     mesh.Counter

	connMu   sync.Mutex
	outgoing map[string]*stream
	incoming map[*incoming]struct{}
	stopped  bool
	dials    singleflight.Group

	server *http.Server
	udp    *net.UDPConn
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

var (
	_ mesh.Transport = (*Transport)(nil)
	_ mesh.Meter     = (*Transport)(nil)
	_ kernel.Service = (*Transport)(nil)
)

// New reads the secret and the certificates. Nothing is opened before Start.
func New(o Options) (*Transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self:     mesh.Peer{ID: o.Self, Addr: o.Settings.Address},
		log:      o.Log,
		metrics:  newMetrics(o.Registry),
		outgoing: make(map[string]*stream),
		incoming: make(map[*incoming]struct{}),
		ctx:      ctx,
		cancel:   cancel,
	}
	if err := t.readSecret(o.Settings.SecretFile); err != nil {
		return nil, err
	}
	if err := t.readCredentials(o.Settings); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Transport) readSecret(file string) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("wire: read secret: %w", err)
	}
	t.secret = bytes.TrimSpace(raw)
	if len(t.secret) == 0 {
		return fmt.Errorf("%q: %w", file, ErrNoSecret)
	}
	return nil
}

func (t *Transport) readCredentials(s settings.Mesh) error {
	if s.CertFile == "" && s.KeyFile == "" && s.CAFile == "" {
		addr, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return fmt.Errorf("wire: address %q: %w", s.Address, err)
		}
		if !addr.Addr().IsLoopback() {
			return fmt.Errorf("address %q: %w", s.Address, ErrPlain)
		}
		return nil
	}
	var err error
	t.credentials, err = pki.Load(pki.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, func(err error) {
		t.log.Emit(event.CertificateKept, event.F("error", err))
	})
	return err
}

// Name implements kernel.Service.
func (t *Transport) Name() string { return Name }

// Needs implements kernel.Service.
func (t *Transport) Needs() []string { return nil }

// Start opens the listeners for TCP and UDP.
func (t *Transport) Start(context.Context, *kernel.Kernel) error {
	ln, err := net.Listen("tcp", t.self.Addr)
	if err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	udpAddr, err := net.ResolveUDPAddr("udp", ln.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("wire: %w", err), ln.Close())
	}
	t.udp, err = net.ListenUDP("udp", udpAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("wire: %w", err), ln.Close())
	}
	t.self.Addr = ln.Addr().String()
	t.server = t.newServer()
	t.group.Go(func() { t.serve(ln) })
	t.group.Go(t.readDatagrams)
	t.group.Go(t.closeIdle)
	return nil
}

// Stop closes every listener and connection and waits for running handlers. A
// second call does nothing.
func (t *Transport) Stop(ctx context.Context) error {
	t.connMu.Lock()
	again := t.stopped
	t.stopped = true
	t.connMu.Unlock()
	if again {
		return nil
	}
	t.cancel()
	err := errors.Join(t.server.Close(), t.udp.Close())
	t.closeAll()
	done := make(chan struct{})
	go func() {
		t.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return errors.Join(err, ctx.Err())
	}
}

// Self returns the local peer.
func (t *Transport) Self() mesh.Peer { return t.self }

// Traffic returns the bytes of the encoded messages, by kind.
func (t *Transport) Traffic() mesh.Traffic { return t.counter.Traffic() }

// refuse counts and logs something that a peer sent and this node did not take.
func (t *Transport) refuse(r refusal, from string, err error) {
	t.metrics.refused.WithLabelValues(string(r)).Inc()
	if t.metrics.logLimit.Allow() {
		t.log.Emit(event.MeshRefused, event.F("reason", r), event.F("from", from), event.F("error", err))
	}
}

// refusalOf names the reason of a decoding error.
func refusalOf(err error) refusal {
	switch {
	case errors.Is(err, mesh.ErrTooLarge):
		return refusedTooLarge
	case errors.Is(err, codec.ErrSeal):
		return refusedSeal
	case errors.Is(err, codec.ErrVersion):
		return refusedVersion
	case errors.Is(err, mesh.ErrUnknownKind):
		return refusedKind
	}
	return refusedMalformed
}

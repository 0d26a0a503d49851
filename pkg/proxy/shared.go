package proxy

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// Options are the parts of the node that the proxy works with.
type Options struct {
	Settings settings.Settings
	Holder   *snapshot.Holder
	Log      *event.Log
	Registry *metric.Registry
	// Secret is shared by all nodes; when empty it is read from the settings'
	// secret file. Without a secret a node sends no calls to others and takes
	// none from them.
	Secret []byte
	// Needs names further services that must run before calls are taken, for
	// example "orders" and "poison". These two are used when they are registered.
	Needs []string
}

// New returns the two services that take calls.
func New(o Options) (*Inbound, *Outbound) {
	s := &shared{options: o, metrics: NewMetrics(o.Registry), rejected: rate.Sometimes{Interval: time.Second}}
	return &Inbound{shared: s}, &Outbound{shared: s}
}

// shared is what both services work with.
type shared struct {
	options Options
	metrics *Metrics
	// stopping is set once the node's upstreams are drained: calls from other
	// nodes are then refused. Callers are served until the listener is closed.
	stopping atomic.Bool

	// rejected bounds how often strangers can make the node log.
	rejected rate.Sometimes

	members   membership.Source
	upstreams upstream.Local
	receiver  *receiver
	forwarder *forwarder
	cancel    context.CancelFunc
	following sync.WaitGroup
}

// start looks up the other services and follows the membership.
func (s *shared) start(k *kernel.Kernel) error {
	var err error
	if s.members, err = kernel.Lookup[membership.Source](k, "membership"); err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	if s.upstreams, err = kernel.Lookup[upstream.Local](k, upstream.ServiceName); err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	token, err := s.token()
	if err != nil {
		return err
	}
	o := orders{}
	o.ledger, _ = kernel.Lookup[order.Ledger](k, "orders")
	s.receiver = &receiver{upstreams: s.upstreams, orders: o, metrics: s.metrics}
	s.receiver.guard, _ = kernel.Lookup[poison.Guard](k, "poison")
	s.forwarder = &forwarder{
		self:     s.options.Settings.Node.ID,
		token:    token,
		receiver: s.receiver,
		orders:   o,
		metrics:  s.metrics,
		log:      s.options.Log,
		pools:    make(map[string]*client.Pool),
	}
	s.forwarder.table = newTable(s.members, s.forwarder.prune)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.following.Go(func() { s.forwarder.table.follow(ctx) })
	return nil
}

func (s *shared) stop() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.following.Wait()
	s.forwarder.closePools()
}

// token derives the token of this mesh. It is empty without a secret.
func (s *shared) token() (Token, error) {
	secret := s.options.Secret
	if file := s.options.Settings.Mesh.SecretFile; len(secret) == 0 && file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return "", fmt.Errorf("proxy: read secret: %w", err)
		}
		secret = bytes.TrimSpace(raw)
	}
	if len(secret) == 0 {
		return "", nil
	}
	return NewToken(secret), nil
}

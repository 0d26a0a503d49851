package host

import (
	"errors"
	"fmt"
	"net"

	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
)

// listeners are the sockets on which a node accepts connections. All of them are bound before
// the node opens its first connection: the system could give that one of their ports.
type listeners struct {
	peers, outbound, ready, announce, metrics net.Listener
}

// open binds all sockets, or none.
func (l *listeners) open(s *hostconf.Settings) error {
	for _, b := range []struct {
		name    string
		address string
		to      *net.Listener
	}{
		{"nodes", s.PeerListener(), &l.peers},
		{"requests", s.Listen.Outbound, &l.outbound},
		{"readiness", s.Listen.Ready, &l.ready},
		{"heartbeats", s.Listen.Announce, &l.announce},
		{"metrics", s.MetricsAddress(), &l.metrics},
	} {
		bound, err := net.Listen("tcp", b.address)
		if err != nil {
			return errors.Join(fmt.Errorf("listener of %s: %w", b.name, err), l.close())
		}
		*b.to = bound
	}
	return nil
}

// close closes the sockets that are still open. The services that use them have closed theirs.
func (l *listeners) close() error {
	var errs []error
	for _, bound := range []net.Listener{l.peers, l.outbound, l.ready, l.announce, l.metrics} {
		if bound == nil {
			continue
		}
		if err := bound.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

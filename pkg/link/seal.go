package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// ErrStranger is returned for a connection to or from another node than it says.
var ErrStranger = errors.New("link: other side is another node")

// dialSealed returns a function that connects to the node whose certificate names
// the peer, and to no other.
func (p *Peer) dialSealed(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		sealed := &tls.Dialer{NetDialer: dialer, Config: p.self.Credentials.ClientConfig()}
		c, err := sealed.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t, ok := c.(*tls.Conn)
		if !ok {
			return nil, errors.Join(fmt.Errorf("connection to %s is %T: %w", address, c, ErrStranger), c.Close())
		}
		if err := certified(t.ConnectionState(), p.node); err != nil {
			return nil, errors.Join(err, c.Close())
		}
		return c, nil
	}
}

// certified returns an error unless the certificate of the other side names node.
func certified(state tls.ConnectionState, node string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("node %q shows no certificate: %w", node, ErrStranger)
	}
	named, err := pki.NodeID(state.PeerCertificates[0])
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStranger, err)
	}
	if named != node {
		return fmt.Errorf("certificate is of node %q, not of %q: %w", named, node, ErrStranger)
	}
	return nil
}

// allows returns a function that tells whether the other side of a sealed connection is
// still allowed, or nil for one that is not sealed.
func (i *Identity) allows(state *tls.ConnectionState) func() error {
	if i.Credentials == nil || state == nil {
		return nil
	}
	return func() error { return i.Credentials.Check(state) }
}

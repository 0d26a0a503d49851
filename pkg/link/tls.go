package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// ErrWrongNode is returned if the peer's certificate doesn't name the expected node.
var ErrWrongNode = errors.New("link: other side is another node")

// dialTLS returns a dial function for TLS. It fails unless the certificate of the node that
// answers names this peer.
func (p *Peer) dialTLS(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		tlsDialer := &tls.Dialer{NetDialer: dialer, Config: p.self.Credentials.ClientConfig()}
		c, err := tlsDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t, ok := c.(*tls.Conn)
		if !ok {
			return nil, errors.Join(fmt.Errorf("connection to %s is a %T, not a TLS connection: %w", address, c, ErrWrongNode), c.Close())
		}
		if err := verifyNode(t.ConnectionState(), p.node); err != nil {
			return nil, errors.Join(err, c.Close())
		}
		return c, nil
	}
}

// verifyNode returns an error unless the peer's certificate names node.
func verifyNode(state tls.ConnectionState, node string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("node %q shows no certificate: %w", node, ErrWrongNode)
	}
	named, err := pki.NodeID(state.PeerCertificates[0])
	if err != nil {
		return fmt.Errorf("%w: %w", ErrWrongNode, err)
	}
	if named != node {
		return fmt.Errorf("certificate is of node %q, not of %q: %w", named, node, ErrWrongNode)
	}
	return nil
}

// peerCheck returns a function that fails once the peer's certificate is revoked, or nil for
// a connection without TLS.
func (i *Identity) peerCheck(state *tls.ConnectionState) func() error {
	if i.Credentials == nil || state == nil {
		return nil
	}
	return func() error { return i.Credentials.CheckRevoked(state) }
}

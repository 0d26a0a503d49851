package link_test

import (
	"context"
	"errors"
	"math/big"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// credentials issues a certificate for a node and loads it.
func credentials(t *testing.T, ca *pki.Authority, node string) *pki.Credentials {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	cert, key, err := ca.IssueFiles(dir, node, time.Now(), time.Hour)
	is.NoErr(err)
	is.NoErr(ca.WriteFiles(dir+"/ca.crt", dir+"/ca.key"))
	c, err := pki.Load(pki.Files{Cert: cert, Key: key, CA: dir + "/ca.crt"}, func(err error) { t.Error(err) })
	is.NoErr(err)
	return c
}

// authority returns a new certificate authority.
func authority(t *testing.T) *pki.Authority {
	t.Helper()
	ca, err := pki.NewAuthority("test", time.Now(), time.Hour)
	is.New(t).NoErr(err)
	return ca
}

var noEvents = link.Events{Up: func(string) {}, Down: func(string, error) {}, StateUpdate: func(string, *link.StateUpdate, func(*link.StateUpdate) bool) {}}

// listenTLS starts a TLS server that answers every call, and returns its address.
func listenTLS(t *testing.T, self link.Identity) string {
	t.Helper()
	s := &link.Server{
		Self: self,
		Handle: func(context.Context, string, *link.Call) *link.Answer {
			return &link.Answer{Outcome: link.Ran, Status: 200}
		},
		Events: noEvents,
	}
	address := freeAddress(t)
	is.New(t).NoErr(s.Listen(address))
	t.Cleanup(func() { _ = s.Close() })
	return address
}

// With TLS, calls pass only between nodes whose certificates are signed by the trusted
// authority and name the expected nodes.
func TestOnlyCertifiedNodesConnect(t *testing.T) {
	trusted, untrusted := authority(t), authority(t)
	incarnation := func() int64 { return 1 }
	for name, tt := range map[string]struct {
		caller link.Identity
		target string
		ok     bool
	}{
		"certified":             {link.Identity{Node: "a", Incarnation: incarnation, Monitor: monitor, Credentials: credentials(t, trusted, "a")}, "b", true},
		"plain":                 {link.Identity{Node: "a", Incarnation: incarnation, Monitor: monitor}, "b", false},
		"of another authority":  {link.Identity{Node: "a", Incarnation: incarnation, Monitor: monitor, Credentials: credentials(t, untrusted, "a")}, "b", false},
		"with another's name":   {link.Identity{Node: "a", Incarnation: incarnation, Monitor: monitor, Credentials: credentials(t, trusted, "c")}, "b", false},
		"to another than it is": {link.Identity{Node: "a", Incarnation: incarnation, Monitor: monitor, Credentials: credentials(t, trusted, "a")}, "d", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := listenTLS(t, link.Identity{Node: "b", Incarnation: incarnation, Monitor: monitor, Credentials: credentials(t, trusted, "b")})
			p := link.NewPeer(tt.caller, tt.target, address, noEvents)
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			a, err := p.Call(ctx, &link.Call{RemainingMs: 1000}, 0)
			if !tt.ok {
				is.True(errors.Is(err, link.ErrNotSent))
				return
			}
			is.NoErr(err)
			is.Equal(a.Status, 200)
		})
	}
}

// After a certificate is revoked on either side, its open connection ends and no new one can
// be opened. Connections with other certificates stay open.
func TestWithdrawnCertificateConnectsNoMore(t *testing.T) {
	for name, revoker := range map[string]string{"at the called node": "b", "at the calling node": "a"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ca := authority(t)
			incarnation := func() int64 { return 1 }
			all := map[string]*pki.Credentials{"a": credentials(t, ca, "a"), "b": credentials(t, ca, "b"), "c": credentials(t, ca, "c")}
			address := listenTLS(t, link.Identity{Node: "b", Incarnation: incarnation, Monitor: monitor, Credentials: all["b"]})
			call := func(p *link.Peer) error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := p.Call(ctx, &link.Call{RemainingMs: 1000, Idempotent: true}, 0)
				return err
			}
			peer := func(node string) *link.Peer {
				p := link.NewPeer(link.Identity{Node: node, Incarnation: incarnation, Monitor: monitor, Credentials: all[node]}, "b", address, noEvents)
				t.Cleanup(p.Close)
				return p
			}
			a, c := peer("a"), peer("c")
			is.NoErr(call(a))
			is.NoErr(call(c))
			other := map[string]string{"a": "b", "b": "a"}[revoker]
			all[revoker].Revoke([]*big.Int{all[other].ClientConfig().Certificates[0].Leaf.SerialNumber})
			deadline := time.Now().Add(3 * time.Second)
			for call(a) == nil {
				is.True(time.Now().Before(deadline))
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond) // the peer dials again meanwhile
			is.True(call(a) != nil)
			is.NoErr(call(c))
		})
	}
}

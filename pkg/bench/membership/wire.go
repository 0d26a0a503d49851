package membershipbench

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/wire"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// keys holds the files of a mesh with TLS.
type keys struct {
	dir       string
	authority *pki.Authority
}

const validity = 24 * time.Hour

func newKeys() (*keys, error) {
	dir, err := os.MkdirTemp("", "membershipbench")
	if err != nil {
		return nil, fmt.Errorf("make directory for keys: %w", err)
	}
	a, err := pki.NewAuthority("membershipbench", time.Now(), validity)
	if err != nil {
		return nil, err
	}
	k := &keys{dir: dir, authority: a}
	if err := os.WriteFile(k.caFile(), a.CertificatePEM(), 0o600); err != nil {
		return nil, fmt.Errorf("write authority: %w", err)
	}
	if err := os.WriteFile(k.secretFile(), []byte("secret of the measurement"), 0o600); err != nil {
		return nil, fmt.Errorf("write secret: %w", err)
	}
	return k, nil
}

func (k *keys) caFile() string     { return filepath.Join(k.dir, "ca.crt") }
func (k *keys) secretFile() string { return filepath.Join(k.dir, "secret") }

func (k *keys) transport(self mesh.Peer) (mesh.Transport, func(), error) {
	cert, key, err := k.authority.IssueFiles(k.dir, self.ID, time.Now(), validity)
	if err != nil {
		return nil, nil, err
	}
	t, err := wire.New(wire.Options{
		Settings: settings.Mesh{
			Address: self.Addr, CertFile: cert, KeyFile: key, CAFile: k.caFile(), SecretFile: k.secretFile(),
		},
		Self:     self.ID,
		Log:      event.Discard(),
		Registry: metric.NewRegistry(),
	})
	if err != nil {
		return nil, nil, err
	}
	return t, func() { _ = t.Stop(context.Background()) }, nil
}

// freeAddrs returns loopback addresses that nothing listens on.
func freeAddrs(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = ln.Close() }() // all are held until the last is found
		addrs[i] = ln.Addr().String()
	}
	return addrs, nil
}

// measureWire measures a mesh over TLS on loopback, at rest and when a third of
// it is killed and returns.
func measureWire(o Options, nodes, centres int) (WireRow, error) {
	k, err := newKeys()
	if err != nil {
		return WireRow{}, err
	}
	defer func() { _ = os.RemoveAll(k.dir) }()
	addrs, err := freeAddrs(nodes)
	if err != nil {
		return WireRow{}, err
	}
	heap := heapBytes()
	c := gossiptest.New(gossiptest.Options{
		Nodes: nodes, DataCentres: centres, Seed: o.Seed,
		Transport: k.transport,
		Addr:      func(i int) string { return addrs[i] },
	})
	defer c.KillAll()
	if err := c.StartAll(); err != nil {
		return WireRow{}, err
	}
	if _, err := waitFor(c.Converged); err != nil {
		return WireRow{}, fmt.Errorf("start: %w", err)
	}
	row := WireRow{Rest: observe(c, o.Rest, heap, func() uint64 { return 0 })}
	row.Nodes, row.DataCentres = nodes, centres
	row.Return, err = killThird(c)
	return row, err
}

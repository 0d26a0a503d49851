package wire_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/wire"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

type text struct {
	Text string `cbor:"1,keyasint"`
}

// authority makes the files of one mesh.
type authority struct {
	dir string
	ca  *pki.Authority
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	ca, err := pki.NewAuthority("test", time.Now(), time.Hour)
	is.NoErr(err)
	a := &authority{dir: t.TempDir(), ca: ca}
	is.NoErr(os.WriteFile(a.file("ca.crt"), ca.CertificatePEM(), 0o600))
	is.NoErr(os.WriteFile(a.file("secret"), []byte("shared secret"), 0o600))
	return a
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) settings(t *testing.T, id model.NodeID) settings.Mesh {
	t.Helper()
	cert, key, err := a.ca.IssueFiles(a.dir, id, time.Now(), time.Hour)
	is.New(t).NoErr(err)
	return settings.Mesh{
		Address: "127.0.0.1:0", CertFile: cert, KeyFile: key, CAFile: a.file("ca.crt"), SecretFile: a.file("secret"),
	}
}

type node struct {
	*wire.Transport
	registry *metric.Registry
}

// start starts a node that echoes KindJoin requests.
func start(t *testing.T, id model.NodeID, s settings.Mesh) node {
	t.Helper()
	is := is.New(t)
	n := node{registry: prometheus.NewRegistry()}
	var err error
	n.Transport, err = wire.New(wire.Options{Settings: s, Self: id, Log: event.Discard(), Registry: n.registry})
	is.NoErr(err)
	n.Handle(mesh.KindJoin, func(_ context.Context, from mesh.Peer, body []byte) (any, error) {
		var m text
		if err := codec.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		return text{Text: m.Text + " from " + string(from.ID)}, nil
	})
	is.NoErr(n.Start(t.Context(), nil))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := n.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return n
}

// refused returns how often something was refused for a reason.
func (n node) refused(reason string) float64 {
	families, _ := n.registry.Gather()
	for _, f := range families {
		if strings.HasSuffix(f.GetName(), "mesh_refused_total") {
			return sum(f, reason)
		}
	}
	return 0
}

func sum(f *dto.MetricFamily, reason string) float64 {
	var total float64
	for _, m := range f.GetMetric() {
		if m.GetLabel()[0].GetValue() == reason {
			total += m.GetCounter().GetValue()
		}
	}
	return total
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func call(t *testing.T, from node, to mesh.Peer, kind mesh.Kind) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply text
	err := from.Call(ctx, to, kind, text{Text: "hello"}, &reply)
	return reply.Text, err
}

func TestCallOverTLS(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	n1, n2 := start(t, "n1", a.settings(t, "n1")), start(t, "n2", a.settings(t, "n2"))
	reply, err := call(t, n1, n2.Self(), mesh.KindJoin)
	is.NoErr(err)
	is.Equal(reply, "hello from n1") // the id comes from the certificate
	_, err = call(t, n1, mesh.Peer{Addr: n2.Self().Addr}, mesh.KindJoin)
	is.NoErr(err) // a contact is known by its address only

	_, err = call(t, n1, mesh.Peer{ID: "n3", Addr: n2.Self().Addr}, mesh.KindJoin)
	is.True(errors.Is(err, mesh.ErrUnreachable)) // another node has the address
	_, err = call(t, n1, n2.Self(), mesh.KindPush)
	is.True(errors.Is(err, mesh.ErrUnknownKind))
	is.Equal(n2.refused("unknown-kind"), 1.0)
}

func TestForeignCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	a, foreign := newAuthority(t), newAuthority(t)
	n1 := start(t, "n1", a.settings(t, "n1"))
	mixed := foreign.settings(t, "n2")
	mixed.CAFile = a.file("ca.crt") // trusts n1, but is not trusted by it
	n2 := start(t, "n2", mixed)
	_, err := call(t, n2, n1.Self(), mesh.KindJoin)
	is.True(err != nil)
	eventually(t, "counted", func() bool { return n1.refused("bad-certificate") > 0 })
	_, err = call(t, n1, n2.Self(), mesh.KindJoin)
	is.True(errors.Is(err, mesh.ErrUnreachable))
}

func TestPlainTextOnlyOnLoopback(t *testing.T) {
	is := is.New(t)
	_, err := wire.New(wire.Options{
		Settings: settings.Mesh{Address: "192.0.2.1:7400"}, Self: "n1", Log: event.Discard(), Registry: prometheus.NewRegistry(),
	})
	is.True(errors.Is(err, wire.ErrPlain))
	n1 := start(t, "n1", settings.Mesh{Address: "127.0.0.1:0"})
	n2 := start(t, "n2", settings.Mesh{Address: "127.0.0.1:0"})
	_, err = call(t, n1, n2.Self(), mesh.KindJoin)
	is.NoErr(err)
}

func TestDatagramsAreChecked(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	n1, n2 := start(t, "n1", a.settings(t, "n1")), start(t, "n2", a.settings(t, "n2"))
	got := make(chan mesh.Peer, 10)
	n2.HandleDatagram(mesh.KindPing, func(from mesh.Peer, _ []byte) { got <- from })
	is.NoErr(n1.Send(n2.Self(), mesh.KindPing, text{}))
	is.Equal(<-got, n1.Self())
	is.True(errors.Is(n1.Send(n2.Self(), mesh.KindPing, make([]byte, mesh.MaxDatagramBytes)), mesh.ErrTooLarge))

	conn, err := net.Dial("udp", n2.Self().Addr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	forged, err := codec.SealDatagram(&codec.Datagram{Kind: mesh.KindPing, From: "n1"}, []byte("guess"))
	is.NoErr(err)
	unknown, err := codec.SealDatagram(&codec.Datagram{Kind: 99, From: "n1"}, []byte("shared secret"))
	is.NoErr(err)
	for reason, data := range map[string][]byte{
		"bad-seal": forged, "malformed": []byte("x"), "too-large": make([]byte, mesh.MaxDatagramBytes+1), "unknown-kind": unknown,
	} {
		_, err := conn.Write(data)
		is.NoErr(err)
		eventually(t, reason, func() bool { return n2.refused(reason) == 1 })
	}
	is.Equal(len(got), 0)
}

// A peer that breaks a bound of the stream loses its connection, and others go on.
func TestStreamBoundsAreKept(t *testing.T) {
	is := is.New(t)
	n1, n2 := start(t, "n1", settings.Mesh{Address: "127.0.0.1:0"}), start(t, "n2", settings.Mesh{Address: "127.0.0.1:0"})
	for reason, data := range map[string][]byte{
		"malformed": []byte("not an envelope"), "too-large": make([]byte, mesh.MaxMessageBytes+1),
	} {
		conn, _, err := websocket.Dial(t.Context(), "ws://"+n2.Self().Addr+"/mesh/v1", &websocket.DialOptions{
			HTTPHeader: map[string][]string{"Tarragondrum-Node": {"n9"}},
		})
		is.NoErr(err)
		_ = conn.Write(t.Context(), websocket.MessageBinary, data) // the peer may close before the end
		_, _, err = conn.Read(t.Context())
		is.True(err != nil)
		eventually(t, reason, func() bool { return n2.refused(reason) == 1 })
	}
	_, err := call(t, n1, n2.Self(), mesh.KindJoin)
	is.NoErr(err)
}

// Requests over the bound of one connection are refused and not queued.
func TestRequestsInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	n1, n2 := start(t, "n1", settings.Mesh{Address: "127.0.0.1:0"}), start(t, "n2", settings.Mesh{Address: "127.0.0.1:0"})
	release := make(chan struct{})
	n2.Handle(mesh.KindPull, func(context.Context, mesh.Peer, []byte) (any, error) {
		<-release
		return text{}, nil
	})
	const requests = 100
	results := make(chan error, requests)
	for range requests {
		go func() {
			_, err := call(t, n1, n2.Self(), mesh.KindPull)
			results <- err
		}()
	}
	is.True(errors.Is(<-results, mesh.ErrBusy)) // the first ones to end are those refused
	close(release)
	var done int
	for range requests - 1 {
		if err := <-results; err == nil {
			done++
		}
	}
	is.True(done >= 64)
}

// A stopped peer is unreachable, and reachable again on the same address.
func TestPeerRestarts(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	n1, s := start(t, "n1", a.settings(t, "n1")), a.settings(t, "n2")
	n2 := start(t, "n2", s)
	_, err := call(t, n1, n2.Self(), mesh.KindJoin)
	is.NoErr(err)
	s.Address = n2.Self().Addr
	is.NoErr(n2.Stop(t.Context()))
	eventually(t, "unreachable", func() bool {
		_, err := call(t, n1, n2.Self(), mesh.KindJoin)
		return errors.Is(err, mesh.ErrUnreachable)
	})
	start(t, "n2", s)
	_, err = call(t, n1, n2.Self(), mesh.KindJoin)
	is.NoErr(err)
}

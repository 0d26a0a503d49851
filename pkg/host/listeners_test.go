package host_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// A node binds all its listeners before it opens its first connection, which could get the port
// of one of them otherwise.
func TestListenersAreBoundBeforeTheFirstConnection(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 0, localmesh.Options{}, func(*cluster) {})
	h, err := c.mesh.AddHost(localmesh.Service{Name: "desk", Slots: slots})
	is.NoErr(err)
	store, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unbound := make(chan []string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var free []string
		for _, address := range []string{h.OutboundAddress(), h.ReadinessAddress(), h.AnnounceAddress(), h.OperatorURL()[len("http://"):]} {
			if l, err := net.Listen("tcp", address); err == nil {
				_ = l.Close()
				free = append(free, address)
			}
		}
		select {
		case unbound <- free:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(store) }()
	t.Cleanup(func() { _ = server.Close() })
	h.StoreAddress = store.Addr().String()
	is.NoErr(h.WriteSettings())
	is.NoErr(h.Start())
	is.Equal(len(<-unbound), 0)
}

package host

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/platform"
)

// The names of the services of a node.
const (
	logName      = "log"
	storeName    = "store"
	peersName    = "peers"
	recordName   = "record"
	leadName     = "lead"
	janitorName  = "janitor"
	settingsName = "settings"
	requestsName = "requests"
	readyName    = "ready"
	announceName = "announce"
	metricsName  = "metrics"
)

// serviceStopTime bounds the stop of all services; what they wait for is in the
// process itself.
const serviceStopTime = 200 * time.Millisecond

// part is a service that opens something and closes it again.
type part struct {
	name  string
	needs []string
	open  func() error
	close func(ctx context.Context) error
}

// Name implements kernel.Service.
func (p *part) Name() string { return p.name }

// Needs implements kernel.Service.
func (p *part) Needs() []string { return p.needs }

// Start implements kernel.Service.
func (p *part) Start(context.Context, *kernel.Kernel) error { return p.open() }

// Stop implements kernel.Service.
func (p *part) Stop(ctx context.Context) error { return p.close(ctx) }

// loopPause follows an unexpected error of a background loop, so that it does not spin.
const loopPause = time.Second

// loop returns a service that runs in the background until it is stopped. It begins
// anew after an unexpected error.
func (n *Node) loop(name string, run func(ctx context.Context), needs ...string) *part {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return &part{
		name: name, needs: needs,
		open: func() error {
			go func() {
				defer close(done)
				n.lead.guarded(ctx, "loop "+name, run)
			}()
			return nil
		},
		close: func(limit context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-limit.Done():
				return fmt.Errorf("service %q still runs: %w", name, limit.Err())
			}
		},
	}
}

// listener returns a service that serves an address.
func listener(name string, open func() (*httpserver.Server, error), needs ...string) *part {
	var s *httpserver.Server
	return &part{
		name: name, needs: needs,
		open: func() (err error) {
			s, err = open()
			return err
		},
		close: func(ctx context.Context) error { return s.Stop(ctx) },
	}
}

// services returns all services of the node.
func (n *Node) services() []kernel.Service {
	s := n.settings.Load()
	return []kernel.Service{
		&part{name: logName, open: func() error { return nil }, close: func(ctx context.Context) error { return n.output.Close(ctx) }},
		&part{name: storeName, needs: []string{logName}, open: func() error { return nil }, close: func(context.Context) error {
			n.store().Close()
			return nil
		}},
		&part{name: peersName, needs: []string{storeName}, open: func() error { return n.peers.listen(s.PeerListener()) }, close: func(context.Context) error {
			n.peers.close()
			return n.peers.server.Close()
		}},
		n.loop(recordName, n.record.keep, peersName),
		n.loop(leadName, n.lead.run, recordName),
		n.loop(janitorName, n.janitor, leadName),
		n.loop(settingsName, n.watchSettings, storeName),
		n.loop(logName+".dropped", n.reportDropped, logName),
		&part{name: requestsName, needs: []string{leadName}, open: func() error { return n.outbound.Listen(s.Listen.Outbound) }, close: func(context.Context) error {
			return n.outbound.Close()
		}},
		listener(readyName, func() (*httpserver.Server, error) { return platform.ServeReady(s.Listen.Ready, n.record) }, requestsName),
		listener(announceName, func() (*httpserver.Server, error) {
			return platform.ServeBeats(s.Listen.Announce, s.Upstream.Service, n.record)
		}, leadName),
		listener(metricsName, func() (*httpserver.Server, error) { return n.serveMetrics(s.MetricsAddress()) }, logName),
	}
}

// Start opens the listeners and begins to follow the store.
func (n *Node) Start() error {
	s := n.settings.Load()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Node.MemoryMB) * (1 << 20)))
	if err := n.kernel.Start(context.Background(), serviceStopTime); err != nil {
		return err
	}
	n.listening.Store(true)
	n.log.Emit(event.ProcessStarted, event.F("dataCentre", s.Node.DataCentre), event.F("service", s.Upstream.Service),
		event.F("outbound", s.Listen.Outbound), event.F("peers", s.PeerAddress()), event.F("incarnation", n.record.incarnation()))
	return nil
}

func (n *Node) serveMetrics(address string) (*httpserver.Server, error) {
	handler := promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
	s, err := httpserver.Start(address, func(h *server.Hertz) {
		h.GET("/metrics", adaptor.HertzHandler(handler))
		n.serveHandover(h)
		n.serveProfiles(h)
	})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return s, nil
}

// The paths of profiles, as Go's tools ask for them.
const (
	profilePath = "/debug/pprof/profile"
	heapPath    = "/debug/pprof/heap"
)

// serveProfiles adds profiles of the process to a server. They are there only while the
// settings say so, as each costs processor time.
func (n *Node) serveProfiles(h *server.Hertz) {
	guarded := func(handler http.Handler) app.HandlerFunc {
		serve := adaptor.HertzHandler(handler)
		return func(ctx context.Context, rc *app.RequestContext) {
			if !n.settings.Load().Listen.Profiles {
				rc.NotFound()
				return
			}
			n.log.Emit(event.ProfileTaken, event.F("path", string(rc.Path())), event.F("from", rc.RemoteAddr().String()))
			serve(ctx, rc)
		}
	}
	h.GET(profilePath, guarded(http.HandlerFunc(pprof.Profile)))
	h.GET(heapPath, guarded(pprof.Handler("heap")))
}

// reportDropped reports the log lines that were dropped.
func (n *Node) reportDropped(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, janitorInterval)
		if dropped := n.output.Dropped(); dropped > 0 {
			n.log.Emit(event.LogLinesDropped, event.F("lines", dropped))
		}
	}
}

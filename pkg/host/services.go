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

	"github.com/tarragondrum/tarragondrum/pkg/buildinfo"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/platform"
)

// Names of the services of a node.
const (
	logName      = "log"
	storeName    = "store"
	peersName    = "peers"
	recordName   = "record"
	leadName     = "lead"
	cleanupName  = "janitor"
	settingsName = "settings"
	requestsName = "requests"
	readyName    = "ready"
	announceName = "announce"
	metricsName  = "metrics"
	currencyName = "currency"
	quotaName    = "quota"
	// listenersName is the service that binds the sockets of all others.
	listenersName = "listeners"
)

// serviceStopTime bounds the stop of all services; none of them waits for anything outside
// the process.
const serviceStopTime = 200 * time.Millisecond

// funcService is a kernel service made of an open and a close function.
type funcService struct {
	name  string
	needs []string
	open  func() error
	close func(ctx context.Context) error
}

// Name implements kernel.Service.
func (p *funcService) Name() string { return p.name }

// Needs implements kernel.Service.
func (p *funcService) Needs() []string { return p.needs }

// Start implements kernel.Service.
func (p *funcService) Start(context.Context, *kernel.Kernel) error { return p.open() }

// Stop implements kernel.Service.
func (p *funcService) Stop(ctx context.Context) error { return p.close(ctx) }

// loopRestartDelay is the pause after a panic of a background loop, so that it does not
// spin.
const loopRestartDelay = time.Second

// loopService returns a service that runs a function in the background until it is stopped.
// The function is restarted after a panic.
func (n *Node) loopService(name string, run func(ctx context.Context), needs ...string) *funcService {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return &funcService{
		name: name, needs: needs,
		open: func() error {
			go func() {
				defer close(done)
				n.lead.runGuarded(ctx, "loop "+name, run)
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

// listenerService returns a service that opens and stops an HTTP server.
func listenerService(name string, open func() (*httpserver.Server, error), needs ...string) *funcService {
	var s *httpserver.Server
	return &funcService{
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
	return append(n.rolloutServices(), []kernel.Service{
		&funcService{name: logName, open: func() error { return nil }, close: func(ctx context.Context) error { return n.output.Close(ctx) }},
		&funcService{name: storeName, needs: []string{logName}, open: func() error { return nil }, close: func(context.Context) error {
			n.store().Close()
			return nil
		}},
		&funcService{name: listenersName, needs: []string{logName}, open: func() error { return n.listeners.open(s) }, close: func(context.Context) error {
			return n.listeners.close()
		}},
		&funcService{name: peersName, needs: []string{storeName, listenersName}, open: func() error {
			n.peers.serve(n.listeners.peers)
			return nil
		}, close: func(context.Context) error {
			n.peers.close()
			return n.peers.server.Close()
		}},
		n.loopService(recordName, n.record.saveLoop, peersName),
		n.loopService(leadName, n.lead.run, recordName),
		n.loopService(cleanupName, n.removeUnreachable, leadName),
		n.loopService(currencyName, n.currency.watch, leadName),
		n.loopService(quotaName, n.quotas.run, leadName),
		n.loopService(settingsName, n.watchSettings, storeName),
		n.loopService(logName+".dropped", n.reportDropped, logName),
		&funcService{name: requestsName, needs: []string{leadName}, open: func() error {
			n.outbound.Serve(n.listeners.outbound)
			return nil
		}, close: func(context.Context) error {
			return n.closeRequests()
		}},
		listenerService(readyName, func() (*httpserver.Server, error) {
			return platform.ServeReady(n.listeners.ready, n.controlBounds(readinessListener), n.record)
		}, requestsName),
		listenerService(announceName, func() (*httpserver.Server, error) {
			return platform.ServeHeartbeats(n.listeners.announce, n.controlBounds(heartbeatsListener), platform.LocalUpstream{Service: s.Upstream.Service, Address: s.Upstream.Address}, n.record)
		}, leadName),
		listenerService(metricsName, n.serveMetrics, listenersName),
	}...)
}

// closeRequests closes the connections of callers and logs how many requests that cuts.
func (n *Node) closeRequests() error {
	if cut := n.outbound.Pending(); cut > 0 {
		n.log.Emit(event.RequestsCut, event.F("requests", cut), event.F("newestAgeMs", time.Since(n.outbound.LastRead()).Milliseconds()))
	}
	return n.outbound.Close()
}

// Start opens the listeners and starts the background loops.
func (n *Node) Start() error {
	s := n.settings.Load()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.Node.MemoryMB) * (1 << 20)))
	if err := n.kernel.Start(context.Background(), serviceStopTime); err != nil {
		return err
	}
	n.listening.Store(true)
	build := buildinfo.Read()
	n.log.Emit(event.ProcessStarted, event.F("version", build.Version), event.F("build", build.Revision), event.F("dataCentre", s.Node.DataCentre), event.F("service", s.Upstream.Service),
		event.F("outbound", s.Listen.Outbound), event.F("peers", s.PeerAddress()), event.F("incarnation", n.record.incarnation()))
	return nil
}

// maxScrapes bounds the requests for metrics that are answered at once, each of which collects
// all metrics. Further ones are answered with 503 before their headers are converted, which
// takes several times the size of a header with many fields.
const maxScrapes = 4

// limitScrapes returns a handler that answers at most maxScrapes requests at once.
func (n *Node) limitScrapes(serve app.HandlerFunc) app.HandlerFunc {
	free := make(chan struct{}, maxScrapes)
	return func(ctx context.Context, rc *app.RequestContext) {
		select {
		case free <- struct{}{}:
		default:
			n.observer.refuseCaller(metricsListener, reasonScrapes)
			rc.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-free }()
		serve(ctx, rc)
	}
}

func (n *Node) serveMetrics() (*httpserver.Server, error) {
	handler := promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
	s, err := httpserver.Serve(n.listeners.metrics, n.controlBounds(metricsListener), func(h *server.Hertz) {
		h.GET("/metrics", n.limitScrapes(adaptor.HertzHandler(handler)))
		n.serveHandover(h)
		n.serveProfiles(h)
	})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return s, nil
}

// Paths of the profiles, as go tool pprof requests them.
const (
	profilePath = "/debug/pprof/profile"
	heapPath    = "/debug/pprof/heap"
)

// serveProfiles adds pprof endpoints to a server. They answer only while the settings
// enable them, since each profile costs processor time.
func (n *Node) serveProfiles(h *server.Hertz) {
	guarded := func(handler http.Handler) app.HandlerFunc {
		serve := adaptor.HertzHandler(handler)
		return func(ctx context.Context, rc *app.RequestContext) {
			if !n.settings.Load().Listen.Profiles {
				rc.NotFound()
				return
			}
			n.log.Emit(event.ProfileRequested, event.F("path", string(rc.Path())), event.F("from", rc.RemoteAddr().String()))
			serve(ctx, rc)
		}
	}
	h.GET(profilePath, guarded(http.HandlerFunc(pprof.Profile)))
	h.GET(heapPath, guarded(pprof.Handler("heap")))
}

// reportDropped logs the number of dropped log lines.
func (n *Node) reportDropped(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cleanupInterval)
		if dropped := n.output.Dropped(); dropped > 0 {
			n.log.Emit(event.LogLinesDropped, event.F("lines", dropped))
		}
	}
}

package host

import (
	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
)

// Names of the listeners for callers and other nodes, as labels of a counter.
const (
	requestsListener   = "requests"
	readinessListener  = "readiness"
	heartbeatsListener = "heartbeats"
	metricsListener    = "metrics"
	nodesListener      = "nodes"
)

// reasonScrapes: maxScrapes requests for metrics were being answered.
const reasonScrapes = "scrapes"

// reasonCallMemory: a call of another node did not fit into the memory for requests.
const reasonCallMemory = "call-memory"

// newOutbound returns the server for the requests of callers, with the bounds of the settings.
func (n *Node) newOutbound(s *hostconf.Settings) *h1.Server {
	limits := s.Effective()
	return &h1.Server{
		Handle: n.dispatch.Handle,
		Refuse: func(status int, err error) *h1.Response {
			if n.observer.allow(n.observer.failures) {
				n.log.Emit(event.RequestUnreadable, event.F("status", status), event.F("error", err))
			}
			return dispatch.UnreadableRequest(status, err)
		},
		PanicResponse: func() *h1.Response { return dispatch.InternalError() },
		ReportPanic:   n.panicked,
		Limits:        n.limits,
		Bounds: h1.Bounds{
			Connections: limits.Connections, ConnectionsPerAddress: limits.ConnectionsPerAddress, RequestsAhead: limits.RequestsAhead,
			BodyBytesPerS: limits.BodyBytesPerS, BodyStall: limits.BodyStall(), AnswerStall: limits.AnswerStall(),
			OnRefuse: func(reason string) { n.observer.refuseCaller(requestsListener, reason) },
		},
		Memory:       n.bodies,
		AnswerMemory: n.answers,
		Uplink:       n.uplink,
	}
}

// controlBounds returns the bounds of a listener that is not for requests.
func (n *Node) controlBounds(listener string) httpserver.Bounds {
	limits := n.settings.Load().Effective()
	return httpserver.Bounds{
		Connections: limits.ControlConnections, RequestTime: limits.ControlRequest(),
		OnRefuse: func(reason string) { n.observer.refuseCaller(listener, reason) },
	}
}

// refuseCaller counts a connection or request of a caller that is refused or closed.
func (o *observer) refuseCaller(listener, reason string) {
	o.callersRefused.WithLabelValues(listener, reason).Inc()
}

package host

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

// nestedObserver counts the calls that requests make while they run at the upstream of this
// host.
type nestedObserver struct {
	log   *event.Log
	calls *prometheus.CounterVec
	over  prometheus.Counter
}

func newNestedObserver(r *metric.Registry, log *event.Log) *nestedObserver {
	return &nestedObserver{
		log:   log,
		calls: metric.Counter(r, "nested_calls_total", "Final answers to calls of requests that run at the upstream of this host, by outcome and reason.", "outcome", "reason"),
		over:  metric.Counter(r, "nested_calls_excess_total", "Calls of running requests beyond the number that goes before new requests.").WithLabelValues(),
	}
}

// finished counts the final answer to a nested call.
func (o *nestedObserver) finished(r *dispatch.Record) {
	if r.Nested {
		o.calls.WithLabelValues(string(r.Outcome), r.Reason).Inc()
	}
}

// excess counts a call beyond the limit of its parent, and logs the first one of each parent.
func (o *nestedObserver) excess(parentID string, calls int, first bool) {
	o.over.Inc()
	if first {
		o.log.Emit(event.NestedCallsExceeded, event.F("request", parentID), event.F("calls", calls))
	}
}

// overloaded logs that the node starts to refuse requests of a route because their calls to a
// service fail, or stops with a share of 0.
func (o *nestedObserver) overloaded(route, service string, share float64) {
	if share == 0 {
		o.log.Emit(event.CallsRecovered, event.F("route", route))
		return
	}
	o.log.Emit(event.CallsOverloaded, event.F("route", route), event.F("service", service), event.F("share", math.Round(100*share)/100))
}

package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// side tells on which node of a call something was counted.
type side string

const (
	// sideFirst is the node that took the call from its caller.
	sideFirst side = "first"
	// sideUpstream is the node of the chosen upstream.
	sideUpstream side = "upstream"
)

// Metrics are the counters and histograms of calls. Inbound and outbound share them.
type Metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	denied   *prometheus.CounterVec
	ejected  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	// hopsRejected counts hop headers without a valid token.
	hopsRejected *prometheus.CounterVec
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// NewMetrics registers the metrics of calls.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		answers:      metric.Counter(r, "call_answers_total", "Answers of upstreams that were passed on.", "class", "status"),
		refusals:     metric.Counter(r, "call_refusals_total", "Calls that were refused or failed, by reason and effect.", "side", "class", "reason", "effect"),
		retries:      metric.Counter(r, "call_retries_total", "Calls that were tried again, by the reason of the failed try.", "class", "reason"),
		denied:       metric.Counter(r, "call_retries_denied_total", "Retries that the service's budget did not allow.", "class", "reason"),
		ejected:      metric.Counter(r, "endpoint_ejections_total", "Ejections of upstreams by outcome.", "service"),
		hopsRejected: metric.Counter(r, "call_hops_rejected_total", "Hop headers without a valid token, which were ignored."),
		latency:      metric.Histogram(r, "call_seconds", "Time from a call's arrival to its answer.", latencyBuckets, "side", "class"),
	}
}

func (m *Metrics) refused(s side, c model.Class, r reason.Reason, e reason.Effect) {
	m.refusals.WithLabelValues(string(s), string(c), string(r), string(e)).Inc()
}

func (m *Metrics) answered(c model.Class, status int) {
	m.answers.WithLabelValues(string(c), statusClass(status)).Inc()
}

func (m *Metrics) took(s side, c model.Class, d time.Duration) {
	m.latency.WithLabelValues(string(s), string(c)).Observe(d.Seconds())
}

func statusClass(status int) string {
	classes := [...]string{"1xx", "2xx", "3xx", "4xx", "5xx"}
	if i := status/100 - 1; i >= 0 && i < len(classes) {
		return classes[i]
	}
	return "other"
}

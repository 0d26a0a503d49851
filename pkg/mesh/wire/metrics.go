package wire

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

// refusal is the reason for which something from a peer was not taken.
type refusal string

const (
	refusedMalformed   refusal = "malformed"
	refusedTooLarge    refusal = "too-large"
	refusedSeal        refusal = "bad-seal"
	refusedVersion     refusal = "unknown-version"
	refusedKind        refusal = "unknown-kind"
	refusedCertificate refusal = "bad-certificate"
	refusedBusy        refusal = "busy"
	refusedConnections refusal = "too-many-connections"
	refusedSlow        refusal = "slow-sender"
)

// maxRefusalLogs bounds the refusals that are logged per second.
const maxRefusalLogs = 1

// metrics counts what the transport does.
type metrics struct {
	refused  *prometheus.CounterVec
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
	dials    *prometheus.CounterVec
	logLimit *rate.Limiter
}

func newMetrics(r *metric.Registry) *metrics {
	return &metrics{
		refused:  metric.Counter(r, "mesh_refused_total", "Messages and connections of peers that were refused.", "reason"),
		sent:     metric.Counter(r, "mesh_sent_bytes_total", "Bytes of messages sent to peers.", "kind"),
		received: metric.Counter(r, "mesh_received_bytes_total", "Bytes of messages received from peers.", "kind"),
		dials:    metric.Counter(r, "mesh_dials_total", "Connections opened to peers.", "result"),
		logLimit: rate.NewLimiter(maxRefusalLogs, maxRefusalLogs),
	}
}

func (t *Transport) countSent(kind mesh.Kind, bytes int) {
	t.counter.Sent(kind, bytes)
	t.metrics.sent.WithLabelValues(strconv.Itoa(int(kind))).Add(float64(bytes))
}

func (t *Transport) countReceived(kind mesh.Kind, bytes int) {
	t.counter.Received(kind, bytes)
	t.metrics.received.WithLabelValues(strconv.Itoa(int(kind))).Add(float64(bytes))
}

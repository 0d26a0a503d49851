package host

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// maxBodyLines bounds the log lines of bodies that were not received, per second.
const maxBodyLines = 20

// bodyObserver counts the large bodies that this host requests from other nodes.
type bodyObserver struct {
	log     *event.Log
	lines   *rate.Limiter
	skipped prometheus.Counter
	ended   *prometheus.CounterVec
	bytes   prometheus.Counter
	seconds prometheus.Observer
}

func newBodyObserver(r *metric.Registry, log *event.Log, skipped prometheus.Counter) *bodyObserver {
	return &bodyObserver{
		log: log, lines: rate.NewLimiter(maxBodyLines, maxBodyLines), skipped: skipped,
		ended:   metric.Counter(r, "bodies_total", "Large bodies that were requested from other nodes, by outcome: received, stalled, no-memory or cancelled.", "outcome"),
		bytes:   metric.Counter(r, "bodies_received_bytes_total", "Bytes of the large bodies that were received completely from other nodes.").WithLabelValues(),
		seconds: metric.Histogram(r, "body_seconds", "Time from the first request for a large body until it was complete.", latencyBuckets).WithLabelValues(),
	}
}

// watch registers gauges of the memory of bodies and of the wait for the inbound link.
func (o *bodyObserver) watch(r *metric.Registry, bodies *memory.Budget, downlink *pace.Downlink) {
	metric.Gauge(r, "caller_bytes", "Bytes of request bodies, headers and unanswered requests that are held.", func() float64 { return float64(bodies.Used()) })
	metric.Gauge(r, "downlink_wait_seconds", "Time that a new large body of a request waits for the host's inbound link.", func() float64 { return downlink.Backlog().Seconds() })
}

// received records the end of a requested body.
func (o *bodyObserver) received(bytes int, took time.Duration, err error) {
	switch {
	case err == nil:
		o.ended.WithLabelValues("received").Inc()
		o.bytes.Add(float64(bytes))
		o.seconds.Observe(took.Seconds())
		return
	case errors.Is(err, link.ErrBodyStalled):
		o.ended.WithLabelValues("stalled").Inc()
	case errors.Is(err, link.ErrNoBodyMemory):
		o.ended.WithLabelValues("no-memory").Inc()
	default:
		o.ended.WithLabelValues("cancelled").Inc()
		return
	}
	if !o.lines.Allow() {
		o.skipped.Inc()
		return
	}
	o.log.Emit(event.BodyNotReceived, event.F("bytes", bytes), event.F("tookMs", took.Milliseconds()), event.F("error", err))
}

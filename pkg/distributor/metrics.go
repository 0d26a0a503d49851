package distributor

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

// metrics holds the collectors of the roll-out.
type metrics struct {
	applied     prometheus.Counter
	version     prometheus.Gauge
	refusals    *prometheus.CounterVec
	ignored     *prometheus.CounterVec
	retries     *prometheus.CounterVec
	transitions *prometheus.CounterVec
	invariants  *prometheus.CounterVec
	platform    *prometheus.CounterVec
	updates     *prometheus.CounterVec
	usage       usage
}

func newMetrics(r *metric.Registry) *metrics {
	return &metrics{
		applied:     metric.Counter(r, "rollout_applied_total", "Versions put in force.").WithLabelValues(),
		version:     metric.Gauge(r, "rollout_version", "Version in force on this node.").WithLabelValues(),
		refusals:    metric.Counter(r, "rollout_refusals_total", "Versions refused whole, by reason.", "reason"),
		ignored:     metric.Counter(r, "rollout_ignored_total", "Updates that did not fit the version in force, by reason.", "reason"),
		retries:     metric.Counter(r, "rollout_retries_total", "Roll-out messages and calls tried again, by reason.", "reason"),
		transitions: metric.Counter(r, "rollout_transitions_total", "State changes of applications, by new state.", "to"),
		invariants:  metric.Counter(r, "rollout_invariant_violations_total", "Violated invariants; each one is a defect.", "invariant"),
		platform:    metric.Counter(r, "rollout_platform_calls_total", "Calls of the roll-out to the platform, by call.", "call"),
		updates:     metric.Counter(r, "rollout_update_bytes_total", "Bytes of encoded updates received from peers, by use.", "use"),
	}
}

// What received updates were good for.
const (
	// usePush: a push brought the update to a node that lacked it.
	usePush = "push"
	// useRepair: a pull brought it, or a push to a node that had it already.
	useRepair = "repair"
)

// usage counts the bytes of encoded updates that this node received.
type usage struct {
	push   atomic.Uint64
	repair atomic.Uint64
}

func (m *metrics) countUpdate(use string, bytes int) {
	m.updates.WithLabelValues(use).Add(float64(bytes))
	if use == usePush {
		m.usage.push.Add(uint64(bytes))
		return
	}
	m.usage.repair.Add(uint64(bytes))
}

// Usage is the number of bytes of encoded updates that a node has received.
type Usage struct {
	// Push were brought by pushes and needed.
	Push uint64
	// Repair were brought by pulls, or by pushes that were not needed.
	Repair uint64
}

// Usage returns the bytes of updates received since the start.
func (s *Service) Usage() Usage {
	return Usage{Push: s.metrics.usage.push.Load(), Repair: s.metrics.usage.repair.Load()}
}

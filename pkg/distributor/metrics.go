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
	sent        *prometheus.CounterVec
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
		sent:        metric.Counter(r, "rollout_update_bytes_total", "Bytes of encoded updates sent to peers, by purpose.", "purpose"),
	}
}

// Purposes of sent updates.
const (
	purposePush   = "push"
	purposeRepair = "repair"
)

// usage counts the encoded updates that this node sent.
type usage struct {
	pushBytes   atomic.Uint64
	repairBytes atomic.Uint64
}

func (m *metrics) countUpdate(purpose string, bytes int) {
	m.sent.WithLabelValues(purpose).Add(float64(bytes))
	if purpose == purposePush {
		m.usage.pushBytes.Add(uint64(bytes))
		return
	}
	m.usage.repairBytes.Add(uint64(bytes))
}

// Usage is the number of bytes of encoded updates that a node has sent.
type Usage struct {
	// PushBytes were sent on the first try of a push.
	PushBytes uint64
	// RepairBytes were sent again, or in answer to a pull.
	RepairBytes uint64
}

// Usage returns the bytes of updates sent since the start.
func (s *Service) Usage() Usage {
	return Usage{
		PushBytes:   s.metrics.usage.pushBytes.Load(),
		RepairBytes: s.metrics.usage.repairBytes.Load(),
	}
}

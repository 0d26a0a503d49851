package ledger

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

type metrics struct {
	decisions *prometheus.CounterVec
	writes    *prometheus.CounterVec
	handOvers *prometheus.CounterVec
}

func newMetrics(r *metric.Registry, s *Service) metrics {
	records := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metric.Namespace,
		Name:      "order_records",
		Help:      "Orders that this node remembers.",
	}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.usage.Records)
	})
	r.MustRegister(records)
	return metrics{
		decisions: metric.Counter(r, "order_decisions_total", "Decisions on orders by verdict and reason.", "verdict", "reason"),
		writes:    metric.Counter(r, "order_platform_writes_total", "Writes of order owners and claims to the platform by outcome.", "object", "outcome"),
		handOvers: metric.Counter(r, "order_hand_overs_total", "Hand-overs of a stopping node by outcome.", "outcome"),
	}
}

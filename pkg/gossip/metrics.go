package gossip

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

type metrics struct {
	members     *prometheus.GaugeVec
	transitions *prometheus.CounterVec
	probes      *prometheus.CounterVec
	exchanges   *prometheus.CounterVec
	updates     *prometheus.CounterVec
	joins       *prometheus.CounterVec
	refused     *prometheus.CounterVec
	refutations prometheus.Counter
}

func newMetrics(r *metric.Registry) *metrics {
	return &metrics{
		members:     metric.Gauge(r, "membership_members", "Members by what this node believes of them.", "status"),
		transitions: metric.Counter(r, "membership_transitions_total", "Changes of a member's status.", "from", "to"),
		probes:      metric.Counter(r, "membership_probes_total", "Probes by how they were answered.", "result"),
		exchanges:   metric.Counter(r, "membership_exchanges_total", "Anti-entropy exchanges by result.", "result"),
		updates:     metric.Counter(r, "membership_updates_total", "Updates sent by stage and result.", "stage", "result"),
		joins:       metric.Counter(r, "membership_joins_total", "Joins by result.", "result"),
		refused:     metric.Counter(r, "membership_refused_total", "Messages refused or not sent, by reason.", "reason"),
		refutations: metric.Counter(r, "membership_refutations_total", "Suspicions of this node that it refuted.").WithLabelValues(),
	}
}

func (m *metrics) countMembers(v *membership.View) {
	counts := map[membership.Status]int{
		membership.StatusAlive:       0,
		membership.StatusSuspect:     0,
		membership.StatusFailed:      0,
		membership.StatusLeft:        0,
		membership.StatusUnreachable: 0,
	}
	for _, member := range v.Members {
		counts[member.Status]++
	}
	for status, n := range counts {
		m.members.WithLabelValues(string(status)).Set(float64(n))
	}
}

// register registers the handlers of the service.
func (s *Service) register(t mesh.Transport) {
	t.HandleDatagram(mesh.KindPing, s.onPing)
	t.HandleDatagram(mesh.KindAck, s.onAck)
	t.HandleDatagram(mesh.KindIndirectPing, s.onIndirectPing)
	t.Handle(mesh.KindJoin, s.onJoin)
	t.Handle(mesh.KindExchange, s.onExchange)
	t.Handle(mesh.KindUpdate, s.onUpdate)
}

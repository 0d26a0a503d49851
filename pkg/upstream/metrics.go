package upstream

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/metric"
)

// collector reports the load of this host's upstreams when it is asked.
type collector struct {
	service *Service
	running *prometheus.Desc
	queued  *prometheus.Desc
	limit   *prometheus.Desc
	open    *prometheus.Desc
}

func newCollector(s *Service) *collector {
	labels := []string{"upstream", "service"}
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metric.Namespace, "upstream", name), help, labels, nil)
	}
	return &collector{
		service: s,
		running: desc("running_calls", "Calls that an upstream of this host runs."),
		queued:  desc("queued_calls", "Calls that wait for a slot."),
		limit:   desc("limit_calls", "Calls that may run at the same time now."),
		open:    desc("connections", "Open connections to the upstream."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.running, c.queued, c.limit, c.open} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.service.mu.RLock()
	instances := c.service.all()
	c.service.mu.RUnlock()
	for _, i := range instances {
		u, load := i.snapshot(), i.Load()
		gauge := func(d *prometheus.Desc, v int) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), u.Name, u.Service)
		}
		gauge(c.running, load.Running)
		gauge(c.queued, load.Queued)
		gauge(c.limit, load.Limit)
		gauge(c.open, i.pool.Open())
	}
}

// Package metric holds the Prometheus registry of a process. Each service
// declares its own collectors with New functions that take a Registry.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of every metric name.
const Namespace = "tarragondrum"

// Registry collects the metrics of one process.
type Registry = prometheus.Registry

// NewRegistry returns a registry with the Go runtime and process collectors.
func NewRegistry() *Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Counter registers a counter with labels.
func Counter(r *Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// Histogram registers a histogram of seconds with labels.
func Histogram(r *Registry, name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.MustRegister(h)
	return h
}

// Gauge registers a gauge whose value is read when it is asked for.
func Gauge(r *Registry, name, help string, value func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

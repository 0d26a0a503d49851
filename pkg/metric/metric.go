// Package metric creates the Prometheus registry of a process and registers metrics under
// a common prefix. Each service registers its own metrics in a Registry that it is given.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of the name of every metric of this system.
const Namespace = "tarragondrum"

// Registry holds the metrics of one process.
type Registry = prometheus.Registry

// NewRegistry returns a registry with the Go runtime and process collectors already registered.
func NewRegistry() *Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Counter registers and returns a counter with labels. It panics if the name is taken.
func Counter(r *Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// Histogram registers and returns a histogram with labels, with the given upper bounds of
// its buckets. It panics if the name is taken.
func Histogram(r *Registry, name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.MustRegister(h)
	return h
}

// Gauge registers a gauge whose value is computed by a call of value at every scrape. It
// panics if the name is taken.
func Gauge(r *Registry, name, help string, value func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, value))
}

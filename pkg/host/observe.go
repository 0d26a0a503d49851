package host

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

const (
	// maxSuccessLines and maxFailureLines bound the log lines of requests per second.
	// Failures have a much higher limit, so that they are not dropped in favour of
	// successes.
	maxSuccessLines = 40
	maxFailureLines = 200
)

// latencyBuckets are the histogram bounds of request times in seconds.
var latencyBuckets = []float64{.002, .005, .01, .025, .05, .1, .2, .35, .5, .75, 1, 1.5, 2, 3, 5}

// linkWaitBuckets are the histogram bounds of link waits in seconds.
var linkWaitBuckets = []float64{.001, .003, .01, .03, .1, .3, 1}

// observer counts and logs the results of requests, calls and store accesses.
type observer struct {
	log       *event.Log
	successes *rate.Limiter
	failures  *rate.Limiter
	skipped   prometheus.Counter
	answers   *prometheus.CounterVec
	retries   *prometheus.CounterVec
	intake    *prometheus.CounterVec
	store     *prometheus.CounterVec
	opened    prometheus.Counter
	seconds   *prometheus.HistogramVec
	waits     *prometheus.HistogramVec
	linkWaits prometheus.Observer
	panics    *prometheus.CounterVec
	// unknownKinds counts the routes of each version whose kind is not known.
	unknownKinds prometheus.Counter
	// configsSkipped counts the configurations that did not replace the one in force.
	configsSkipped *prometheus.CounterVec
	nested         *nestedObserver
	bodies         *bodyObserver
	// callersRefused counts what the bounds on callers refuse or close.
	callersRefused *prometheus.CounterVec
}

func newObserver(r *metric.Registry, log *event.Log) *observer {
	o := &observer{
		log:            log,
		successes:      rate.NewLimiter(maxSuccessLines, maxSuccessLines),
		failures:       rate.NewLimiter(maxFailureLines, maxFailureLines),
		skipped:        metric.Counter(r, "log_lines_skipped_total", "Log lines of requests that were left out to bound their rate.").WithLabelValues(),
		answers:        metric.Counter(r, "requests_total", "Final answers to callers, by route, outcome, status and reason.", "route", "outcome", "status", "reason"),
		retries:        metric.Counter(r, "request_retries_total", "Tries without an answer, by reason, by what followed, and by whether it was allowed.", "reason", "next", "allowed"),
		intake:         metric.Counter(r, "intake_total", "Calls to the upstream of this host, by outcome and reason.", "outcome", "reason"),
		store:          metric.Counter(r, "store_calls_total", "Calls to the platform's store, by call and outcome.", "call", "outcome"),
		opened:         metric.Counter(r, "upstream_connections_total", "Connections opened to the upstream of this host.").WithLabelValues(),
		seconds:        metric.Histogram(r, "request_seconds", "Time from a request's arrival to its final answer.", latencyBuckets, "route"),
		linkWaits:      metric.Histogram(r, "link_wait_seconds", "Time that short messages to other nodes wait to be written.", linkWaitBuckets).WithLabelValues(),
		unknownKinds:   metric.Counter(r, "unknown_route_kinds_total", "Routes of a kind that is not known, in all versions put in force.").WithLabelValues(),
		configsSkipped: metric.Counter(r, "configs_skipped_total", "Configurations from the store and from peers that did not replace the one in force, by reason.", "reason"),
		nested:         newNestedObserver(r, log),
		waits:          metric.Histogram(r, "intake_wait_seconds", "Time that calls wait for a slot of the upstream, and for a large body from another node.", latencyBuckets),
		callersRefused: metric.Counter(r, "callers_refused_total", "Requests and connections of callers that were refused or closed, by listener and reason.", "listener", "reason"),
	}
	o.bodies = newBodyObserver(r, log, o.skipped)
	return o
}

// watchLoads registers gauges of the memory of answers and the backlog of the uplink.
func (o *observer) watchLoads(r *metric.Registry, answers *memory.Budget, uplink *pace.Uplink) {
	metric.Gauge(r, "answer_bytes", "Bytes of answers that are held.", func() float64 { return float64(answers.Used()) })
	metric.Gauge(r, "uplink_wait_seconds", "Time that a new large answer waits for the host's link.", func() float64 { return uplink.Backlog().Seconds() })
}

// watchStore registers a gauge of the store's epoch.
func (o *observer) watchStore(r *metric.Registry, epoch *atomic.Uint64) {
	metric.Gauge(r, "store_epoch", "Epoch of the platform's store; it increases when the store is restored from an older copy.", func() float64 { return float64(epoch.Load()) })
}

// watchUpstreamLimit registers a gauge of the limit that the upstream of this host names.
func (o *observer) watchUpstreamLimit(r *metric.Registry, s *intake.Service) {
	metric.Gauge(r, "upstream_limit_per_second", "Requests a second that the upstream of this host accepts from all nodes together, +Inf without a limit.", func() float64 {
		if perS, limited := s.LimitPerS(); limited {
			return perS
		}
		return math.Inf(1)
	})
}

// notice logs what the upstream of this host tells about itself in an answer.
func (o *observer) notice(u fleet.Upstream, c intake.NoticeChange) {
	about := []event.Field{event.F("upstream", u.ID), event.F("born", u.Born)}
	if c.Err != nil {
		o.log.Emit(event.NoticeUnreadable, append(about, event.F("error", c.Err))...)
	}
	if !c.After.SameLimit(c.Before) {
		o.log.Emit(event.UpstreamLimited, append(about, event.F("from", formatLimit(c.Before)), event.F("to", formatLimit(c.After)), event.F("fromPeer", c.FromPeer),
			event.F("requests", c.Requests), event.F("forMs", time.Since(c.Since).Milliseconds()))...)
	}
	if c.After.Leaving && !c.Before.Leaving {
		o.log.Emit(event.UpstreamLeaving, about...)
	}
}

// formatLimit returns the requests a second that a notice allows, or "none".
func formatLimit(n fleet.Notice) string {
	if !n.Limited {
		return "none"
	}
	return strconv.FormatFloat(n.LimitPerS, 'f', -1, 64)
}

// formatLoadLimit returns the requests a second that a load report allows, or "none".
func formatLoadLimit(l *link.Limit) string {
	if l == nil {
		return formatLimit(fleet.Notice{})
	}
	return formatLimit(fleet.Notice{Limited: true, LimitPerS: l.PerS})
}

// allow reports whether a limiter permits a log line, and counts those that it does not.
func (o *observer) allow(l *rate.Limiter) bool {
	if l.Allow() {
		return true
	}
	o.skipped.Inc()
	return false
}

// request records the final result of a request that a caller sent to this node.
func (o *observer) request(r *dispatch.Record) {
	o.answers.WithLabelValues(r.Route, string(r.Outcome), strconv.Itoa(r.Status), r.Reason).Inc()
	o.seconds.WithLabelValues(r.Route).Observe(r.Took.Seconds())
	o.nested.finished(r)
	e, limit := event.RequestAnswered, o.successes
	switch {
	case r.CallerGone:
		e, limit = event.RequestAbandoned, o.failures
	case r.Outcome == link.NotRun:
		e, limit = event.RequestRefused, o.failures
	case r.Outcome == link.Unknown:
		e, limit = event.RequestFailed, o.failures
	}
	if !o.allow(limit) {
		return
	}
	o.log.Emit(e, append(requestFields(r), event.F("status", r.Status), event.F("outcome", r.Outcome), event.F("reason", r.Reason))...)
}

// repeated records an attempt without an answer and what follows it.
func (o *observer) repeated(r *dispatch.Record, reason string, next dispatch.RetryDecision, allowed bool) {
	o.retries.WithLabelValues(reason, string(next), strconv.FormatBool(allowed)).Inc()
	if next == dispatch.RetryFree || !o.allow(o.failures) {
		return
	}
	o.log.Emit(event.AttemptWithoutAnswer, append(requestFields(r), event.F("reason", reason), event.F("next", next), event.F("allowed", allowed))...)
}

func requestFields(r *dispatch.Record) []event.Field {
	fields := []event.Field{
		event.F("request", r.ID), event.F("route", r.Route), event.F("service", r.Service), event.F("host", r.Node),
		event.F("upstreamVersion", r.UpstreamVersion), event.F("version", r.Version), event.F("places", r.Tries), event.F("arrivals", r.Arrivals),
		event.F("tookMs", r.Took.Milliseconds()), event.F("leftMs", r.Left.Milliseconds()),
		event.F("running", r.Report.Running), event.F("queued", r.Report.Queued), event.F("slots", r.Report.Slots),
		event.F("loadAgeMs", r.ReportAge.Milliseconds()),
	}
	if r.Organisation != "" {
		fields = append(fields, event.F("organisation", r.Organisation))
	}
	return fields
}

// call records the result of a call at the upstream of this host.
func (o *observer) call(requestID string, c *link.Call, a *link.Answer, t intake.Timing) {
	o.intake.WithLabelValues(string(a.Outcome), a.Reason).Inc()
	o.waits.WithLabelValues().Observe(t.Waited.Seconds())
	e := event.IntakeFailed
	switch {
	case a.Outcome == link.Ran || a.Reason == string(intake.NoSlot):
		return
	case a.Outcome == link.NotRun:
		e = event.IntakeRefused
	}
	if !o.allow(o.failures) {
		return
	}
	o.log.Emit(e, event.F("request", requestID), event.F("route", c.Route), event.F("priority", c.Priority), event.F("upstream", c.UpstreamID),
		event.F("reason", a.Reason), event.F("outcome", a.Outcome), event.F("arrived", a.ReachedUpstream),
		event.F("waitedMs", t.Waited.Milliseconds()), event.F("tookMs", t.Took.Milliseconds()), event.F("leftMs", c.RemainingMs),
		event.F("running", a.Load.Running), event.F("queued", a.Load.Queued), event.F("slots", a.Load.Slots),
		event.F("limit", formatLoadLimit(a.Load.Limit)), event.F("meanMs", int(a.Load.MeanMs)), event.F("routeMeanMs", t.RouteMean.Milliseconds()), event.F("retryAfterMs", a.RetryAfterMs))
}

// storeCall counts a call to the store.
func (o *observer) storeCall(call, outcome string) { o.store.WithLabelValues(call, outcome).Inc() }

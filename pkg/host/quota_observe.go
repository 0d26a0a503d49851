package host

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
)

const (
	// maxQuotaLabels bounds the organisations that have a counter of their own. Further ones
	// are counted together, since a configuration may have thousands.
	maxQuotaLabels = 50
	// otherOrganisations is the label of those.
	otherOrganisations = "other"
	// limitEventInterval is the least time between two events about one organisation, and
	// maxLimitEvents the number of events a second about all of them.
	limitEventInterval = 5 * time.Second
	maxLimitEvents     = 5
	// suspendedAfter is how long a node adds no tokens before an event tells of it. At its
	// start a node learns of its fleet within that time.
	suspendedAfter = 3 * time.Second
)

// quotaObserver counts and logs what happens to the limits of organisations. Its methods are
// called with the lock of quotas held.
type quotaObserver struct {
	log      *event.Log
	limiter  *rate.Limiter
	tokens   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	unsent   prometheus.Counter
	waits    prometheus.Observer
	share    prometheus.Gauge
	counted  quota.Counts
	// labels are the organisations with a counter of their own.
	labels map[string]bool
	// reached holds the refusals that no event has told of, by organisation.
	reached map[string]*limitReached
	// addedAt is when the node last added tokens, or when its limits began. suspended is set
	// after an event that it does not.
	addedAt   time.Duration
	suspended bool
	// unwritten are the events to be logged once quotas is unlocked.
	unwritten []unwrittenEvent
}

// maxUnwritten bounds the events that wait for a slow output. Further ones are not logged.
const maxUnwritten = 20

// unwrittenEvent is an event that waits to be logged.
type unwrittenEvent struct {
	event  event.Event
	fields []event.Field
}

// note makes the next tick log an event, since the output may be slow while requests wait for the lock.
func (o *quotaObserver) note(e event.Event, fields ...event.Field) {
	if len(o.unwritten) < maxUnwritten {
		o.unwritten = append(o.unwritten, unwrittenEvent{e, fields})
	}
}

// takeUnwritten removes and returns the events to be logged.
func (o *quotaObserver) takeUnwritten() []unwrittenEvent {
	list := o.unwritten
	o.unwritten = nil
	return list
}

// write logs events. It is called without the lock of quotas.
func (o *quotaObserver) write(list []unwrittenEvent) {
	for _, e := range list {
		o.log.Emit(e.event, e.fields...)
	}
}

// limitReached is what an event about refusals of an organisation tells.
type limitReached struct {
	refusals   int
	retryAfter time.Duration
	loggedAt   time.Time
}

func newQuotaObserver(r *metric.Registry, log *event.Log) *quotaObserver {
	o := &quotaObserver{
		log: log, limiter: rate.NewLimiter(maxLimitEvents, maxLimitEvents),
		tokens:   metric.Counter(r, "quota_tokens_total", "Tokens for the limits of organisations that were granted to other nodes, received from them, or expired unused, and messages that came twice or too late.", "event"),
		refusals: metric.Counter(r, "quota_refusals_total", "Requests refused because of the limit of their organisation, by organisation; the first 50 organisations have a counter of their own.", "organisation"),
		unsent:   metric.Counter(r, "quota_messages_unsent_total", "Requests and grants of tokens that could not be sent.").WithLabelValues(),
		waits:    metric.Histogram(r, "quota_wait_seconds", "Time that requests without a token waited for one.", linkWaitBuckets).WithLabelValues(),
		share:    prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metric.Namespace, Name: "quota_share", Help: "Share of the limits of organisations that this node uses for itself and its followers."}),
		labels:   make(map[string]bool), reached: make(map[string]*limitReached),
	}
	r.MustRegister(o.share)
	return o
}

// refused counts a refused request and logs it, unless that was done recently.
func (o *quotaObserver) refused(organisation string, after time.Duration, engine *quota.Node, hub string) {
	label := organisation
	if !o.labels[organisation] {
		if len(o.labels) < maxQuotaLabels {
			o.labels[organisation] = true
		} else {
			label = otherOrganisations
		}
	}
	o.refusals.WithLabelValues(label).Inc()
	e := o.reached[organisation]
	if e == nil {
		e = &limitReached{}
		o.reached[organisation] = e
	}
	e.refusals++
	e.retryAfter = after
	if time.Since(e.loggedAt) < limitEventInterval || !o.limiter.Allow() {
		return
	}
	s := engine.State(organisation)
	o.note(event.QuotaLimitReached, event.F("organisation", organisation), event.F("refusals", e.refusals), event.F("retryAfterMs", after.Milliseconds()),
		event.F("limitPerS", s.Limit.RatePerS), event.F("burst", s.Limit.Burst), event.F("hub", hub),
		event.F("share", math.Round(1000*s.Share)/1000), event.F("inBucket", math.Floor(s.Bucket)), event.F("held", s.Held), event.F("leased", s.Leased),
		event.F("hosts", s.Hosts), event.F("adds", s.Adds))
	e.refusals, e.loggedAt = 0, time.Now()
}

// tick counts the tokens since the last call and logs whether the node adds tokens.
func (o *quotaObserver) tick(engine *quota.Node, env quota.Environment, now time.Duration) {
	c := engine.Counts()
	count := func(name string, after, before int) {
		o.tokens.WithLabelValues(name).Add(float64(max(0, after-before)))
	}
	count("granted", c.Granted, o.counted.Granted)
	count("received", c.Received, o.counted.Received)
	count("expired", c.Expired, o.counted.Expired)
	count("repeated", c.Repeated, o.counted.Repeated)
	o.counted = c
	o.share.Set(engine.Share())
	for name, e := range o.reached {
		if time.Since(e.loggedAt) > 2*limitEventInterval {
			delete(o.reached, name)
		}
	}
	if o.addedAt == 0 || engine.State("").Adds {
		o.addedAt = now
	}
	switch suspended := now-o.addedAt > suspendedAfter; {
	case suspended == o.suspended:
		return
	case !suspended:
		o.suspended = false
		o.note(event.QuotaResumed, event.F("hosts", env.Hosts))
		return
	}
	o.suspended = true
	age := int64(-1)
	if env.Proven {
		age = (now - env.ProvenAt).Milliseconds()
	}
	o.note(event.QuotaSuspended, event.F("hosts", env.Hosts), event.F("proofAgeMs", age))
}

// stopped is called when there are no limits any more.
func (o *quotaObserver) stopped() {
	clear(o.reached)
	o.counted, o.suspended, o.addedAt = quota.Counts{}, false, 0
	o.share.Set(0)
}

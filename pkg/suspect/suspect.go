// Package suspect finds requests that crash upstreams and refuses them. It does no I/O: the
// time is an argument.
//
// Every request that was running when an upstream crashed becomes a suspect. A request that
// is involved in MaxCrashes crashes without completing in between, on any upstream of the
// fleet, is refused. Requests that only happened to run at the same time complete elsewhere,
// which clears them.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 3
	// crashTTL is how long after its last crash a request stays refused. It is then tried
	// again.
	crashTTL = time.Minute
	// maxSuspects is the number of remembered requests from which on old entries are dropped.
	maxSuspects = 4096
	// maxReported is the maximum number of crashes that Crashes returns.
	maxReported = 256
)

// Life identifies one run of an upstream, from its start to its end.
type Life struct {
	UpstreamID string
	Born       int64
}

// Crash is the involvement of a request in the crash of an upstream.
type Crash struct {
	Fingerprint uint64
	Life        Life
	// Age is the time since the crash.
	Age time.Duration
}

// Tracker counts the crashes that each request was involved in. It is safe for concurrent
// use.
type Tracker struct {
	mu        sync.Mutex
	suspects  map[uint64]*crashes
	completed recentSet
}

// crashes holds the crashes that one request was involved in.
type crashes struct {
	lives map[Life]struct{}
	last  time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[uint64]*crashes)} }

// RecordCrash records that a request was running when an upstream's life ended, unless the
// request has completed in the last recentPeriod: a request that callers send often may run
// on several upstreams that crash at once. count is the number of crashes that the
// request is involved in, or 0 if this crash was not recorded or was known before.
func (t *Tracker) RecordCrash(now time.Time, crash Crash) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.completed.has(now, crash.Fingerprint) {
		return 0
	}
	t.prune(now)
	c := t.suspects[crash.Fingerprint]
	if c == nil {
		c = &crashes{lives: make(map[Life]struct{})}
		t.suspects[crash.Fingerprint] = c
	}
	if _, known := c.lives[crash.Life]; known {
		return 0
	}
	c.lives[crash.Life] = struct{}{}
	if at := now.Add(-min(max(0, crash.Age), crashTTL)); at.After(c.last) {
		c.last = at
	}
	return len(c.lives)
}

// prune drops expired and unconfirmed suspects once there are maxSuspects. The caller holds
// mu.
func (t *Tracker) prune(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	for f, c := range t.suspects {
		if now.Sub(c.last) > crashTTL || len(c.lives) < MaxCrashes {
			delete(t.suspects, f)
		}
	}
}

// Completed records that the request completed on an upstream, and reports whether it was a
// suspect.
func (t *Tracker) Completed(now time.Time, fingerprint uint64) (cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed.add(now, fingerprint)
	_, cleared = t.suspects[fingerprint]
	delete(t.suspects, fingerprint)
	return cleared
}

// Refused reports whether the request is refused because it crashed upstreams.
func (t *Tracker) Refused(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.suspects[fingerprint]
	return c != nil && c.isRefused(now)
}

// isRefused reports whether the request is refused.
func (c *crashes) isRefused(now time.Time) bool {
	return len(c.lives) >= MaxCrashes && now.Sub(c.last) <= crashTTL
}

// Refusal describes a request that is currently refused.
type Refusal struct {
	Fingerprint uint64
	Crashes     int
	Until       time.Time
}

// Refusals returns the requests that are refused at the given time, sorted by fingerprint.
func (t *Tracker) Refusals(now time.Time) []Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Refusal{}
	for f, c := range t.suspects {
		if c.isRefused(now) {
			list = append(list, Refusal{Fingerprint: f, Crashes: len(c.lives), Until: c.last.Add(crashTTL)})
		}
	}
	slices.SortFunc(list, func(x, y Refusal) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return list
}

// Crashes returns the known crashes, maxReported at most. Requests with more crashes come
// first, and among equal ones those with the later last crash.
func (t *Tracker) Crashes(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprints := make([]uint64, 0, len(t.suspects))
	for f := range t.suspects {
		fingerprints = append(fingerprints, f)
	}
	slices.SortFunc(fingerprints, func(x, y uint64) int {
		a, b := t.suspects[x], t.suspects[y]
		return cmp.Or(cmp.Compare(len(b.lives), len(a.lives)), b.last.Compare(a.last), cmp.Compare(x, y))
	})
	var list []Crash
	for _, f := range fingerprints {
		c := t.suspects[f]
		if len(list)+len(c.lives) > maxReported {
			break
		}
		for life := range c.lives {
			list = append(list, Crash{Fingerprint: f, Life: life, Age: now.Sub(c.last)})
		}
	}
	return list
}

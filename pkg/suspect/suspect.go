// Package suspect finds requests that crash upstreams and refuses them. It does no I/O: the
// time is an argument.
//
// Every request that was running when an upstream crashed becomes a suspect. A request that
// is involved in maxCrashes crashes without completing in between is refused. Requests that
// only happened to run at the same time complete on another upstream, which clears them.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes after which a request is refused.
	maxCrashes = 3
	// crashTTL is how long after its last crash a request stays refused. It is then tried
	// again.
	crashTTL = time.Minute
	// maxSuspects is the number of remembered requests from which on old entries are dropped.
	maxSuspects = 4096
)

// Life identifies one run of an upstream, from its start to its end.
type Life struct {
	UpstreamID string
	Born       int64
}

// Tracker counts the crashes that each request was involved in. It is safe for concurrent
// use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[uint64]*crashes
}

// crashes holds the crashes that one request was involved in.
type crashes struct {
	lives map[Life]struct{}
	last  time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[uint64]*crashes)} }

// RecordCrash records that the request was running when an upstream's life ended. isNew reports
// whether this crash was not recorded before, refused whether the request is refused from
// this crash on.
func (t *Tracker) RecordCrash(now time.Time, fingerprint uint64, life Life) (isNew, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	c := t.suspects[fingerprint]
	if c == nil {
		c = &crashes{lives: make(map[Life]struct{})}
		t.suspects[fingerprint] = c
	}
	if _, known := c.lives[life]; known {
		return false, false
	}
	c.lives[life] = struct{}{}
	c.last = now
	return true, len(c.lives) == maxCrashes
}

// prune drops expired and unconfirmed suspects once there are maxSuspects. The caller holds
// mu.
func (t *Tracker) prune(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	for f, c := range t.suspects {
		if now.Sub(c.last) > crashTTL || len(c.lives) < maxCrashes {
			delete(t.suspects, f)
		}
	}
}

// Completed records that the request completed.
func (t *Tracker) Completed(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, fingerprint)
}

// Refused reports whether the request is refused because it crashed upstreams.
func (t *Tracker) Refused(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.suspects[fingerprint]
	return c != nil && len(c.lives) >= maxCrashes && now.Sub(c.last) <= crashTTL
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
		if len(c.lives) >= maxCrashes && now.Sub(c.last) <= crashTTL {
			list = append(list, Refusal{Fingerprint: f, Crashes: len(c.lives), Until: c.last.Add(crashTTL)})
		}
	}
	slices.SortFunc(list, func(x, y Refusal) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return list
}

// Package suspect finds the requests that crash the upstreams which run them.
// It is pure: the time is an argument.
//
// Each request that ran when an upstream crashed is a suspect of that crash. One
// that was there at several crashes and never ended well in between is refused
// from then on. Requests that only happened to run at the same time end well
// elsewhere, which clears them.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes is the number of crashes at which a suspect is refused.
	maxCrashes = 3
	// memory is how long a crash counts.
	memory = time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Life names one life of an upstream.
type Life struct {
	UpstreamID string
	Born       int64
}

// Tracker counts the crashes of each suspect. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[uint64]*crashes
}

type crashes struct {
	lives map[Life]struct{}
	last  time.Time
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[uint64]*crashes)} }

// Crash notes that the request ran when an upstream's life ended. It reports whether
// that was news, and whether the request is refused from now on and was not before.
func (t *Tracker) Crash(now time.Time, fingerprint uint64, life Life) (isNew, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
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

// forget drops old suspects when there are many. The caller holds mu.
func (t *Tracker) forget(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	for f, c := range t.suspects {
		if now.Sub(c.last) > memory || len(c.lives) < maxCrashes {
			delete(t.suspects, f)
		}
	}
}

// Cleared notes that the request ended well.
func (t *Tracker) Cleared(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, fingerprint)
}

// Refused reports whether the request crashes upstreams.
func (t *Tracker) Refused(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.suspects[fingerprint]
	return c != nil && len(c.lives) >= maxCrashes && now.Sub(c.last) <= memory
}

// Refusal is a request that is refused.
type Refusal struct {
	Fingerprint uint64
	Crashes     int
	Until       time.Time
}

// Refusals lists the requests that are refused now, by their fingerprints.
func (t *Tracker) Refusals(now time.Time) []Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Refusal{}
	for f, c := range t.suspects {
		if len(c.lives) >= maxCrashes && now.Sub(c.last) <= memory {
			list = append(list, Refusal{Fingerprint: f, Crashes: len(c.lives), Until: c.last.Add(memory)})
		}
	}
	slices.SortFunc(list, func(x, y Refusal) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return list
}

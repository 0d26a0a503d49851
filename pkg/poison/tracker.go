package poison

import (
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
)

const (
	// Retention is how long a suspect is remembered after its last crash, and
	// with it the length of a quarantine.
	Retention = 10 * time.Minute
	// MaxSuspects bounds the suspects that one node tells of.
	MaxSuspects = 16
	// MaxGood bounds the fingerprints remembered as having ended well lately.
	MaxGood = 16 << 10
	// goodRetention is how long at least they are remembered.
	goodRetention = 5 * time.Minute
	// crashWindow is the time within which calls broken off on one upstream
	// belong to one crash.
	crashWindow = 200 * time.Millisecond
	// maxStrikes is the number of crashes without a good end between them after
	// which a fingerprint that used to end well becomes a suspect.
	maxStrikes = 3
	// maxStruck bounds the fingerprints whose strikes are counted.
	maxStruck = 1024
	// maxGoodCount is where the count of good ends stops.
	maxGoodCount = 1 << 20
)

// Tracker collects what one node sees of fingerprints. It is not safe for
// concurrent use.
type Tracker struct {
	running  map[string]map[uint64]int
	crashes  map[string]crash
	suspects map[uint64]*membership.Suspect
	good     generations
	// strikes counts crashes since the last good end of fingerprints in good.
	strikes map[uint64]int
}

// crash is the end of an upstream and the calls that were running on it.
type crash struct {
	at    time.Time
	among int
	// counted holds the fingerprints that have been counted for this crash.
	counted map[uint64]bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		running:  make(map[string]map[uint64]int),
		crashes:  make(map[string]crash),
		suspects: make(map[uint64]*membership.Suspect),
		strikes:  make(map[uint64]int),
	}
}

// Begin notes that a call runs on an upstream.
func (t *Tracker) Begin(upstream string, fingerprint uint64) {
	calls := t.running[upstream]
	if calls == nil {
		calls = make(map[uint64]int)
		t.running[upstream] = calls
	}
	calls[fingerprint]++
}

// End notes that a call has ended, and reports whether the suspects changed in
// a way that the peers should hear of.
func (t *Tracker) End(now time.Time, upstream string, fingerprint uint64, end End) (changed bool) {
	switch end {
	case EndCrashed:
		changed = t.suspect(now, upstream, fingerprint)
	case EndAlive:
		changed = t.clear(now, fingerprint)
	}
	calls := t.running[upstream]
	if calls[fingerprint]--; calls[fingerprint] <= 0 {
		delete(calls, fingerprint)
	}
	if len(calls) == 0 {
		delete(t.running, upstream)
	}
	return changed
}

// suspect counts a crash for a fingerprint, once per crash.
func (t *Tracker) suspect(now time.Time, upstream string, fingerprint uint64) bool {
	c, ok := t.crashes[upstream]
	if !ok || now.Sub(c.at) > crashWindow {
		c = crash{at: now, among: t.candidates(upstream), counted: make(map[uint64]bool)}
		t.forgetCrashes(now)
		t.crashes[upstream] = c
	}
	if c.counted[fingerprint] {
		return false
	}
	c.counted[fingerprint] = true
	if t.good.has(fingerprint) && !t.struckOut(fingerprint) {
		return false // It ends well as a rule.
	}
	s, ok := t.suspects[fingerprint]
	if !ok {
		s = &membership.Suspect{Fingerprint: fingerprint}
		t.suspects[fingerprint] = s
	}
	s.Crashes++
	s.AtUnix = now.Unix()
	s.Lifted = false
	s.Alone = s.Alone || c.among == 1
	if s.Among == 0 || c.among < s.Among {
		s.Among = c.among
	}
	t.evict()
	return true
}

// struckOut counts a crash of a fingerprint that used to end well, and forgets
// its good ends when there are too many.
func (t *Tracker) struckOut(fingerprint uint64) bool {
	if len(t.strikes) >= maxStruck {
		clear(t.strikes)
	}
	t.strikes[fingerprint]++
	if t.strikes[fingerprint] < maxStrikes {
		return false
	}
	delete(t.strikes, fingerprint)
	t.good.remove(fingerprint)
	return true
}

// candidates counts the fingerprints running on an upstream that have not ended
// well lately.
func (t *Tracker) candidates(upstream string) int {
	n := 0
	for fingerprint := range t.running[upstream] {
		if !t.good.has(fingerprint) {
			n++
		}
	}
	return max(n, 1)
}

func (t *Tracker) forgetCrashes(now time.Time) {
	for upstream, c := range t.crashes {
		if now.Sub(c.at) > crashWindow {
			delete(t.crashes, upstream)
		}
	}
}

// clear notes a good end. The peers hear of the first one of a suspect and then
// at each doubling of the count.
func (t *Tracker) clear(now time.Time, fingerprint uint64) bool {
	t.good.add(now, fingerprint)
	delete(t.strikes, fingerprint)
	s, ok := t.suspects[fingerprint]
	if !ok || s.Good >= maxGoodCount {
		return false
	}
	s.Good++
	return s.Good&(s.Good-1) == 0
}

// Observe takes the suspects that other nodes tell of: those that ended well
// here are told to be good, and those that an operator has lifted are cleared.
func (t *Tracker) Observe(now time.Time, others []membership.Suspect) (changed bool) {
	for _, o := range others {
		s, known := t.suspects[o.Fingerprint]
		switch {
		case o.Lifted:
			if known && !s.Lifted && s.AtUnix <= o.AtUnix {
				delete(t.suspects, o.Fingerprint)
				changed = true
			}
		case !known && o.Crashes > 0 && t.good.has(o.Fingerprint):
			t.suspects[o.Fingerprint] = &membership.Suspect{Fingerprint: o.Fingerprint, AtUnix: now.Unix(), Good: 1}
			changed = true
		case !known && o.Crashes > 0:
			// Watch it, so that a good end here clears it. Nothing to tell yet.
			t.suspects[o.Fingerprint] = &membership.Suspect{Fingerprint: o.Fingerprint, AtUnix: o.AtUnix}
		}
	}
	t.evict()
	return changed
}

// Adopt takes over suspects that a former process of this node told of.
func (t *Tracker) Adopt(former []membership.Suspect) {
	for _, s := range former {
		if _, known := t.suspects[s.Fingerprint]; !known {
			t.suspects[s.Fingerprint] = &s
		}
	}
	t.evict()
}

// Lift clears a fingerprint on every node.
func (t *Tracker) Lift(now time.Time, fingerprint uint64) {
	t.suspects[fingerprint] = &membership.Suspect{Fingerprint: fingerprint, AtUnix: now.Unix(), Lifted: true}
	t.evict()
}

// Expire forgets suspects after the retention and reports whether it did.
func (t *Tracker) Expire(now time.Time) (changed bool) {
	oldest := now.Add(-Retention).Unix()
	for fingerprint, s := range t.suspects {
		if s.AtUnix < oldest {
			delete(t.suspects, fingerprint)
			changed = true
		}
	}
	return changed
}

// Suspects returns what the peers should hear, in a fixed order.
func (t *Tracker) Suspects() []membership.Suspect {
	var list []membership.Suspect
	for _, s := range t.suspects {
		if s.Crashes > 0 || s.Good > 0 || s.Lifted {
			list = append(list, *s)
		}
	}
	slices.SortFunc(list, func(a, b membership.Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return list
}

// evict drops the weakest suspects over the bound.
func (t *Tracker) evict() {
	for len(t.suspects) > MaxSuspects {
		var weakest *membership.Suspect
		for _, s := range t.suspects {
			if weakest == nil || weaker(s, weakest) {
				weakest = s
			}
		}
		delete(t.suspects, weakest.Fingerprint)
	}
}

func weaker(a, b *membership.Suspect) bool {
	switch {
	case a.Lifted != b.Lifted:
		return b.Lifted
	case a.Crashes != b.Crashes:
		return a.Crashes < b.Crashes
	case a.Good != b.Good:
		return a.Good < b.Good
	case a.AtUnix != b.AtUnix:
		return a.AtUnix < b.AtUnix
	}
	return a.Fingerprint < b.Fingerprint
}

// generations remembers fingerprints for at least goodRetention in bounded
// memory.
type generations struct {
	newest, previous map[uint64]struct{}
	since            time.Time
}

func (g *generations) has(fingerprint uint64) bool {
	if _, ok := g.newest[fingerprint]; ok {
		return true
	}
	_, ok := g.previous[fingerprint]
	return ok
}

func (g *generations) remove(fingerprint uint64) {
	delete(g.newest, fingerprint)
	delete(g.previous, fingerprint)
}

func (g *generations) add(now time.Time, fingerprint uint64) {
	if g.newest == nil || now.Sub(g.since) > goodRetention || len(g.newest) >= MaxGood {
		g.previous = g.newest
		g.newest = make(map[uint64]struct{})
		g.since = now
	}
	g.newest[fingerprint] = struct{}{}
}

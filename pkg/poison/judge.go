package poison

import (
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
)

const (
	// minCrashes is the number of crashes from which a suspect is quarantined that
	// was the only suspect at one of them, crowdedCrashes that for any other.
	minCrashes     = 2
	crowdedCrashes = 4
	// settleTime is how long nodes may tell that a suspect ends well before it is
	// convicted without having been alone.
	settleTime = time.Second
)

// Entry is what all nodes together know of one fingerprint.
type Entry struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes and Good count the calls that ended in a crash and well.
	Crashes int `json:"crashes"`
	Good    int `json:"good"`
	// Alone tells that it was the only suspect at a crash, Among the smallest
	// number of suspects at one.
	Alone bool `json:"alone"`
	Among int  `json:"among"`
	// Last is the time of the last crash, Until the end of the quarantine.
	Last        time.Time `json:"last"`
	Until       time.Time `json:"until"`
	Quarantined bool      `json:"quarantined"`
}

// Judge sums up the suspects of all nodes at time now, in order of fingerprint.
func Judge(now time.Time, suspects []membership.Suspect) []Entry {
	lifted := make(map[uint64]int64)
	for _, s := range suspects {
		if s.Lifted {
			lifted[s.Fingerprint] = max(lifted[s.Fingerprint], s.AtUnix)
		}
	}
	sums := make(map[uint64]*Entry)
	for _, s := range suspects {
		at, isLifted := lifted[s.Fingerprint]
		stale := s.AtUnix < now.Add(-Retention).Unix()
		if s.Lifted || stale || isLifted && s.AtUnix <= at {
			continue
		}
		e, ok := sums[s.Fingerprint]
		if !ok {
			e = &Entry{Fingerprint: s.Fingerprint}
			sums[s.Fingerprint] = e
		}
		e.add(s)
	}
	list := make([]Entry, 0, len(sums))
	for _, e := range sums {
		if e.Crashes == 0 {
			continue
		}
		e.Until = e.Last.Add(Retention)
		e.Quarantined = e.convicted(now)
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return list
}

func (e *Entry) add(s membership.Suspect) {
	e.Crashes += s.Crashes
	e.Good += s.Good
	if s.Crashes == 0 {
		return
	}
	e.Alone = e.Alone || s.Alone
	if e.Among == 0 || s.Among < e.Among {
		e.Among = s.Among
	}
	if last := time.Unix(s.AtUnix, 0); last.After(e.Last) {
		e.Last = last
	}
}

// convicted decides on the quarantine. A suspect that ends well at least as
// often as in a crash is not the cause.
func (e *Entry) convicted(now time.Time) bool {
	if e.Crashes < minCrashes || e.Good >= e.Crashes {
		return false
	}
	if e.Alone {
		return true
	}
	// Last has whole seconds, so that the crash may be up to one second younger.
	if now.Sub(e.Last) < settleTime+time.Second {
		return false
	}
	return e.Crashes >= crowdedCrashes
}

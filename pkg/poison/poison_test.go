package poison_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
)

// TestMain draws the same cases in each run, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const killer = uint64(1 << 40)

// world is a few nodes with one upstream each, whose suspects reach the others
// with a delay of one step.
type world struct {
	rng      *rand.Rand
	now      time.Time
	trackers []*poison.Tracker
	told     [][]membership.Suspect
	// popular is the number of fingerprints that callers share.
	popular int
	unique  uint64
}

func newWorld(seed uint64, nodes, popular int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, popular: popular, unique: 1 << 20}
	for range nodes {
		w.trackers = append(w.trackers, poison.NewTracker())
	}
	w.told = make([][]membership.Suspect, nodes)
	return w
}

// step runs a batch of calls on each node; with poisoned, one of them holds the
// killer and its upstream crashes. It returns what is in quarantine.
func (w *world) step(slots int, uniqueShare float64, poisoned bool) map[uint64]bool {
	w.now = w.now.Add(500 * time.Millisecond)
	victim := w.rng.IntN(len(w.trackers))
	for i, t := range w.trackers {
		calls := w.calls(slots, uniqueShare)
		crash := poisoned && i == victim
		if crash {
			calls[0] = killer
		}
		for _, c := range calls {
			t.Begin("u", c)
		}
		for _, c := range calls {
			end := poison.EndAlive
			if crash {
				end = poison.EndCrashed
			}
			t.End(w.now, "u", c, end)
		}
	}
	return w.judge()
}

func (w *world) calls(n int, uniqueShare float64) []uint64 {
	calls := make([]uint64, n)
	for i := range calls {
		if w.rng.Float64() < uniqueShare {
			w.unique++
			calls[i] = w.unique
			continue
		}
		calls[i] = uint64(w.rng.IntN(w.popular))
	}
	return calls
}

func (w *world) judge() map[uint64]bool {
	var all []membership.Suspect
	for i, t := range w.trackers {
		var others []membership.Suspect
		for j, told := range w.told {
			if i != j {
				others = append(others, told...)
			}
		}
		t.Observe(w.now, others)
	}
	for i, t := range w.trackers {
		w.told[i] = t.Suspects()
		all = append(all, w.told[i]...)
	}
	convicted := make(map[uint64]bool)
	for _, e := range poison.Judge(w.now, all) {
		if e.Quarantined {
			convicted[e.Fingerprint] = true
		}
	}
	return convicted
}

// A poison that is re-sent among warm popular traffic is quarantined after its
// second crash, and nothing else ever is.
func TestPoisonAmongPopularTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "nodes"), rapid.IntRange(1, 50).Draw(t, "popular"))
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		for range 500 {
			is.Equal(len(w.step(slots, 0, false)), 0)
		}
		w.step(slots, 0, true)
		is.Equal(w.step(slots, 0, true), map[uint64]bool{killer: true})
	})
}

// Among traffic of any mix, cold nodes included, a poison is quarantined in the
// end and no popular fingerprint ever is.
func TestPoisonAmongMixedTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "nodes"), rapid.IntRange(1, 20).Draw(t, "popular"))
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		share := rapid.Float64Range(0, 1).Draw(t, "unique")
		for range rapid.IntRange(0, 50).Draw(t, "warm") {
			w.step(slots, share, false)
		}
		const maxCrashes = 6
		for crashes := 1; ; crashes++ {
			convicted := w.step(slots, share, true)
			for range 4 { // The caller waits two seconds before it sends again.
				for f := range convicted {
					if f != killer {
						t.Fatalf("innocent %d is in quarantine", f)
					}
				}
				convicted = w.step(slots, share, false)
			}
			if convicted[killer] {
				return
			}
			if crashes >= maxCrashes {
				t.Fatalf("poison runs on after %d crashes", crashes)
			}
		}
	})
}

// A call that used to end well and now crashes every time is found too.
func TestGoodCallTurnsBad(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 3, 5)
	for _, tracker := range w.trackers {
		tracker.Begin("u", killer)
		tracker.End(w.now, "u", killer, poison.EndAlive)
	}
	crashes := 0
	for !w.step(4, 0, true)[killer] {
		crashes++
		is.True(crashes < 30)
		w.now = w.now.Add(3 * time.Second)
	}
}

// Lifting clears a fingerprint on every node; a new crash counts again.
func TestLift(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 5)
	for range 20 {
		w.step(4, 0, false)
	}
	w.step(4, 0, true)
	is.True(w.step(4, 0, true)[killer])
	w.now = w.now.Add(time.Second)
	w.trackers[0].Lift(w.now, killer)
	w.judge()
	is.True(!w.judge()[killer])
	w.now = w.now.Add(5 * time.Second)
	is.True(!w.step(4, 0, true)[killer])
	is.True(w.step(4, 0, true)[killer])
}

// Each rule of the verdict, on what two nodes tell.
func TestJudge(t *testing.T) {
	at := epoch.Unix()
	suspect := func(crashes, among, good int) membership.Suspect {
		return membership.Suspect{Fingerprint: killer, Crashes: crashes, AtUnix: at, Among: among, Alone: among == 1, Good: good}
	}
	tests := []struct {
		name  string
		tells []membership.Suspect
		after time.Duration
		want  bool
	}{
		{"one crash", []membership.Suspect{suspect(1, 1, 0)}, time.Minute, false},
		{"two crashes, once alone", []membership.Suspect{suspect(1, 1, 0), suspect(1, 9, 0)}, 0, true},
		{"as many good ends", []membership.Suspect{suspect(1, 1, 0), suspect(1, 1, 2)}, time.Minute, false},
		{"never alone", []membership.Suspect{suspect(1, 2, 0), suspect(2, 9, 0)}, time.Minute, false},
		{"four times, at once", []membership.Suspect{suspect(2, 2, 0), suspect(2, 9, 0)}, time.Second, false},
		{"four times, later", []membership.Suspect{suspect(2, 2, 0), suspect(2, 9, 0)}, 2 * time.Second, true},
		{"long ago", []membership.Suspect{suspect(2, 1, 0)}, poison.Retention + time.Second, false},
		{"lifted", []membership.Suspect{suspect(2, 1, 0), {Fingerprint: killer, AtUnix: at, Lifted: true}}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := false
			for _, e := range poison.Judge(epoch.Add(test.after), test.tells) {
				got = got || e.Quarantined
			}
			is.Equal(got, test.want)
		})
	}
}

// Calls that never reached the upstream are neither suspects nor cleared.
func TestNotSentSaysNothing(t *testing.T) {
	is := is.New(t)
	tracker := poison.NewTracker()
	for _, end := range []poison.End{poison.EndNotSent, poison.EndCrashed, poison.EndNotSent, poison.EndNotSent} {
		tracker.Begin("u", killer)
		tracker.End(epoch, "u", killer, end)
	}
	suspects := tracker.Suspects()
	is.Equal(len(suspects), 1)
	is.Equal(suspects[0].Crashes, 1)
	is.Equal(suspects[0].Good, 0)
}

// Quarantine ends by itself, and the suspects of a node stay bounded.
func TestRetentionAndBounds(t *testing.T) {
	is := is.New(t)
	tracker := poison.NewTracker()
	now := epoch
	for f := range uint64(1000) {
		now = now.Add(3 * time.Second)
		tracker.Begin("u", f)
		tracker.End(now, "u", f, poison.EndCrashed)
	}
	is.Equal(len(tracker.Suspects()), poison.MaxSuspects)
	is.True(tracker.Expire(now.Add(2 * poison.Retention)))
	is.Equal(len(tracker.Suspects()), 0)
}

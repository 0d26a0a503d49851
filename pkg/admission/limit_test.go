package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
)

// instance is an upstream with a true number of slots, in virtual time. A call
// over that number makes all of them slower, or is shed.
type instance struct {
	slots int
	sheds bool
}

// idle runs calls one at a time, from which the limit learns the usual time.
func idle(l *admission.Limit, calls int) {
	for i := range calls {
		l.Observe(epoch.Add(time.Duration(i)*service), admission.Sample{Took: service, Outcome: admission.OutcomeOK})
	}
}

// saturate keeps the limit's worth of calls running and returns the last limit
// and the mean over the second half.
func (u instance) saturate(l *admission.Limit, calls int) (last int, mean float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	now := epoch
	sum, n := 0, 0
	for i := range calls {
		running := l.Current()
		slow := max(1, float64(running)/float64(u.slots))
		took := time.Duration((0.5 + rnd.ExpFloat64()*0.5) * slow * float64(service))
		now = now.Add(time.Duration(slow * float64(service) / float64(running)))
		s := admission.Sample{Took: took, Outcome: admission.OutcomeOK, Saturated: true}
		if u.sheds && rnd.Float64() > float64(u.slots)/float64(running) {
			s = admission.Sample{Outcome: admission.OutcomeShed, Saturated: true}
		}
		l.Observe(now, s)
		if i > calls/2 {
			sum += l.Current()
			n++
		}
	}
	return l.Current(), float64(sum) / float64(n)
}

// The limit keeps to honest slots, falls below those that are too many and
// rises above those that are too few, but never over the connections. It needs
// to have seen the upstream at ease: one that was never so looks slow by nature.
func TestLimitFollowsTheUpstream(t *testing.T) {
	for _, tt := range []struct {
		name                  string
		upstream              instance
		announced, connection int
		low, high             float64
	}{
		{"honest", instance{slots: 9}, 9, 130, 8, 13},
		{"too many, slows down", instance{slots: 3}, 30, 130, 2, 12},
		{"too many, sheds", instance{slots: 3, sheds: true}, 9, 130, 1, 4},
		{"too few", instance{slots: 40}, 6, 110, 20, 60},
		{"few connections", instance{slots: 40}, 6, 10, 6, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := admission.NewLimit(tt.announced, tt.connection)
			idle(l, 200)
			_, mean := tt.upstream.saturate(l, 100_000)
			t.Logf("mean limit %.1f", mean)
			is.True(mean >= tt.low)
			is.True(mean <= tt.high)
		})
	}
}

// A limit that fell comes back to the slots when the upstream recovers.
func TestLimitRecovers(t *testing.T) {
	is := is.New(t)
	l := admission.NewLimit(9, 130)
	last, _ := instance{slots: 2, sheds: true}.saturate(l, 5_000)
	is.True(last < 9)
	last, _ = instance{slots: 9}.saturate(l, 5_000)
	is.True(last >= 9)
}

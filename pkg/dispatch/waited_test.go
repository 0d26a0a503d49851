package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While half of the requests are retries of refused callers, the estimated waiting time is
// accurate to the tolerance, and first attempts count as such.
func TestWaitedIsUsualMinusGiven(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const usual, tolerance = 1200 * time.Millisecond, 40 * time.Millisecond
	var u TypicalTimeout
	for range 5000 {
		waited := time.Duration(0)
		if random.Float64() < 0.5 {
			waited = time.Duration(100+random.IntN(400)) * time.Millisecond
		}
		got := u.EstimateWaited(usual - waited)
		is.True((got - waited).Abs() < tolerance)
	}
}

// A few callers with a timeout of a minute must not make all other requests look late.
func TestLongTimeoutsOfFewCallersAreIgnored(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var u TypicalTimeout
	for range 5000 {
		if random.Float64() < 0.1 {
			u.EstimateWaited(time.Minute)
			continue
		}
		is.True(u.EstimateWaited(1200*time.Millisecond) < 100*time.Millisecond)
	}
}

// When callers start to give less time, their requests count as first attempts again after
// some requests.
func TestUsualTimeFollowsItsCallers(t *testing.T) {
	is := is.New(t)
	var u TypicalTimeout
	u.EstimateWaited(3 * time.Second)
	for range 500 {
		u.EstimateWaited(time.Second)
	}
	is.Equal(u.EstimateWaited(time.Second), time.Duration(0))
}

// After a restart most of the first requests are retries. First attempts must be told apart
// from them after firstRequests requests.
func TestUsualTimeAfterARestart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	const usual = 5 * time.Second
	var u TypicalTimeout
	for i := range 100 {
		waited := time.Duration(0)
		if i < 5 || i < 60 && random.Float64() < 0.6 {
			waited = time.Duration(500+random.IntN(1500)) * time.Millisecond
		}
		got := u.EstimateWaited(usual - waited)
		is.True(i < firstRequests || (got-waited).Abs() < 250*time.Millisecond)
	}
}

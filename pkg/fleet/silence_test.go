package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// look plays the looks of a node at a contact, one each 150 ms, and returns when it was
// asked first and passed over first, and how often it was asked.
func look(heard func(now time.Duration) time.Duration, length time.Duration) (asked, passed time.Duration, asks int) {
	var s fleet.Silence
	start := time.Unix(0, 0)
	asked, passed = -1, -1
	for now := time.Duration(0); now < length; now += 150 * time.Millisecond {
		at := start.Add(heard(now))
		if s.Look(start.Add(now), at) {
			asks++
			if asked < 0 {
				asked = now
			}
		}
		if s.IsPassed(at) && passed < 0 {
			passed = now
		}
	}
	return asked, passed, asks
}

// Hosts lose power without a word: a contact that is gone is passed over before its
// followers would begin to read the store.
func TestContactWithoutPowerIsPassedOver(t *testing.T) {
	is := is.New(t)
	asked, passed, asks := look(func(time.Duration) time.Duration { return 0 }, 3*time.Second)
	is.True(asked > 0 && asked <= fleet.AskAfter+150*time.Millisecond)
	is.True(passed > 0 && passed <= fleet.RelayedFor+150*time.Millisecond)
	is.Equal(asks, 1)
}

// A contact that announces is never asked; one that has nothing to say while the store is
// away, or that answers slowly, is asked and stays; one that comes back is used again.
func TestLivingContactStays(t *testing.T) {
	is := is.New(t)
	every := func(d time.Duration) func(time.Duration) time.Duration {
		return func(now time.Duration) time.Duration { return now.Truncate(d) }
	}
	_, passed, asks := look(every(300*time.Millisecond), 10*time.Second)
	is.Equal(asks, 0)
	is.Equal(passed, time.Duration(-1))
	_, passed, asks = look(every(650*time.Millisecond), 10*time.Second) // asked after 450 ms, answers after 200 ms
	is.True(asks > 5)
	is.Equal(passed, time.Duration(-1))

	var s fleet.Silence
	start := time.Unix(0, 0)
	s.Look(start.Add(500*time.Millisecond), start)
	s.Look(start.Add(900*time.Millisecond), start)
	is.True(s.IsPassed(start))
	is.True(!s.IsPassed(start.Add(time.Second)))
}

package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// simulate checks a contact every 150 ms, where heard returns the time of the contact's last
// message. It returns when the contact was first probed and first excluded, or -1, and the
// number of probes.
func simulate(heard func(now time.Duration) time.Duration, length time.Duration) (probed, excluded time.Duration, probes int) {
	var s fleet.SilenceDetector
	start := time.Unix(0, 0)
	probed, excluded = -1, -1
	for now := time.Duration(0); now < length; now += 150 * time.Millisecond {
		at := start.Add(heard(now))
		if s.Check(start.Add(now), at) {
			probes++
			if probed < 0 {
				probed = now
			}
		}
		if s.IsExcluded(at) && excluded < 0 {
			excluded = now
		}
	}
	return probed, excluded, probes
}

// A host that loses power does not close its connections. Its followers probe it once and
// exclude it before they would begin to read the store themselves.
func TestContactWithoutPowerIsPassedOver(t *testing.T) {
	is := is.New(t)
	probed, excluded, probes := simulate(func(time.Duration) time.Duration { return 0 }, 3*time.Second)
	is.True(probed > 0 && probed <= fleet.ProbeAfter+150*time.Millisecond)
	is.True(excluded > 0 && excluded <= fleet.RelayedAnnouncementValidity+150*time.Millisecond)
	is.Equal(probes, 1)
}

// A contact that sends announcements is never probed. A contact that sends none, for example
// while the store is unavailable, is probed and stays in use if it answers, even slowly. An
// excluded contact is used again after its next message.
func TestLivingContactStays(t *testing.T) {
	is := is.New(t)
	messageEvery := func(d time.Duration) func(time.Duration) time.Duration {
		return func(now time.Duration) time.Duration { return now.Truncate(d) }
	}
	_, excluded, probes := simulate(messageEvery(300*time.Millisecond), 10*time.Second)
	is.Equal(probes, 0)
	is.Equal(excluded, time.Duration(-1))
	_, excluded, probes = simulate(messageEvery(650*time.Millisecond), 10*time.Second) // probed after 450 ms, answers after 200 ms
	is.True(probes > 5)
	is.Equal(excluded, time.Duration(-1))

	var s fleet.SilenceDetector
	start := time.Unix(0, 0)
	s.Check(start.Add(500*time.Millisecond), start)
	s.Check(start.Add(900*time.Millisecond), start)
	is.True(s.IsExcluded(start))
	is.True(!s.IsExcluded(start.Add(time.Second)))
}

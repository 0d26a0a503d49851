package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/suspect"
)

// crashOf returns the crash of a request in the given life of an upstream.
func crashOf(fingerprint uint64, life int) suspect.Crash {
	return suspect.Crash{Fingerprint: fingerprint, Life: suspect.Life{UpstreamID: "up", Born: int64(life)}}
}

// A request that was running at three crashes is refused. Requests that ran beside it
// complete elsewhere and are not refused.
func TestThirdCrashRefuses(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	const poison, bystander = 1, 2
	for crash := range 3 {
		is.True(!tracker.Refused(now, poison))
		is.Equal(tracker.RecordCrash(now, crashOf(poison, crash)), crash+1)
		is.Equal(tracker.RecordCrash(now, crashOf(poison, crash)), 0) // a crash counts once
		tracker.RecordCrash(now, crashOf(bystander, crash))
		tracker.Completed(now, bystander)
		now = now.Add(time.Second)
	}
	is.True(tracker.Refused(now, poison))
	is.True(!tracker.Refused(now, bystander))
	is.True(!tracker.Refused(now.Add(2*time.Minute), poison)) // the refusal expires
}

// Crashes that lie far apart do not add up to a refusal if the request completed between
// them: each completion clears the request, whenever the crash was.
func TestCompletionBetweenCrashesClears(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	for crash := range 5 {
		is.Equal(tracker.RecordCrash(now, crashOf(1, crash)), 1)
		is.True(tracker.Completed(now.Add(time.Minute), 1))
		is.True(!tracker.Completed(now.Add(time.Minute), 1))
		now = now.Add(time.Hour)
	}
	is.True(!tracker.Refused(now, 1))
}

// A completion of a request that is refused, such as of a run that began before the third
// crash, ends the refusal.
func TestCompletionEndsRefusal(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	for crash := range 3 {
		tracker.RecordCrash(now, crashOf(1, crash))
	}
	is.True(tracker.Refused(now, 1))
	is.True(tracker.Completed(now, 1))
	is.True(!tracker.Refused(now, 1))
}

// Upstreams that crash at once do not make a request suspect that completes all the time.
// One that has completed earlier and crashes upstreams now is refused.
func TestRequestInDemandIsNoSuspect(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	tracker.Completed(now, 1)
	for crash := range 4 {
		is.Equal(tracker.RecordCrash(now.Add(900*time.Millisecond), crashOf(1, crash)), 0)
	}
	is.True(!tracker.Refused(now.Add(time.Second), 1))
	now = now.Add(2 * time.Second)
	for crash := range 3 {
		is.Equal(tracker.RecordCrash(now, crashOf(1, 10+crash)), crash+1)
	}
	is.True(tracker.Refused(now, 1))
}

// A node that has just started learns from another one which requests crash upstreams, and
// refuses them as long as that one.
func TestNewTrackerLearnsCrashes(t *testing.T) {
	is := is.New(t)
	tracker, next := suspect.NewTracker(), suspect.NewTracker()
	start := time.Unix(0, 0)
	for crash := range 3 {
		tracker.RecordCrash(start, crashOf(1, crash))
	}
	tracker.RecordCrash(start, crashOf(2, 0))
	now := start.Add(40 * time.Second)
	for range 2 { // from two nodes
		for _, c := range tracker.Crashes(now) {
			next.RecordCrash(now, c)
		}
	}
	is.True(next.Refused(now, 1))
	is.True(!next.Refused(now, 2))
	is.Equal(next.RecordCrash(now, crashOf(2, 1)), 2)
	is.Equal(next.Refusals(now), tracker.Refusals(now))
	is.True(!next.Refused(start.Add(61*time.Second), 1))
}

// The number of crashes that a node sends is bounded, and those of refused requests come
// first.
func TestReportedCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	for crash := range 3 {
		tracker.RecordCrash(now, crashOf(1, crash))
	}
	for f := range uint64(1000) {
		tracker.RecordCrash(now.Add(time.Second), crashOf(10+f, 0))
	}
	list := tracker.Crashes(now.Add(time.Second))
	is.Equal(len(list), 256)
	for _, c := range list[:3] {
		is.Equal(c.Fingerprint, uint64(1))
		is.Equal(c.Age, time.Second)
	}
}

// Completions without end take a bounded amount of memory, and the last ones count.
func TestCompletionsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	for f := range uint64(100_000) {
		tracker.Completed(now.Add(time.Duration(f)*time.Millisecond), f)
	}
	now = now.Add(100 * time.Second)
	is.Equal(tracker.RecordCrash(now, crashOf(99_999, 1)), 0)
	is.Equal(tracker.RecordCrash(now, crashOf(1, 1)), 1)
}

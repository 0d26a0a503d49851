package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// In a large fleet the completion of a suspect is relayed once.
func TestCompletionReachesFollowers(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var first, second newsRecorder
	n.peers.handleNews("b-001", &link.StateUpdate{Subscribe: true}, first.record)
	const poison, page = 7, 8
	for born := range int64(3) {
		n.peers.handleNews("b-001", &link.StateUpdate{Crashes: []link.Crash{
			{Fingerprint: poison, UpstreamID: "u", Born: born}, {Fingerprint: page, UpstreamID: "u", Born: born},
		}}, first.record)
	}
	is.True(n.poisoned(poison))
	is.True(n.poisoned(page))
	n.peers.handleNews("b-002", &link.StateUpdate{Subscribe: true}, second.record)
	for range 2 { // along two connections
		n.peers.handleNews("b-001", &link.StateUpdate{Completed: []uint64{page, 9}}, first.record)
	}
	is.True(n.poisoned(poison))
	is.True(!n.poisoned(page))
	isCompletion := func(u *link.StateUpdate) bool { return len(u.Completed) > 0 }
	is.Equal(first.count(isCompletion), 0)
	is.Equal(second.count(isCompletion), 1)
}

// In a large fleet a node that follows this one, such as one that has just started, learns
// which requests crash upstreams.
func TestSuspectsReachFollowers(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var follower, back newsRecorder
	for born := range int64(3) {
		n.peers.handleNews("b-001", &link.StateUpdate{Crashes: []link.Crash{{Fingerprint: 7, UpstreamID: "u", Born: born}}}, back.record)
	}
	n.peers.handleNews("b-002", &link.StateUpdate{Subscribe: true}, follower.record)
	is.Equal(len(follower.news[0].Crashes), 3)
	restarted := newLargeNode(t)
	restarted.peers.handleNews("a", follower.news[0], back.record)
	is.True(restarted.poisoned(7))
	is.Equal(len(n.peers.greeting("b-003").Crashes), 3)
}

// A node tells the others once that a suspect has completed, and nothing of requests that are
// no suspects.
func TestCompletionOfSuspectIsReported(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var follower newsRecorder
	n.peers.handleNews("b-001", &link.StateUpdate{Subscribe: true}, follower.record)
	n.recordCrashes([]link.Crash{{Fingerprint: 7, UpstreamID: "u", Born: 1}}, "own upstream")
	for range 3 {
		n.requestCompleted(7)
		n.requestCompleted(8)
	}
	is.Equal(follower.count(func(u *link.StateUpdate) bool { return len(u.Completed) == 1 && u.Completed[0] == 7 }), 1)
	is.Equal(follower.count(func(u *link.StateUpdate) bool { return len(u.Completed) > 0 }), 1)
}

// The age of a crash that another node sends is bounded, whatever it sends.
func TestAgeOfCrashIsBounded(t *testing.T) {
	is := is.New(t)
	for _, age := range []int64{-1 << 63, -1, 1 << 62} {
		n := newUnstartedNode(t)
		for born := range int64(3) {
			n.recordCrashes([]link.Crash{{Fingerprint: 7, UpstreamID: "u", Born: born, AgeMs: age}}, "peer b")
		}
		crashes := n.suspects.Crashes(time.Now())
		is.Equal(len(crashes), 3)
		for _, c := range crashes {
			is.True(c.Age >= 0 && c.Age < 2*time.Minute)
		}
	}
}

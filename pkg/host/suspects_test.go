package host

import (
	"testing"

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

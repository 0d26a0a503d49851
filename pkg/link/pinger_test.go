package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The shorter timeout that applies when a call opens on an idle connection counts from the
// next ping. If it counted from the last frame, the connection would be lost at once.
func TestCallOnIdleConnectionPingsFirst(t *testing.T) {
	is := is.New(t)
	var p pinger
	received := 100 * time.Millisecond
	is.Equal(p.next(1900*time.Millisecond, received, false), noAction)
	is.Equal(p.next(2000*time.Millisecond, received, true), pingNow)
	is.Equal(p.next(2250*time.Millisecond, received, true), noAction)
	is.Equal(p.next(2500*time.Millisecond, 2260*time.Millisecond, true), noAction) // a frame came after the ping
	is.Equal(p.next(2750*time.Millisecond, 2260*time.Millisecond, true), pingNow)
}

// A silent peer is lost exactly one timeout after the ping. Silence before the ping doesn't
// shorten the timeout.
func TestSilentPeerIsLost(t *testing.T) {
	is := is.New(t)
	var p pinger
	is.Equal(p.next(2000*time.Millisecond, 0, false), pingNow)
	is.Equal(p.next(2250*time.Millisecond, 0, false), noAction)
	is.Equal(p.next(2000*time.Millisecond+deadAfter-1, 0, true), noAction)
	is.Equal(p.next(2000*time.Millisecond+deadAfter, 0, true), peerLost)
}

package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// firstBeat is a heartbeat that came while nothing was known of the upstream. It may
// have been on its way since before the upstream left.
type firstBeat struct {
	born, sequence int64
	at             time.Time
}

// beatGap is the least time after the first heartbeat at which another one shows that
// the upstream lives: those that were held up come together. Upstreams send one every
// 1.5 s.
const beatGap = time.Second

// confirms reports whether a heartbeat follows the first one, and notes it if it is the
// first.
func (f *firstBeat) confirms(now time.Time, b fleet.Beat) bool {
	if f.at.IsZero() || b.Born != f.born {
		*f = firstBeat{b.Born, b.Sequence, now}
		return false
	}
	return b.Sequence > f.sequence && now.Sub(f.at) >= beatGap
}

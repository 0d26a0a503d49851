package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// firstHeartbeat is a heartbeat that arrived while nothing was known of the upstream. It
// may have been sent before the upstream left and delayed since.
type firstHeartbeat struct {
	born, sequence int64
	at             time.Time
}

// minHeartbeatGap is the least time after the first heartbeat at which another one proves
// that the upstream is alive: delayed heartbeats arrive together. Upstreams send one every
// 1.5 s.
const minHeartbeatGap = time.Second

// confirms reports whether a heartbeat follows the first one of the same upstream process.
// If there is none yet, it stores this one as the first.
func (f *firstHeartbeat) confirms(now time.Time, b fleet.Heartbeat) bool {
	if f.at.IsZero() || b.Born != f.born {
		*f = firstHeartbeat{b.Born, b.Sequence, now}
		return false
	}
	return b.Sequence > f.sequence && now.Sub(f.at) >= minHeartbeatGap
}

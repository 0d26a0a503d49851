package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

func heartbeat(id string, born, sequence int64, state fleet.State) fleet.Heartbeat {
	return fleet.Heartbeat{Upstream: fleet.Upstream{ID: id, Born: born, Sequence: sequence, Service: "orders", Slots: 6, State: state}}
}

func removal(id string, born int64) fleet.Heartbeat {
	return fleet.Heartbeat{Upstream: fleet.Upstream{ID: id, Born: born}, Removed: true}
}

// An upstream process that reported that it is leaving or has ended does not become ready
// again, in whatever order its heartbeats arrive. A later start of the upstream does.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	const ready, leaving, gone = fleet.StateReady, fleet.StateLeaving, fleet.StateGone
	for name, tt := range map[string]struct {
		heartbeats []fleet.Heartbeat
		want       fleet.State
		id         string
	}{
		"ready, leaving, late ready":                       {[]fleet.Heartbeat{heartbeat("a", 1, 1, ready), heartbeat("a", 1, 3, leaving), heartbeat("a", 1, 2, ready)}, leaving, "a"},
		"leaving, then a later ready":                      {[]fleet.Heartbeat{heartbeat("a", 1, 1, leaving), heartbeat("a", 1, 2, ready)}, leaving, "a"},
		"removed, late ready":                              {[]fleet.Heartbeat{heartbeat("a", 1, 5, ready), removal("a", 1), heartbeat("a", 1, 6, ready)}, gone, "a"},
		"removed before anything was known":                {[]fleet.Heartbeat{removal("a", 1), heartbeat("a", 1, 6, ready)}, gone, "a"},
		"removed without a start time, nothing known":      {[]fleet.Heartbeat{removal("a", 0), heartbeat("a", 1, 6, ready)}, gone, "a"},
		"started again under the same id":                  {[]fleet.Heartbeat{heartbeat("a", 1, 5, ready), removal("a", 1), heartbeat("a", 2, 1, ready)}, ready, "a"},
		"late heartbeat of an earlier start":               {[]fleet.Heartbeat{heartbeat("b", 2, 1, ready), heartbeat("a", 1, 9, ready)}, ready, "b"},
		"late removal of an earlier start":                 {[]fleet.Heartbeat{heartbeat("b", 2, 1, ready), removal("a", 1)}, ready, "b"},
		"removal of another upstream without a start time": {[]fleet.Heartbeat{heartbeat("b", 2, 1, ready), removal("a", 0)}, ready, "b"},
		"removal of a later start":                         {[]fleet.Heartbeat{heartbeat("a", 1, 1, ready), removal("b", 2), heartbeat("b", 2, 1, ready)}, gone, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fleet.Upstream
			for _, b := range tt.heartbeats {
				u, _ = fleet.ApplyHeartbeat(u, b)
			}
			is.Equal(u.State, tt.want)
			is.Equal(u.ID, tt.id)
		})
	}
}

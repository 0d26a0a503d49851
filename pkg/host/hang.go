package host

import (
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// hang logs that the upstream of this host hangs when it is full, or that this is forgotten.
func (o *observer) hang(u fleet.Upstream, hangs bool) {
	e := event.UpstreamHangsNoMore
	if hangs {
		e = event.UpstreamHangs
	}
	o.log.Emit(e, event.F("upstream", u.ID), event.F("born", u.Born), event.F("slots", u.Slots))
}

package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

// silent is a membership that nobody reads.
type silent struct{ membership.Source }

func (silent) SetUpstreams([]model.Upstream) {}

// Upstreams that ended are forgotten, so that the list does not grow with every
// restart; one that crashed is not.
func TestStoppedUpstreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := New(settings.Settings{}, &snapshot.Holder{}, event.Discard(), metric.NewRegistry())
	s.ctx, s.cancel = t.Context(), func() {}
	s.members = silent{}
	for name, why := range map[string]trigger{"ended": triggerStop, "crashed": triggerCrash} {
		is.NoErr(s.Announce(model.Upstream{Name: name, Service: "s", Address: "127.0.0.1:1", Slots: 1}))
		i := s.instances[name]
		is.NoErr(s.fire(i, why))
		is.Equal(s.forget(i, i.changedAt), false)
		is.Equal(s.forget(i, i.changedAt.Add(time.Hour)), name == "ended")
	}
	is.Equal(len(s.List()), 1)
}

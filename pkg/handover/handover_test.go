package handover_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

type fakeRollout struct{ status rollout.Status }

func (f fakeRollout) Status() rollout.Status            { return f.status }
func (f fakeRollout) Applied() model.Version            { return f.status.Acceptance.Version }
func (f fakeRollout) Offer(model.NodeID, model.Version) {}

type fakeMembers struct{ membership.Source }

func (fakeMembers) View() *membership.View {
	return &membership.View{Members: map[model.NodeID]membership.Member{
		"a1": {Status: membership.StatusAlive},
	}}
}

func newCollector(platform handover.PlatformReader, status rollout.Status) *handover.Collector {
	return handover.NewCollector(handover.Sources{
		Node:       "a1",
		DataCentre: "cluj-1",
		Rollout:    fakeRollout{status},
		Members:    fakeMembers{},
		Quarantine: func() []handover.Quarantined { return nil },
		Platform:   platform,
		Progress: func(context.Context) []rollout.Progress {
			return []rollout.Progress{{DataCentre: "cluj-2", Version: 4, Members: 3, Applied: 2}}
		},
		PlatformTimeout: time.Second,
	})
}

func text(t *testing.T, r handover.Report) string {
	t.Helper()
	var out strings.Builder
	is.New(t).NoErr(r.WriteText(&out))
	return out.String()
}

// The platform answers once and then goes down: the report keeps what it said
// and tells its age.
func TestReportDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted := bundle.Acceptance{Version: 4, Bundle: "abc", Acceptor: "ioana", Preparer: "mihai", Time: time.Now()}
		var down error
		c := newCollector(func(context.Context) (handover.PlatformReading, error) {
			return handover.PlatformReading{
				Acceptance: accepted,
				Waiting:    []handover.Waiting{{Bundle: "def", Preparer: "mihai"}},
			}, down
		}, rollout.Status{Acceptance: accepted})

		is.Equal(c.Report(t.Context()).PlatformError, "")
		down = errors.New("platform: unavailable")
		time.Sleep(time.Hour)
		r := c.Report(t.Context())
		is.Equal(len(r.Waiting), 1)
		out := text(t, r)
		is.True(strings.Contains(out, "version 4, bundle abc"))
		is.True(strings.Contains(out, "ioana at"))
		is.True(strings.Contains(out, "last answered 1h0m0s ago: platform: unavailable"))
		is.True(strings.Contains(out, "version 4 on 2 of 3 nodes"))
	})
}

// A node that has applied an older version than the platform accepted says so.
func TestReportNamesTheNewestAcceptance(t *testing.T) {
	is := is.New(t)
	c := newCollector(func(context.Context) (handover.PlatformReading, error) {
		return handover.PlatformReading{Acceptance: bundle.Acceptance{Version: 5, Acceptor: "mihai"}}, nil
	}, rollout.Status{Acceptance: bundle.Acceptance{Version: 4, Acceptor: "ioana"}})
	out := text(t, c.Report(t.Context()))
	is.True(strings.Contains(out, "version 5"))
	is.True(strings.Contains(out, "a1 serves version 4"))
}

// A platform that never answered does not stop the report.
func TestReportWithoutAnyPlatformAnswer(t *testing.T) {
	is := is.New(t)
	c := newCollector(func(ctx context.Context) (handover.PlatformReading, error) {
		return handover.PlatformReading{}, errors.New("platform: unavailable")
	}, rollout.Status{})
	out := text(t, c.Report(t.Context()))
	is.True(strings.Contains(out, "no bundle yet"))
	is.True(strings.Contains(out, "never answered"))
}

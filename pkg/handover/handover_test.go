package handover_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// renderText returns the text of a report.
func renderText(t *testing.T, r handover.Report) string {
	t.Helper()
	var out strings.Builder
	is.New(t).NoErr(r.WriteText(&out))
	return out.String()
}

// During an outage of the store, the text must still show who accepted the version in
// force, how long ago the store last responded, and all problems that the node knows.
func TestReportDuringAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 3, 12, 12, 0, 0, 0, time.UTC)
	out := renderText(t, handover.Report{
		Node: "a1", DataCentre: "cluj-1", Time: now, Version: 4, Applied: now.Add(-time.Minute),
		Record: bundle.Head{
			Acceptance: bundle.Acceptance{Version: 4, Bundle: "abc", Acceptor: "ioana", Preparer: "mihai", Time: now.Add(-2 * time.Minute)},
			Recent:     []bundle.Acceptance{{Version: 3, Bundle: "def", Acceptor: "mihai"}},
		},
		Lead: "a2", StoreTime: now.Add(-time.Hour), Restored: now.Add(-3 * time.Hour),
		Refused:     &handover.Refusal{Revision: 9, Source: "store", Error: "no weight"},
		Hosts:       map[string]int{"ready": 6, "leaving": 1},
		Unreachable: []string{"b1", "b2", "b3", "b4", "b5", "b6"},
		Suspects:    []handover.Suspect{{Fingerprint: "00ff", Crashes: 3}},
	})
	for _, want := range []string{
		"version 4, bundle abc", "ioana at 2026-03-12 11:58:00 UTC (2m0s ago)", "a1 in cluj-1, for 1m0s", "answered 1h0m0s ago, read by a2", "restored from an older copy 3h0m0s ago",
		"version 3, bundle def, accepted by mihai", "revision 9 from store", "no weight", "request 00ff after 3 crashes",
		"b1, b2, b3, b4, b5 and 1 more", "1 leaving, 6 ready",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("the text of the report lacks %q:\n%s", want, out)
		}
	}
	is.True(strings.Contains(renderText(t, handover.Report{}), "no version yet"))
	is.True(!strings.Contains(renderText(t, handover.Report{}), "restored"))
	is.True(strings.Contains(renderText(t, handover.Report{Version: 12}), "version 12, written without a sign-off"))
}

// Nodes that do not respond or have an older version must be listed as behind, each with
// its reason. A node with a newer version counts as applied.
func TestSummarize(t *testing.T) {
	is := is.New(t)
	answer := func(dc, node string, v model.Version, err error) handover.QueryResult {
		return handover.QueryResult{Host: handover.Host{Node: node, DataCentre: dc}, Report: handover.Report{Version: v}, Err: err}
	}
	refused := answer("b", "b2", 1, nil)
	refused.Report.Refused = &handover.Refusal{Error: "bad signature"}
	list := handover.Summarize(2, []handover.QueryResult{
		refused, answer("b", "b1", 0, errors.New("no route")), answer("a", "a1", 2, nil), answer("a", "a2", 3, nil), answer("b", "b3", 1, nil),
	})
	is.Equal(list, []handover.Progress{
		{DataCentre: "a", Nodes: 2, Applied: 2, Behind: []handover.LaggingNode{}},
		{DataCentre: "b", Nodes: 3, Behind: []handover.LaggingNode{
			{Node: "b1", Reason: "no route"}, {Node: "b2", Version: 1, Reason: "refused: bad signature"}, {Node: "b3", Version: 1, Reason: "it has not come yet"},
		}},
	})
}

// The text must distinguish a record that cannot be decoded from a version that was
// written without a sign-off.
func TestReportWithAnUnreadableRecord(t *testing.T) {
	is := is.New(t)
	out := renderText(t, handover.Report{Node: "a1", Version: 7, RecordError: "bundle: unexpected end"})
	is.True(strings.Contains(out, "version 7, its record cannot be read: bundle: unexpected end"))
	is.True(!strings.Contains(out, "without a sign-off"))
}

package history_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

func TestKeptPromisesPass(t *testing.T) {
	is := is.New(t)
	var h history.History
	h.Answered(history.Attempt{ID: "1", Key: "k", Intent: "i", Effect: reason.NotRun})
	h.Ran(history.Run{Attempt: "2", Key: "k", Body: "ok"})
	h.Answered(history.Attempt{ID: "2", Key: "k", Intent: "i", Effect: reason.Unknown})
	h.Answered(history.Attempt{ID: "3", Key: "k", Intent: "i", Effect: reason.Run, Body: "ok"})
	h.Answered(history.Attempt{ID: "4", Effect: reason.Run, Body: "page"})
	h.Ran(history.Run{Attempt: "5"})
	h.Ran(history.Run{Attempt: "6"})
	is.True(!h.Check().Broken())
}

// Each broken promise is found, and under its own name.
func TestBrokenPromisesAreFound(t *testing.T) {
	run := history.Run{Attempt: "1", Key: "k", Body: "ok"}
	tests := []struct {
		name     string
		attempts []history.Attempt
		runs     []history.Run
		count    func(history.Report) int
	}{
		{"twice", nil, []history.Run{run, {Attempt: "2", Key: "k"}}, func(r history.Report) int { return r.RunTwice }},
		{"not run", []history.Attempt{{ID: "1", Key: "k", Effect: reason.NotRun}}, []history.Run{run}, func(r history.Report) int { return r.NotRunRan }},
		{"not run, no key", []history.Attempt{{ID: "1", Effect: reason.NotRun}}, []history.Run{{Attempt: "1"}}, func(r history.Report) int { return r.NotRunRan }},
		{"intent", []history.Attempt{{ID: "1", Key: "k", Intent: "i", Effect: reason.Unknown}, {ID: "2", Key: "l", Intent: "i", Effect: reason.Run}},
			[]history.Run{run, {Attempt: "2", Key: "l"}}, func(r history.Report) int { return r.IntentTwice }},
		{"missing", []history.Attempt{{ID: "1", Key: "k", Effect: reason.Run}}, nil, func(r history.Report) int { return r.RunMissing }},
		{"answer", []history.Attempt{{ID: "1", Key: "k", Effect: reason.Run, Body: "other"}}, []history.Run{run}, func(r history.Report) int { return r.WrongAnswer }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var h history.History
			for _, a := range test.attempts {
				h.Answered(a)
			}
			for _, r := range test.runs {
				h.Ran(r)
			}
			report := h.Check()
			is.True(report.Broken())
			is.Equal(test.count(report), 1)
			is.Equal(len(report.Faults), 1)
		})
	}
}

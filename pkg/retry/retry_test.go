package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/retry"
)

func anyTry(t *rapid.T) retry.Try {
	entries := reason.Catalogue()
	e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "reason")]
	return retry.Try{
		Number:     rapid.IntRange(1, 6).Draw(t, "number"),
		Attempts:   rapid.IntRange(1, 6).Draw(t, "attempts"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Replayable: rapid.Bool().Draw(t, "replayable"),
		Nested:     rapid.Bool().Draw(t, "nested"),
		Reason:     e.Reason,
		Effect:     rapid.SampledFrom([]reason.Effect{reason.NotRun, reason.Run, reason.Unknown}).Draw(t, "effect"),
		Remaining:  time.Duration(rapid.IntRange(-5, 20).Draw(t, "remaining")) * time.Millisecond,
	}
}

func TestOnlyNotRunIsRetriedForOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		try := anyTry(t)
		v := retry.Decide(try)
		switch {
		case v == retry.Stop:
		case !try.Idempotent && try.Effect != reason.NotRun:
			t.Fatalf("%+v is tried again though it may have run", try)
		case !try.Replayable, try.Remaining <= 0:
			t.Fatalf("%+v is tried again though it cannot be sent", try)
		case v == retry.Paid && (try.Nested || try.Number >= try.Attempts):
			t.Fatalf("%+v is tried too often", try)
		case v == retry.Free && (try.Effect != reason.NotRun || !retry.IsFree(try.Reason) || try.Number > 3):
			t.Fatalf("%+v is tried for nothing", try)
		}
	})
}

// Several tries tell "not run" only if each of them does.
func TestTriesTogetherAreNotRunOnlyIfAllAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effects := rapid.SliceOfN(rapid.SampledFrom([]reason.Effect{reason.NotRun, reason.Run, reason.Unknown}), 1, 5).Draw(t, "effects")
		together, ran := reason.NotRun, false
		for _, e := range effects {
			together = retry.Together(together, e)
			ran = ran || e != reason.NotRun
		}
		if ran == (together == reason.NotRun) {
			t.Fatalf("%v together are %q", effects, together)
		}
		if last := effects[len(effects)-1]; last == reason.Run && together != reason.Run {
			t.Fatalf("%v together are %q", effects, together)
		}
	})
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(1, 100).Draw(t, "percent")
		b := retry.NewBudget()
		calls, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "call") {
				b.Call(percent)
				calls++
				continue
			}
			if b.Take() {
				retries++
			}
		}
		if float64(retries) > 10+float64(calls*percent)/100+1e-6 {
			t.Fatalf("%d retries for %d calls at %d%%", retries, calls, percent)
		}
	})
}

// chain runs one call through levels of services of which every try at the last
// one fails with a broken reply, and counts the tries at each level. A level
// whose inner call failed answers with a broken reply itself, which is the worst
// case: a whole error answer would not be retried at all.
func chain(level, depth, attempts int, retried, marks bool, counts []int) {
	for number := 1; ; number++ {
		counts[level]++
		if level+1 < depth {
			chain(level+1, depth, attempts, marks && (retried || number > 1), marks, counts)
		}
		v := retry.Decide(retry.Try{
			Number: number, Attempts: attempts, Idempotent: true, Replayable: true, Nested: retried,
			Reason: reason.ReplyBroken, Effect: reason.Unknown, Remaining: time.Second,
		})
		if v == retry.Stop {
			return
		}
	}
}

// In a chain ten deep the retries add up and do not multiply.
func TestRetriesOfADeepChainAddUp(t *testing.T) {
	is := is.New(t)
	const depth, attempts = 10, 2
	marked := make([]int, depth)
	chain(0, depth, attempts, false, true, marked)
	unmarked := make([]int, depth)
	chain(0, depth, attempts, false, false, unmarked)
	t.Logf("calls at the last level: %d with marks, %d without", marked[depth-1], unmarked[depth-1])
	wantMarked, wantUnmarked := retry.WorstCase(attempts, depth)
	is.Equal(marked[depth-1], wantMarked)
	is.Equal(unmarked[depth-1], wantUnmarked)
	is.Equal(wantMarked, 11)
	is.Equal(wantUnmarked, 1024)
}

package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/budget"
)

func TestBackoffRetriesOnlyWhatHadNoEffect(t *testing.T) {
	b := budget.Backoff{Attempts: 3, Base: 100 * time.Millisecond, Max: 150 * time.Millisecond}
	limited := fmt.Errorf("x: %w", &platform.RateLimitError{RetryAfter: time.Second})
	cases := []struct {
		call    budget.Call
		attempt int
		err     error
		pause   time.Duration
		again   bool
	}{
		{budget.CallGet, 1, platform.ErrUnavailable, 50 * time.Millisecond, true},
		{budget.CallPut, 2, platform.ErrUnavailable, 75 * time.Millisecond, true},
		{budget.CallPut, 3, platform.ErrUnavailable, 0, false},
		{budget.CallPut, 1, limited, 1050 * time.Millisecond, true},
		{budget.CallPut, 1, platform.ErrUnknownOutcome, 0, false},
		{budget.CallPut, 1, platform.ErrConflict, 0, false},
		{budget.CallGet, 1, platform.ErrNotFound, 0, false},
		{budget.CallGet, 1, platform.ErrRefused, 0, false},
		{budget.CallWatch, 1, platform.ErrUnavailable, 0, false},
		{budget.CallGet, 1, nil, 0, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %d %v", c.call, c.attempt, c.err), func(t *testing.T) {
			is := is.New(t)
			pause, again := b.Next(c.call, c.attempt, c.err, 0.5)
			is.Equal(again, c.again)
			is.Equal(pause, c.pause)
		})
	}
}

func TestRetryBudgetIsAShareOfTheCalls(t *testing.T) {
	is := is.New(t)
	c := budget.NewRetryBudget(0.25, 1)
	is.True(c.Withdraw()) // it starts full
	is.True(!c.Withdraw())
	for range 3 {
		c.Deposit()
	}
	is.True(!c.Withdraw())
	c.Deposit()
	is.True(c.Withdraw())
}

func TestCircuit(t *testing.T) {
	is := is.New(t)
	var seen []budget.CircuitState
	c := budget.NewCircuit(2, 4*time.Second, 6*time.Second, func(_, to budget.CircuitState) { seen = append(seen, to) })
	now := time.Unix(0, 0)
	c.Fail(now, 0.5)
	c.Pass() // failures count in a row only
	c.Fail(now, 0.5)
	is.True(c.Allow(now))
	c.Fail(now, 0.5) // open for 2s and half of the other 2s
	is.True(!c.Allow(now.Add(2999 * time.Millisecond)))
	now = now.Add(3 * time.Second)
	is.True(c.Allow(now))
	is.True(!c.Allow(now)) // one probe at a time
	c.Abandon()
	is.True(c.Allow(now)) // its caller went away: the next call probes
	c.Fail(now, 0)        // open for half of 6s, the longest
	is.True(!c.Allow(now.Add(2999 * time.Millisecond)))
	is.True(c.Allow(now.Add(3 * time.Second)))
	c.Pass()
	is.True(c.Allow(now))
	is.Equal(seen, []budget.CircuitState{
		budget.CircuitOpen, budget.CircuitProbing, budget.CircuitOpen,
		budget.CircuitProbing, budget.CircuitOpen, budget.CircuitProbing, budget.CircuitClosed,
	})
}

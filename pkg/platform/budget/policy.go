package budget

import (
	"errors"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Call names a method of the store, for metrics and decisions.
type Call string

// The calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
)

// Result names the outcome of a call, for metrics.
type Result string

// The results.
const (
	ResultOK             Result = "ok"
	ResultConflict       Result = "conflict"
	ResultNotFound       Result = "not-found"
	ResultUnavailable    Result = "unavailable"
	ResultRateLimited    Result = "rate-limited"
	ResultUnknownOutcome Result = "unknown-outcome"
	ResultCompacted      Result = "compacted"
	ResultTooLarge       Result = "too-large"
	ResultRefused        Result = "refused"
	ResultOther          Result = "other"
)

// ResultOf returns the result that an error of the store stands for.
func ResultOf(err error) Result {
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, platform.ErrConflict):
		return ResultConflict
	case errors.Is(err, platform.ErrNotFound):
		return ResultNotFound
	case errors.Is(err, platform.ErrUnknownOutcome):
		return ResultUnknownOutcome
	case errors.Is(err, platform.ErrRateLimited):
		return ResultRateLimited
	case errors.Is(err, platform.ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, platform.ErrCompacted):
		return ResultCompacted
	case errors.Is(err, platform.ErrTooLarge):
		return ResultTooLarge
	case errors.Is(err, platform.ErrRefused):
		return ResultRefused
	}
	return ResultOther
}

// reachedPlatform reports whether the platform itself gave the result.
func (r Result) reachedPlatform() bool {
	switch r {
	case ResultUnavailable, ResultUnknownOutcome, ResultOther:
		return false
	}
	return true
}

// Backoff decides on retries. It is pure.
type Backoff struct {
	// Attempts is the largest number of tries of one call.
	Attempts int
	// Base is the bound of the first pause; it doubles up to Max.
	Base, Max time.Duration
}

// Next decides what follows the given attempt, counted from 1. Only calls that
// had no effect are tried again, and a watch never: its caller opens it anew.
// The pause is a random part of the bound, by random in [0, 1), and not shorter
// than the platform asks for.
func (b Backoff) Next(call Call, attempt int, err error, random float64) (pause time.Duration, again bool) {
	result := ResultOf(err)
	if call == CallWatch || attempt >= b.Attempts || (result != ResultUnavailable && result != ResultRateLimited) {
		return 0, false
	}
	pause = time.Duration(random * float64(b.bound(attempt)))
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		pause += limited.RetryAfter
	}
	return pause, true
}

func (b Backoff) bound(attempt int) time.Duration {
	bound := b.Base
	for range attempt - 1 {
		bound = min(2*bound, b.Max)
	}
	return bound
}

// RetryBudget bounds retries to a share of the calls. It is pure and not safe for
// concurrent use.
type RetryBudget struct {
	// Share is what each call adds, for example 0.1 for a retry in ten calls.
	Share float64
	// Limit bounds the retries that are saved up.
	Limit float64
	saved float64
}

// NewRetryBudget returns a budget that is full.
func NewRetryBudget(share, limit float64) *RetryBudget {
	return &RetryBudget{Share: share, Limit: limit, saved: limit}
}

// Deposit adds the share of one call.
func (c *RetryBudget) Deposit() { c.saved = min(c.saved+c.Share, c.Limit) }

// Withdraw takes one retry and reports whether the budget had one left.
func (c *RetryBudget) Withdraw() bool {
	if c.saved < 1 {
		return false
	}
	c.saved--
	return true
}

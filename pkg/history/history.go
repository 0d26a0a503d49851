// Package history checks what callers were told of their orders against what
// the upstreams ran: each key runs at most once, and what was answered "not
// run" did not run.
package history

import (
	"fmt"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Attempt is one sending of an order by its caller.
type Attempt struct {
	// ID is unique among all attempts and reaches the upstream with the call.
	ID string
	// Calls other than orders have neither key nor intent.
	// Key is the Idempotency-Key; Intent is what the caller wants done once. A
	// caller uses a second key for an intent only if every attempt with the
	// first one was answered not run.
	Key, Intent string
	// Effect is what the caller was told; unknown if there was no whole answer.
	Effect reason.Effect
	// Replayed tells that the answer was a stored outcome.
	Replayed bool
	// Body is the body of the answer.
	Body string
}

// Run is one execution of an attempt on an upstream, whole or begun.
type Run struct {
	Attempt string
	Key     string
	// Body is the answer that the upstream gave.
	Body string
}

// History collects attempts and runs. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	attempts []Attempt
	runs     []Run
}

// Answered adds an attempt with the answer that its caller received.
func (h *History) Answered(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

// Ran adds an execution.
func (h *History) Ran(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

// Report is the result of a check.
type Report struct {
	Attempts int `json:"attempts"`
	Runs     int `json:"runs"`
	// RunTwice counts keys that ran more than once.
	RunTwice int `json:"runTwice"`
	// NotRunRan counts attempts that were answered not run and ran.
	NotRunRan int `json:"notRunRan"`
	// IntentTwice counts intents that ran more than once under several keys.
	IntentTwice int `json:"intentTwice"`
	// RunMissing counts attempts answered run of keys that never ran.
	RunMissing int `json:"runMissing"`
	// WrongAnswer counts answers that are not those of the key's run.
	WrongAnswer int `json:"wrongAnswer"`
	// Faults describes the first few of them.
	Faults []string `json:"faults,omitempty"`
}

// maxFaults bounds the faults that a report describes.
const maxFaults = 10

// Broken reports whether any promise was broken.
func (r Report) Broken() bool {
	return r.RunTwice+r.NotRunRan+r.IntentTwice+r.RunMissing+r.WrongAnswer > 0
}

func (r *Report) fault(count *int, format string, args ...any) {
	*count++
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// Check compares all attempts with all runs.
func (h *History) Check() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Attempts: len(h.attempts), Runs: len(h.runs)}
	byKey := make(map[string]Run)
	byAttempt := make(map[string]bool)
	count := make(map[string]int)
	for _, run := range h.runs {
		byAttempt[run.Attempt] = true
		if run.Key != "" {
			byKey[run.Key] = run
			count[run.Key]++
		}
	}
	for key, n := range count {
		if n > 1 {
			r.fault(&r.RunTwice, "key %q ran %d times", key, n)
		}
	}
	keys := make(map[string]map[string]bool)
	for _, a := range h.attempts {
		r.checkAttempt(a, byKey, byAttempt)
		if a.Key == "" {
			continue
		}
		if keys[a.Intent] == nil {
			keys[a.Intent] = make(map[string]bool)
		}
		keys[a.Intent][a.Key] = true
	}
	for intent, ks := range keys {
		ran := 0
		for key := range ks {
			ran += min(count[key], 1)
		}
		if intent != "" && ran > 1 {
			r.fault(&r.IntentTwice, "intent %q ran under %d keys", intent, ran)
		}
	}
	return r
}

func (r *Report) checkAttempt(a Attempt, byKey map[string]Run, byAttempt map[string]bool) {
	run, ran := byKey[a.Key]
	switch {
	case a.Effect == reason.NotRun && byAttempt[a.ID]:
		r.fault(&r.NotRunRan, "attempt %q of key %q was answered not run and ran", a.ID, a.Key)
	case a.Key == "":
	case a.Effect == reason.Run && !ran:
		r.fault(&r.RunMissing, "attempt %q of key %q was answered run and never ran", a.ID, a.Key)
	case a.Effect == reason.Run && a.Body != "" && a.Body != run.Body:
		r.fault(&r.WrongAnswer, "attempt %q of key %q got the answer of another run", a.ID, a.Key)
	}
}

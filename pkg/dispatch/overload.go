package dispatch

import (
	"net/http"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/chain"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// maxOverloadRetryAfter bounds the retry delay of requests that are refused because calls fail.
const maxOverloadRetryAfter = 2 * time.Second

// overload decides which new requests are refused because the calls that they would make fail.
type overload struct {
	mu sync.Mutex
	chain.Admission
}

// callStarted records a nested call at its parent.
func (s *Service) callStarted(r *request) {
	if r.call.Nested {
		s.options.Parents.CallStarted(r.parentID, r.service)
	}
}

// refusedForCalls reports whether a new request is refused because calls of its route fail, and
// sets its retry delay. Nested calls are never refused for this: their parent runs already.
func (s *Service) refusedForCalls(r *request) bool {
	if r.call.Nested {
		return false
	}
	now := time.Now()
	s.overload.mu.Lock()
	v := s.overload.Arrive(now, r.route.Name, r.call.Priority)
	s.overload.mu.Unlock()
	if v.Changed && s.options.OnCallsOverload != nil {
		s.options.OnCallsOverload(r.route.Name, v.Service, v.Share)
	}
	if !v.Refused {
		return false
	}
	s.mu.Lock()
	mean := s.meanTimes[r.route.Name]
	s.mu.Unlock()
	r.retryAfter = overloadRetryAfter(r.target.Sub(now), mean)
	return true
}

// overloadRetryAfter returns the time after which a caller should return that has left until
// its target and whose answer takes the mean time: half of the time that it can spare.
func overloadRetryAfter(left, mean time.Duration) time.Duration {
	return min(max((left-mean)/2, minRetryAfter), maxOverloadRetryAfter)
}

// recordCalls records how a request ended, for the refusals of later ones: a nested call at its
// parent, and a new request that ran with the services that it called.
func (s *Service) recordCalls(r *request, rec *Record) {
	failed := rec.Outcome != link.Ran || rec.Status >= http.StatusInternalServerError && anyFailed(r.called)
	switch {
	case r.call.Nested:
		s.options.Parents.CallEnded(r.parentID, r.service, failed)
	case rec.Outcome != link.NotRun && r.route != nil:
		uses := make([]chain.Use, 0, len(r.called))
		for _, c := range r.called {
			uses = append(uses, chain.Use{Service: c.Service, Failed: c.Failed})
		}
		s.overload.mu.Lock()
		s.overload.Ended(time.Now(), r.route.Name, uses, rec.Outcome != link.Ran || rec.Status >= http.StatusInternalServerError)
		s.overload.mu.Unlock()
	}
}

// anyFailed reports whether a call to one of the services failed.
func anyFailed(called []link.CalledService) bool {
	for _, c := range called {
		if c.Failed {
			return true
		}
	}
	return false
}

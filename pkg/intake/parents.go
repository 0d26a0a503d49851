package intake

import (
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// maxParents bounds the running requests whose calls are recognised. The calls of further
	// ones are served like new requests.
	maxParents = 4096
	// maxNestedCalls is the number of calls of one running request that go before new
	// requests. A caller that learns the id of a running request gains no more than that.
	maxNestedCalls = 16
	// maxCalledServices bounds the services that an answer names as called by its request.
	maxCalledServices = 8
)

// Parent describes a running request to the calls that it makes.
type Parent struct {
	Priority     int
	Organisation string
	Weight       float64
	// SoftDeadline is when the answer of the request becomes late, and Deadline when it becomes
	// useless.
	SoftDeadline, Deadline time.Time
}

// parents holds the requests that run at the upstream, by the ids that their callers gave
// them. The zero value is ready for use. It is safe for concurrent use.
type parents struct {
	mu   sync.Mutex
	byID map[string]*runningParent
}

// runningParent is a running request. Tries of one request may run at the same time.
type runningParent struct {
	Parent
	tries, calls int
	// called holds the services that the request called.
	called map[string]*calledService
}

// calledService counts the calls of a running request to a service: those that have not ended
// and those that were refused or late.
type calledService struct{ open, failed int }

// begin adds a request, and returns a function that removes it.
func (p *parents) begin(id string, parent Parent) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	switch {
	case id == "":
		return func() {}
	case r != nil:
		r.tries++
	case len(p.byID) >= maxParents:
		return func() {}
	default:
		if p.byID == nil {
			p.byID = make(map[string]*runningParent)
		}
		r = &runningParent{Parent: parent, tries: 1}
		p.byID[id] = r
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if r.tries--; r.tries == 0 {
			delete(p.byID, id)
		}
	}
}

// nest counts a call of the request with the given id, and returns the request and the number
// of its calls, 0 if it does not run.
func (p *parents) nest(id string) (Parent, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	if r == nil {
		return Parent{}, 0
	}
	r.calls++
	return r.Parent, r.calls
}

// callStarted records that a running request calls a service.
func (p *parents) callStarted(id, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	if r == nil {
		return
	}
	c := r.called[service]
	if c == nil {
		if len(r.called) >= maxCalledServices {
			return
		}
		if r.called == nil {
			r.called = make(map[string]*calledService)
		}
		c = &calledService{}
		r.called[service] = c
	}
	c.open++
}

// callEnded records the end of a call.
func (p *parents) callEnded(id, service string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	if r == nil || r.called[service] == nil {
		return
	}
	c := r.called[service]
	c.open--
	if failed {
		c.failed++
	}
}

// called returns the services that a running request called. If the request failed, a call
// that has not ended counts as late: the upstream gave up on it.
func (p *parents) called(id string, failed bool) []link.CalledService {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	if r == nil {
		return nil
	}
	var all []link.CalledService
	for service, c := range r.called {
		all = append(all, link.CalledService{Service: service, Failed: failed && c.failed+c.open > 0})
	}
	return all
}

// CallStarted records that the running request with the given id calls a service.
func (s *Service) CallStarted(parentID, service string) { s.parents.callStarted(parentID, service) }

// CallEnded records the end of a call. failed reports that it was refused or late.
func (s *Service) CallEnded(parentID, service string, failed bool) {
	s.parents.callEnded(parentID, service, failed)
}

// Nest returns the request with the given id if it runs at the upstream, and counts one nested
// call of it. It returns false if there is no such request, or if the request has made
// more than maxNestedCalls calls.
func (s *Service) Nest(parentID string) (Parent, bool) {
	p, calls := s.parents.nest(parentID)
	if calls <= maxNestedCalls {
		return p, calls > 0
	}
	if s.options.OnNestedExcess != nil {
		s.options.OnNestedExcess(parentID, calls, calls == maxNestedCalls+1)
	}
	return Parent{}, false
}

// parentOf describes a call to the calls that it makes while it runs.
func parentOf(c *link.Call, deadline time.Time) Parent {
	remaining, left := time.Duration(c.RemainingMs)*time.Millisecond, time.Duration(c.LatencyTargetMs)*time.Millisecond
	return Parent{Priority: c.Priority, Organisation: c.Organisation, Weight: c.Weight, SoftDeadline: deadline.Add(left - remaining), Deadline: deadline}
}

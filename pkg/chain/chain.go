// Package chain decides how many new requests are refused because the calls that such requests
// make to other services fail.
//
// It is meant for a scarce service behind several others: a request whose call is refused has
// used a slot in vain, and its caller cannot send it again, while a request that is refused
// at once can return later. It has no clock and does no I/O: the time is an argument.
package chain

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which a request counts half. A longer one would refuse
	// requests for too long after the calls succeed again.
	halfLife = 2 * time.Second
	// decayStep is the shortest time between two updates of the decaying counts.
	decayStep = 100 * time.Millisecond
	// refusedPerLost is the number of requests that are refused for each one that was lost.
	// With 3, a service without a queue that could not take 0.17 of the requests had 0.22 of
	// them refused and 0.08 lost, so that a fifth of it was not used.
	refusedPerLost = 1.5
	// tolerated is the number of recent losses for which nothing is refused. A node sees few
	// requests of a route, so one loss says little.
	tolerated = 1.0
	// maxRefused is the largest share of a route that is refused. The rest show whether calls
	// succeed again, and keep the route from being served less than a quarter as often as all.
	maxRefused = 0.7
	// minRefused is the share below which nothing is refused.
	minRefused = 0.02
	// maxRoutes and maxServices bound the routes that are tracked and the services of each.
	maxRoutes, maxServices = 512, 8
	// forgetBelow is the number of decayed requests below which a route or service is
	// forgotten.
	forgetBelow = 0.05
)

// Use describes the calls that a request made to a service.
type Use struct {
	Service string
	// Failed reports that a call was refused or late.
	Failed bool
}

// Admission tracks the requests of the routes at one node. The zero value is ready for use. It
// is not safe for concurrent use.
type Admission struct {
	routes    map[string]*route
	decayedAt time.Time
}

// route holds the decaying counts of a route.
type route struct {
	priority int
	// asked counts the requests that arrived, ended those that ran.
	asked, ended float64
	services     map[string]*calls
	// credit adds up the refused share of the requests, so that exactly this share is refused.
	credit float64
	// refused is the share that was refused at the last request.
	refused float64
}

// calls counts the requests of a route that called a service, and those lost because a call to
// it failed.
type calls struct{ made, lost float64 }

// Verdict is the decision on a new request.
type Verdict struct {
	Refused bool
	// Share is the share of the route that is refused, because of calls to Service.
	Share   float64
	Service string
	// Changed is set if the route starts or stops being refused.
	Changed bool
}

// Arrive counts a new request and decides whether it is refused.
func (a *Admission) Arrive(now time.Time, name string, priority int) Verdict {
	a.decay(now)
	r := a.routes[name]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			return Verdict{}
		}
		if a.routes == nil {
			a.routes = make(map[string]*route)
		}
		r = &route{services: make(map[string]*calls)}
		a.routes[name] = r
	}
	r.priority = priority
	r.asked++
	var v Verdict
	for service := range r.services {
		if share := a.refusedShare(r, service); share > v.Share || share == v.Share && share > 0 && service < v.Service {
			v.Share, v.Service = share, service
		}
	}
	if v.Share < minRefused {
		v.Share, v.Service = 0, ""
	}
	v.Changed = (v.Share > 0) != (r.refused > 0)
	r.refused = v.Share
	if v.Share == 0 {
		r.credit = 0
		return v
	}
	r.credit += v.Share
	if r.credit >= 1 {
		r.credit--
		v.Refused = true
	}
	return v
}

// Ended counts a request that ran, with the services that it called. lost reports that it
// failed.
func (a *Admission) Ended(now time.Time, name string, uses []Use, lost bool) {
	a.decay(now)
	r := a.routes[name]
	if r == nil {
		return
	}
	r.ended++
	for _, u := range uses {
		c := r.services[u.Service]
		if c == nil {
			if len(r.services) >= maxServices {
				continue
			}
			c = &calls{}
			r.services[u.Service] = c
		}
		c.made++
		if lost && u.Failed {
			c.lost++
		}
	}
}

// refusedShare returns the share of a route's requests that is refused because of failed calls
// to a service. The least urgent routes that call it are refused first.
func (a *Admission) refusedShare(r *route, service string) float64 {
	lost := 0.0
	callers := make([]*route, 0, len(a.routes))
	for _, other := range a.routes {
		if c := other.services[service]; c != nil {
			lost += c.lost
			callers = append(callers, other)
		}
	}
	surplus := refusedPerLost * (lost - tolerated)
	if surplus <= 0 {
		return 0
	}
	slices.SortFunc(callers, func(x, y *route) int { return y.priority - x.priority })
	for i := 0; i < len(callers); {
		demand, priority := 0.0, callers[i].priority
		for ; i < len(callers) && callers[i].priority == priority; i++ {
			c := callers[i]
			demand += c.asked * min(1, c.services[service].made/max(c.ended, 1))
		}
		share := min(maxRefused, surplus/max(demand, 1))
		if priority == r.priority {
			return share
		}
		if surplus -= share * demand; surplus <= 0 {
			return 0
		}
	}
	return 0
}

// Len returns the number of tracked routes.
func (a *Admission) Len() int { return len(a.routes) }

// decay reduces all counts by the time since the last reduction, and forgets routes and
// services without requests.
func (a *Admission) decay(now time.Time) {
	age := now.Sub(a.decayedAt)
	if age < decayStep {
		return
	}
	a.decayedAt = now
	keep := math.Exp2(-float64(age) / float64(halfLife))
	for name, r := range a.routes {
		r.asked, r.ended = r.asked*keep, r.ended*keep
		for service, c := range r.services {
			c.made, c.lost = c.made*keep, c.lost*keep
			if c.made < forgetBelow {
				delete(r.services, service)
			}
		}
		if r.asked < forgetBelow && r.ended < forgetBelow {
			delete(a.routes, name)
		}
	}
}

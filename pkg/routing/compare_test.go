package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/agenda"
	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

// scenario is a service in virtual time: senders with open-loop arrivals, each
// with its own view, and upstreams that queue what is over their slots.
type scenario struct {
	name      string
	senders   int
	upstreams int
	slots     int
	// utilisation of all slots together.
	utilisation float64
	// slow makes the first upstream's calls take this many times longer.
	slow float64
}

const (
	meanService = 10 * time.Millisecond
	hopDelay    = 500 * time.Microsecond
	simCalls    = 40_000
)

// server is one upstream of a scenario.
type server struct {
	running int
	queue   []*simCall
	slow    float64
}

type simCall struct {
	sender int
	target int
	start  time.Time
	kind   simEvent
}

type simEvent int

const (
	arrival simEvent = iota // at the sender
	reach                   // at the upstream
	finish                  // at the upstream
	answer                  // at the sender
)

// run returns the median and the 99th percentile of the answer times.
func (s scenario) run(p routing.Policy, seed uint64) (p50, p99 time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	servers := make([]server, s.upstreams)
	for i := range servers {
		servers[i].slow = 1
	}
	servers[0].slow = max(1, s.slow)
	views := make([][]*routing.Endpoint, s.senders)
	for i := range views {
		for u := range s.upstreams {
			views[i] = append(views[i], endpoint(u, routing.TierDataCentre, s.slots))
		}
	}
	gap := float64(meanService) / (s.utilisation * float64(s.upstreams*s.slots))
	chooser := routing.Chooser{Policy: p}
	var events agenda.Agenda[*simCall]
	next := epoch
	calls := 0
	schedule := func() {
		next = next.Add(time.Duration(rnd.ExpFloat64() * gap))
		events.Add(next, &simCall{start: next, sender: rnd.IntN(s.senders)})
		calls++
	}
	schedule()
	begin := func(now time.Time, c *simCall) {
		sv := &servers[c.target]
		sv.running++
		c.kind = finish
		events.Add(now.Add(time.Duration(rnd.ExpFloat64()*float64(meanService)*sv.slow)), c)
	}
	var took []time.Duration
	for {
		now, c, ok := events.Next()
		if !ok {
			break
		}
		sv := &servers[c.target]
		switch c.kind {
		case arrival:
			if calls < simCalls {
				schedule()
			}
			e := chooser.Pick(views[c.sender], &routing.Request{Now: now, Class: "interactive"}, rnd.IntN)
			e.State.InFlight++
			c.target = slices.Index(views[c.sender], e)
			c.kind = reach
			events.Add(now.Add(hopDelay), c)
		case reach:
			if sv.running < s.slots {
				begin(now, c)
			} else {
				sv.queue = append(sv.queue, c)
			}
		case finish:
			sv.running--
			if len(sv.queue) > 0 {
				q := sv.queue[0]
				sv.queue = sv.queue[1:]
				begin(now, q)
			}
			c.kind = answer
			events.Add(now.Add(hopDelay), c)
		case answer:
			e := views[c.sender][c.target]
			e.State.Report(now, sv.running, len(sv.queue), s.slots)
			e.State.InFlight--
			e.State.Took(now.Sub(c.start))
			took = append(took, now.Sub(c.start))
		}
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100]
}

// Two choices are never worse than random at the sizes of today, whatever the
// number of senders, and better where the load or an upstream is bad. The log
// holds the figures of docs/design/choice.md.
func TestCompareChoices(t *testing.T) {
	for _, s := range []scenario{
		{name: "order-desk, 7x9 slots, 10 senders, 70%", senders: 10, upstreams: 7, slots: 9, utilisation: .7},
		{name: "order-desk, 7x9 slots, 10 senders, 90%", senders: 10, upstreams: 7, slots: 9, utilisation: .9},
		{name: "order-desk, 7x9 slots, 300 senders, 90%", senders: 300, upstreams: 7, slots: 9, utilisation: .9},
		{name: "orders, 5x6 slots, 10 senders, 80%", senders: 10, upstreams: 5, slots: 6, utilisation: .8},
		{name: "orders, 5x6 slots, 10 senders, 60%, one 3x slower", senders: 10, upstreams: 5, slots: 6, utilisation: .6, slow: 3},
		{name: "orders, 5x6 slots, 300 senders, 60%, one 3x slower", senders: 300, upstreams: 5, slots: 6, utilisation: .6, slow: 3},
	} {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var two, random time.Duration
			for _, p := range []struct {
				name   string
				policy routing.Policy
				p99    *time.Duration
			}{{"two choices", routing.TwoChoices, &two}, {"random", routing.Random, &random}, {"least loaded", routing.LeastLoaded, new(time.Duration)}} {
				p50, p99 := s.run(p.policy, 1)
				*p.p99 = p99
				t.Logf("%-13s p50 %6.1f ms  p99 %6.1f ms", p.name, p50.Seconds()*1e3, p99.Seconds()*1e3)
			}
			is.True(two <= random)
		})
	}
}

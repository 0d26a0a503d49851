package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/agenda"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// flow is the calls of one class: open-loop arrivals with a deadline.
type flow struct {
	class    model.Class
	rate     float64 // calls a second
	deadline time.Duration
}

// job is one call of a simulation in virtual time.
type job struct {
	arrived  time.Time
	started  time.Time
	deadline time.Time
	class    model.Class
	running  bool
}

// result is what became of a class's calls.
type result struct {
	took    []time.Duration
	arrived int
	late    int // answered after the deadline
	refused int
}

func (r *result) p99() time.Duration {
	if len(r.took) == 0 {
		return 0
	}
	slices.Sort(r.took)
	return r.took[len(r.took)*99/100]
}

// good is the share of calls that were answered in time.
func (r *result) good() float64 {
	return float64(len(r.took)-r.late) / float64(r.arrived)
}

// scheme is a way of admitting calls to an upstream.
type scheme interface {
	// arrive reports whether the call runs now; a call that neither runs nor is
	// refused waits.
	arrive(now time.Time, j *job) (runs, refused bool)
	// ended frees a slot and returns the calls that run now and those refused.
	ended(now time.Time, j *job) (run, refused []*job)
}

// fifo has one queue without bound, as an upstream without admission has.
type fifo struct {
	slots, running int
	queue          []*job
}

func (f *fifo) arrive(_ time.Time, j *job) (runs, refused bool) {
	if f.running < f.slots {
		f.running++
		return true, false
	}
	f.queue = append(f.queue, j)
	return false, false
}

func (f *fifo) ended(time.Time, *job) (run, refused []*job) {
	if len(f.queue) == 0 {
		f.running--
		return nil, nil
	}
	j := f.queue[0]
	f.queue = f.queue[1:]
	return []*job{j}, nil
}

// classes is the package's own queue.
type classes struct {
	q    *admission.Queue
	next uint64
	jobs map[uint64]*job
}

func (c *classes) arrive(now time.Time, j *job) (runs, refused bool) {
	c.next++
	d := c.q.Arrive(now, c.next, j.class, j.deadline)
	c.jobs[c.next] = j
	return d.Verdict == admission.Admitted, d.Verdict == admission.Refused
}

func (c *classes) ended(now time.Time, j *job) (run, refused []*job) {
	c.q.Done(now, j.class, now.Sub(j.started), admission.OutcomeOK)
	for _, e := range c.q.Next(now, nil) {
		if e.Granted {
			run = append(run, c.jobs[e.ID])
		} else {
			refused = append(refused, c.jobs[e.ID])
		}
	}
	return run, refused
}

// simulate runs the flows against one upstream for a minute of virtual time.
func simulate(s scheme, flows []flow) map[model.Class]*result {
	const length = time.Minute
	rnd := rand.New(rand.NewPCG(1, 1))
	results := map[model.Class]*result{}
	var events agenda.Agenda[*job]
	for _, f := range flows {
		results[f.class] = &result{}
		at := epoch
		for at.Before(epoch.Add(length)) {
			at = at.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / f.rate))
			events.Add(at, &job{arrived: at, deadline: at.Add(f.deadline), class: f.class})
		}
	}
	start := func(now time.Time, j *job) {
		j.running, j.started = true, now
		events.Add(now.Add(time.Duration(rnd.ExpFloat64()*float64(service))), j)
	}
	for {
		now, j, ok := events.Next()
		if !ok {
			return results
		}
		r := results[j.class]
		if !j.running {
			r.arrived++
			runs, refused := s.arrive(now, j)
			if runs {
				start(now, j)
			}
			if refused {
				r.refused++
			}
			continue
		}
		r.took = append(r.took, now.Sub(j.arrived))
		if now.After(j.deadline) {
			r.late++
		}
		run, refused := s.ended(now, j)
		for _, n := range run {
			start(now, n)
		}
		for _, n := range refused {
			results[n.class].refused++
		}
	}
}

// A flood of batch or internal calls leaves callers and orders in time. The log
// holds the figures of docs/design/admission.md.
func TestCompareAdmission(t *testing.T) {
	callers := []flow{
		{model.ClassInteractive, 200, time.Second},
		{model.ClassOrder, 60, 2 * time.Second},
	}
	for _, tt := range []struct {
		name  string
		flood flow
	}{
		{"batch flood at 200%", flow{model.ClassBatch, 940, 30 * time.Second}},
		{"internal flood at 200%", flow{model.ClassInternal, 940, time.Second}},
		{"callers alone at 200%", flow{model.ClassBatch, 1, 30 * time.Second}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			flows := append(slices.Clone(callers), tt.flood)
			if tt.flood.rate == 1 {
				flows[0].rate = 1140
			}
			ours := &classes{q: admission.NewQueue(config(6, 6, 32)), jobs: map[uint64]*job{}}
			for _, s := range []struct {
				name   string
				scheme scheme
			}{{"classes", ours}, {"one queue", &fifo{slots: 6}}} {
				for class, r := range simulate(s.scheme, flows) {
					t.Logf("%-9s %-11s in time %5.1f%%  refused %5.1f%%  p99 of answers %7.0f ms", s.name, class, 100*r.good(), 100*float64(r.refused)/float64(r.arrived), r.p99().Seconds()*1e3)
					if s.scheme != scheme(ours) {
						continue
					}
					is.True(len(r.took) > 0)
					is.Equal(len(r.took)+r.refused, r.arrived) // every call gets an answer
					if class != tt.flood.class && tt.flood.rate > 1 {
						is.True(r.good() > 0.99)
					}
				}
			}
		})
	}
}

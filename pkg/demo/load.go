package demo

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

const (
	// callers is the number of callers in the planned steps, and callInterval the
	// time between two requests of one of them.
	callers      = 8
	callInterval = 5 * time.Millisecond
	// settleTime is how long requests go on after a planned step.
	settleTime = 500 * time.Millisecond
	// shownBad is the number of failed requests that are shown.
	shownBad = 3
)

// load is a number of callers that call until stopped.
type load struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu   sync.Mutex
	good int
	bad  []string
}

// startLoad starts callers at every host but those in without.
func (t *teller) startLoad(ctx context.Context, without ...*localmesh.Host) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	var hosts []*localmesh.Host
	for _, h := range t.mesh.Hosts {
		if !contains(without, h) {
			hosts = append(hosts, h)
		}
	}
	for i := range callers {
		l.group.Go(func() {
			for n := i; running.Err() == nil; n++ {
				c := t.story.calls[n%len(t.story.calls)]
				l.note(hosts[n%len(hosts)].Call(ctx, c.request))
				time.Sleep(callInterval)
			}
		})
	}
	return l
}

func contains(list []*localmesh.Host, h *localmesh.Host) bool {
	for _, other := range list {
		if other == h {
			return true
		}
	}
	return false
}

func (l *load) note(a localmesh.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Good() {
		l.good++
		return
	}
	l.bad = append(l.bad, a.String())
}

// stop ends the load after the requests in flight.
func (l *load) stop() {
	time.Sleep(settleTime)
	l.cancel()
	l.group.Wait()
}

// report shows what came of the load and checks that nothing was cut.
func (t *teller) report(l *load) {
	t.say("   %d requests answered, %d not", l.good, len(l.bad))
	for _, text := range l.bad[:min(len(l.bad), shownBad)] {
		t.say("     %s", text)
	}
	t.promise(l.good > 0 && len(l.bad) == 0, "no request was cut off or refused")
}

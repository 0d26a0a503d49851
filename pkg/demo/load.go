package demo

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

const (
	// callers is the number of concurrent callers while a host or node shuts down.
	callers = 8
	// callInterval is the pause of a caller between two requests.
	callInterval = 5 * time.Millisecond
	// settleTime is how long requests continue after the shutdown or restart, so that
	// late effects are seen too.
	settleTime = 500 * time.Millisecond
	// maxFailuresShown is the largest number of failed requests that are printed.
	maxFailuresShown = 3
)

// load runs concurrent callers until it is stopped, and counts their results.
type load struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu        sync.Mutex
	succeeded int
	failed    []string
}

// startLoad starts callers that send requests through all hosts except the excluded ones.
func (r *runner) startLoad(ctx context.Context, excluded ...*localmesh.Host) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	var hosts []*localmesh.Host
	for _, h := range r.mesh.Hosts {
		if !contains(excluded, h) {
			hosts = append(hosts, h)
		}
	}
	for i := range callers {
		l.group.Go(func() {
			for n := i; running.Err() == nil; n++ {
				c := r.scenario.calls[n%len(r.scenario.calls)]
				l.record(hosts[n%len(hosts)].Call(ctx, c.request))
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

// record counts one answer.
func (l *load) record(a localmesh.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.IsSignedOK() {
		l.succeeded++
		return
	}
	l.failed = append(l.failed, a.String())
}

// stop ends the load after settleTime and waits for the requests in flight.
func (l *load) stop() {
	time.Sleep(settleTime)
	l.cancel()
	l.group.Wait()
}

// reportLoad prints the results of the load and checks that no request failed.
func (r *runner) reportLoad(l *load) {
	r.printf("   %d requests succeeded, %d failed", l.succeeded, len(l.failed))
	for _, text := range l.failed[:min(len(l.failed), maxFailuresShown)] {
		r.printf("     %s", text)
	}
	r.check(l.succeeded > 0 && len(l.failed) == 0, "no request failed")
}

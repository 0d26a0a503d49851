package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// attemptHeader carries the id of one sending to the stand-in upstream.
const attemptHeader = upstream.HeaderAttempt

const (
	// drainLoadInterval is the time between two calls of one caller in the drain step.
	drainLoadInterval = 2 * time.Millisecond
	// drainCallers is the number of callers in the drain step.
	drainCallers = 8
	// settleTime is the time after a drain for which calls go on.
	settleTime = 500 * time.Millisecond
)

// drainUnderLoad drains an upstream while callers keep calling.
func (t *teller) drainUnderLoad(ctx context.Context) error {
	h := t.hostOf(t.story.drained)
	t.title("%s is drained while %d callers keep calling", h.Instance.Name, drainCallers)
	load := t.startLoad(ctx)
	_, code := t.run(ctx, "upstream", "drain", h.Instance.Name, "--admin", h.AdminURL())
	ran := h.Upstream.Runs()
	time.Sleep(settleTime)
	later := h.Upstream.Runs()
	good, bad := load.stop()
	t.say("   %d calls answered, %d not", good, len(bad))
	for i, a := range bad {
		if i == shownBad {
			break
		}
		t.say("     %s", a)
	}
	t.promise(code == exitOK, "the drain ends")
	t.promise(len(bad) == 0, "no call was cut off or refused")
	t.promise(ran == later, "the drained upstream got no call afterwards")
	return nil
}

// shownBad is the number of failed calls that are shown.
const shownBad = 3

func (t *teller) hostOf(service string) *localmesh.Host {
	for _, h := range t.mesh.Hosts {
		if h.Instance.Service.Name == service {
			return h
		}
	}
	return t.mesh.Hosts[0]
}

// load is a number of callers that call until stopped.
type load struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu   sync.Mutex
	good int
	bad  []string
}

func (t *teller) startLoad(ctx context.Context) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	for i := range drainCallers {
		l.group.Go(func() {
			for n := i; running.Err() == nil; n++ {
				c := t.story.calls[n%len(t.story.calls)].call
				l.note(t.call(ctx, n, c))
				time.Sleep(drainLoadInterval)
			}
		})
	}
	return l
}

func (l *load) note(a localmesh.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Good() {
		l.good++
		return
	}
	l.bad = append(l.bad, fmt.Sprintf("%s %s", a, a.Body))
}

// stop ends the load after the calls in flight and returns what came of it.
func (l *load) stop() (good int, bad []string) {
	l.cancel()
	l.group.Wait()
	return l.good, l.bad
}

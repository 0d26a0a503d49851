package host_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// crashTest is a mesh whose upstreams of the service "desk" crash and start again.
type crashTest struct {
	*cluster
	// desks are the hosts with the upstreams, and upstreams their present processes.
	desks     []*member
	upstreams map[*member]*standin.Upstream
	started   int
}

func newCrashTest(t *testing.T, hosts int, does standin.Behaviour) *crashTest {
	t.Helper()
	c := &crashTest{cluster: newCluster(t, hosts), upstreams: make(map[*member]*standin.Upstream)}
	for _, m := range c.hosts {
		if m.Service == "desk" {
			m.StopHeartbeats()
			m.Upstream.SetBehaviour(does)
			c.desks = append(c.desks, m)
			c.upstreams[m] = m.Upstream
		}
	}
	return c
}

// running returns the hosts whose upstreams work on a request.
func (c *crashTest) running(id string) []*member {
	var at []*member
	for _, m := range c.desks {
		seen, _ := c.upstreams[m].Seen()
		if slices.ContainsFunc(seen, func(s standin.Seen) bool { return s.ID == id && s.Ran && s.Status == 0 && !s.Cut }) {
			at = append(at, m)
		}
	}
	return at
}

// keepAsking requests a page through every node all the time, until the function that it
// returns is called.
func (c *crashTest) keepAsking(path string) (stop func()) {
	var open sync.WaitGroup
	ctx, cancel := context.WithCancel(c.t.Context())
	for _, m := range c.hosts {
		open.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				_ = c.get(m, path, fmt.Sprintf("asked-%s-%d", m.Name, i))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		open.Wait()
	}
}

// restart starts a new process of the upstream of a host, which must have ended.
func (c *crashTest) restart(m *member, does standin.Behaviour) {
	c.t.Helper()
	c.started++
	u := c.newUpstream(m, fmt.Sprintf("%s-again-%d", m.Upstream.ID, c.started))
	u.SetBehaviour(does)
	c.upstreams[m] = u
	if err := u.Beat(m.AnnounceAddress(), standin.StateReady); err != nil {
		c.t.Fatal(err)
	}
}

// Three upstreams crash one after the other while they happen to work on the same page, which
// completes on another one each time. The page is still served at every node, also at those
// that had no part in it.
func TestUnrelatedCrashesDoNotShutOutAPage(t *testing.T) {
	is := is.New(t)
	does := standin.Behaviour{Work: 400 * time.Millisecond}
	c := newCrashTest(t, 8, does)
	for i := range 3 {
		id := fmt.Sprintf("page-%d", i)
		served := make(chan reply, 1)
		go func() { served <- c.get(c.hosts[1], "/desk/page", id) }()
		c.eventually("an upstream works on the page", func() bool { return len(c.running(id)) > 0 })
		victim := c.running(id)[0]
		c.upstreams[victim].Close()
		is.Equal((<-served).status, http.StatusOK)
		time.Sleep(2500 * time.Millisecond)
		c.restart(victim, does)
	}
	for i, m := range c.hosts {
		is.Equal(c.get(m, "/desk/page", fmt.Sprintf("later-%d", i)).status, http.StatusOK)
	}
}

// Three of four upstreams crash at once while they work on a page in demand. The page is
// still served at every node.
func TestCrashesAtOnceDoNotShutOutAPage(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(t, 8, standin.Behaviour{Work: 300 * time.Millisecond})
	var open sync.WaitGroup
	burst := func(name string) {
		for i := range 12 {
			open.Go(func() { _ = c.get(c.hosts[1+2*(i%4)], "/desk/page", fmt.Sprintf("%s-%d", name, i)) })
		}
	}
	burst("first")
	open.Wait()
	burst("second")
	c.eventually("three upstreams work on the page", func() bool {
		busy := make(map[*member]bool)
		for i := range 12 {
			for _, m := range c.running(fmt.Sprintf("second-%d", i)) {
				busy[m] = true
			}
		}
		return busy[c.desks[0]] && busy[c.desks[1]] && busy[c.desks[2]]
	})
	for _, m := range c.desks[:3] {
		c.upstreams[m].Close()
	}
	open.Wait()
	time.Sleep(time.Second) // until every node knows of the crashes
	for i, m := range c.hosts {
		is.Equal(c.get(m, "/desk/page", fmt.Sprintf("later-%d", i)).status, http.StatusOK)
	}
}

// A request that crashes each upstream that runs it is refused after the third crash at every
// node, also at those that were started again since, beside pages that are in demand and run on
// the same upstreams.
func TestRestartedNodeRefusesRequestThatCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(t, 6, standin.Behaviour{})
	for _, m := range c.desks {
		u := m.Upstream
		u.SetBehaviour(standin.Behaviour{TakeOver: func(conn *net.TCPConn, r *http.Request) {
			if r.URL.Path == "/desk/poison" {
				u.Close()
				return
			}
			time.Sleep(30 * time.Millisecond)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok",
				platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderSignature)
		}})
	}
	stopPages := c.keepAsking("/desk/page")
	time.Sleep(200 * time.Millisecond)
	for i := range 6 {
		_ = c.get(c.desks[0], "/desk/poison", fmt.Sprintf("poison-%d", i))
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(c.get(c.desks[0], "/desk/poison", "poison-last").body, `{"reason":"poison"}`)
	stopPages()
	for _, m := range c.desks {
		c.restart(m, standin.Behaviour{})
	}
	isServed := func(m *member) func() bool {
		return func() bool { return c.get(m, "/desk/page", "page-"+m.Name).status == http.StatusOK }
	}
	for i, m := range c.desks { // callers beside the same service send equivalent requests
		c.eventually("the page is served at "+m.Name, isServed(m))
		is.Equal(c.get(m, "/desk/poison", fmt.Sprintf("again-%d", i)).status, http.StatusServiceUnavailable)
	}
	for i, m := range c.desks {
		m.Kill()
		c.start(m)
		c.eventually("ready again", func() bool { return m.IsReady(t.Context()) })
		c.eventually("the page is served at "+m.Name, isServed(m))
		is.Equal(c.get(m, "/desk/poison", fmt.Sprintf("restarted-%d", i)).status, http.StatusServiceUnavailable)
	}
	for _, m := range c.desks {
		seen, _ := c.upstreams[m].Seen()
		is.True(!slices.ContainsFunc(seen, func(s standin.Seen) bool { return s.Path == "/desk/poison" }))
	}
}

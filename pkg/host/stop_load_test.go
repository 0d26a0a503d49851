package host_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// A planned stop cuts no request while callers go on connecting until the process is gone.
// It must neither end between two requests, when none is open for a moment, nor take
// requests for so long that they cannot end within the grace period.
func TestStopCutsNothingWhileCallersKeepConnecting(t *testing.T) {
	for name, tt := range map[string]struct {
		work, interval time.Duration
		graceS         int
	}{
		"short requests":     {work: 5 * time.Millisecond, interval: 4 * time.Millisecond, graceS: 6},
		"long requests":      {work: 150 * time.Millisecond, interval: 20 * time.Millisecond, graceS: 6},
		"short grace period": {work: 100 * time.Millisecond, interval: 20 * time.Millisecond, graceS: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 6)
			for _, m := range c.hosts {
				m.Upstream.SetBehaviour(standin.Behaviour{Work: tt.work})
			}
			// The upstreams of the other hosts serve the requests.
			stopping := []*member{c.hosts[1], c.hosts[3], c.hosts[5]}
			for _, m := range stopping {
				m.GraceS = tt.graceS
				is.NoErr(m.WriteSettings())
				m.Node.Reload(true)
			}
			var mu sync.Mutex
			var cut []string
			var callers, stops sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for i, m := range stopping {
				callers.Go(func() {
					tick := time.NewTicker(tt.interval)
					defer tick.Stop()
					for n := 0; ctx.Err() == nil; n++ {
						<-tick.C
						id := fmt.Sprintf("stop-%d-%d", i, n)
						callers.Go(func() {
							if r := c.get(m, "/desk/x", id); r.err != nil && len(c.seen(id)) > 0 {
								mu.Lock()
								defer mu.Unlock()
								cut = append(cut, fmt.Sprintf("%s: %v", id, r.err))
							}
						})
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			start := time.Now()
			for _, m := range stopping {
				stops.Go(m.Node.Stop)
			}
			stops.Wait()
			took := time.Since(start)
			cancel()
			callers.Wait()
			is.Equal(len(cut), 0) // requests that reached an upstream and got no answer
			is.True(took < time.Duration(tt.graceS)*time.Second)
			for _, m := range stopping {
				is.True(!strings.Contains(m.log.String(), `"requests-cut"`))
			}
			is.Equal(c.get(c.hosts[0], "/desk/x", "after").status, http.StatusOK)
		})
	}
}

// A planned stop of one node, in calm, cuts no order that callers send on kept connections
// until the process is gone. Each order runs for almost as long as its caller waits.
func TestStopCutsNoOrderOnKeptConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	for _, m := range c.hosts {
		m.Upstream.SetBehaviour(standin.Behaviour{Work: 1100 * time.Millisecond})
	}
	stopping := c.hosts[1] // the upstreams of the other hosts run the orders
	var mu sync.Mutex
	status := make(map[string]int) // by request id, 0 if there was no answer
	var callers sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 24 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("kept-%d-%d", i, n)
				got := 0
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+stopping.OutboundAddress()+"/order/1", strings.NewReader("two pallets"))
				if err == nil {
					request.Host = "a.example"
					request.Header.Set(platform.HeaderRequestID, id)
					request.Header.Set(platform.HeaderDeadline, "1300")
					got = statusOf(client, request)
				}
				mu.Lock()
				status[id] = got
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	stopping.Node.Stop()
	is.True(time.Since(start) < time.Duration(stopping.GraceS)*time.Second)
	cancel()
	callers.Wait()
	served := 0
	for id, got := range status {
		if got == http.StatusOK {
			served++
		}
		if got == 0 && c.ran(id) > 0 {
			t.Errorf("%s ran and was cut", id)
		}
	}
	is.True(served > 0)
	is.True(!strings.Contains(stopping.log.String(), `"requests-cut"`))
}

// statusOf sends a request and returns the status of its complete answer, or 0.
func statusOf(client *http.Client, request *http.Request) int {
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// A request that arrives completely only when too little is left of the grace period is
// refused with a promise that it does not run, instead of being passed on and cut.
func TestStopRefusesWhatCannotEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.hosts[0].Upstream.SetBehaviour(standin.Behaviour{Work: 1100 * time.Millisecond})
	m := c.hosts[1]
	conn, err := net.Dial("tcp", m.OutboundAddress())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\n%s: slow-body\r\n%s: 1200\r\nContent-Length: 2\r\n\r\na",
		platform.HeaderRequestID, platform.HeaderDeadline)
	is.NoErr(err)
	stopped := make(chan struct{})
	start := time.Now()
	go func() {
		m.Node.Stop()
		close(stopped)
	}()
	time.Sleep(time.Until(start.Add(4600 * time.Millisecond)))
	_, err = conn.Write([]byte("b"))
	is.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
	<-stopped
	is.True(time.Since(start) < 5*time.Second) // the stop does not wait for anything else
	is.Equal(c.ran("slow-body"), 0)
	is.True(strings.Contains(m.log.String(), `"reason":"node-stopping"`))
}

// A planned stop waits until a large answer has been written to the node that called. Here
// the upstream has answered before the node stops to take calls, 2.1 s after the signal, and
// the answer takes 0.7 s on the link of the host.
func TestStopSendsLargeAnswers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	m := c.hosts[0]
	m.Kill()
	m.LinkMbps = 8
	is.NoErr(m.WriteSettings())
	c.start(m)
	c.eventually("the restarted node serves", func() bool { return c.get(c.hosts[1], "/desk/x", "again").status == http.StatusOK })
	const size = 700 << 10
	m.Upstream.SetBehaviour(standin.Behaviour{Work: 100 * time.Millisecond, Size: size})
	stopped := make(chan struct{})
	go func() {
		m.Node.Stop()
		close(stopped)
	}()
	time.Sleep(1400 * time.Millisecond)
	r := c.get(c.hosts[1], "/desk/x", "large")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(len(r.body), size)
	<-stopped
}

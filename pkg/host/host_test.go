package host_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// A request passes from any host to an upstream of its service unchanged, except that
// the node sets the name of the caller's service itself.
func TestRequestReachesItsServiceFromEveryHost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	for i, m := range c.hosts {
		id := fmt.Sprintf("get-%d", i)
		r := c.get(m, "/ledger/a?b=c", id)
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, "answer to "+id)
		is.Equal(r.signature, "sig-"+id)
		seen := c.seen(id)
		is.Equal(len(seen), 1)
		is.Equal(seen[0].Path, "/ledger/a?b=c")
		is.Equal(seen[0].Caller, []string{"desk", "ledger"}[i%2])
	}
	r := c.order(c.hosts[1], "order-1")
	is.Equal(r.status, http.StatusOK)
	is.Equal(c.seen("order-1")[0].Body, "two pallets")
	is.Equal(c.get(c.hosts[0], "/unknown/x", "none").status, http.StatusNotFound)
	is.Equal(len(c.seen("none")), 0)
	// Paths are matched and passed on byte for byte.
	is.Equal(c.get(c.hosts[0], "/desk%2fx", "escaped").status, http.StatusNotFound)
	is.Equal(c.get(c.hosts[0], "/ledger/a%2fb%20c", "kept").status, http.StatusOK)
	is.Equal(c.seen("kept")[0].Path, "/ledger/a%2fb%20c")
}

// Pipelined requests run at the same time and are answered in their order.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.hosts[0].Upstream.SetBehaviour(standin.Behaviour{Work: 300 * time.Millisecond})
	start := time.Now()
	ids := c.pipeline(c.hosts[1], []string{"/desk/1", "/ledger/2", "/desk/3", "/desk/4"})
	is.Equal(ids, []string{"p-0", "p-1", "p-2", "p-3"})
	is.True(time.Since(start) < 900*time.Millisecond) // one after another takes 900 ms
	_, most := c.hosts[0].Upstream.Seen()
	is.Equal(most, 3)
}

// An order whose answer is lost is answered 502 or 504, which leave open whether it ran,
// and is not sent again; one that was rejected is answered 503 and runs nowhere.
func TestOrderRunsAtMostOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		does   standin.Behaviour
		status []int
		ran    int
	}{
		"answer lost":      {standin.Behaviour{LoseAnswer: true}, []int{http.StatusGatewayTimeout}, 1},
		"connection reset": {standin.Behaviour{Reset: true}, []int{http.StatusBadGateway}, 1},
		"answer cut off":   {standin.Behaviour{Truncate: true}, []int{http.StatusBadGateway}, 1},
		"answer unsigned":  {standin.Behaviour{Unsigned: true}, []int{http.StatusBadGateway}, 1},
		"turned away":      {standin.Behaviour{ShedAll: true}, []int{http.StatusServiceUnavailable}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 4)
			for _, m := range c.hosts {
				m.Upstream.SetBehaviour(tt.does)
			}
			r := c.order(c.hosts[3], "order")
			is.NoErr(r.err)
			is.Equal(r.status, tt.status[0])
			is.Equal(r.signature, "")
			is.Equal(c.ran("order"), tt.ran)
			is.Equal(r.retryAfter != "", r.status == http.StatusServiceUnavailable)
		})
	}
}

// An idempotent request whose upstream truncates its answers is served by another one.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.hosts[0].Upstream.SetBehaviour(standin.Behaviour{Truncate: true})
	for i := range 10 {
		id := fmt.Sprintf("again-%d", i)
		r := c.get(c.hosts[2], "/desk/x", id)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, "answer to "+id)
	}
}

// An upstream's error answer is returned to the caller when the retry finds no other
// upstream that runs the request.
func TestFailureOfAnUpstreamIsPassedOn(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.hosts[0].Upstream.SetBehaviour(standin.Behaviour{Status: http.StatusInternalServerError})
	c.hosts[2].Upstream.SetBehaviour(standin.Behaviour{ShedAll: true})
	for i := range 10 {
		id := fmt.Sprintf("failed-%d", i)
		r := c.get(c.hosts[i%4], "/desk/x", id)
		if c.ran(id) == 0 {
			continue // both attempts went to the upstream that rejects requests
		}
		is.Equal(r.status, http.StatusInternalServerError)
		is.Equal(r.signature, "sig-"+id)
	}
}

// Once a node has acknowledged that its upstream leaves, it sends the upstream nothing new,
// regardless of the state that other nodes know and of late heartbeats.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	m := c.hosts[0]
	m.StopHeartbeats()
	is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "draining"))
	acknowledged := time.Now()
	is.NoErr(m.Upstream.BeatAs(m.AnnounceAddress(), "ready", 1))
	var calls sync.WaitGroup
	for i := range 40 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			if r := c.get(c.hosts[i%4], "/desk/x", fmt.Sprintf("late-%d", i)); r.status != http.StatusOK {
				t.Errorf("status %d, %v", r.status, r.err)
			}
		}()
	}
	calls.Wait()
	seen, _ := m.Upstream.Seen()
	for _, s := range seen {
		is.True(!s.At.After(acknowledged))
	}
	is.Equal(c.stored("host-0"), fleet.StateLeaving) // the store knows before the acknowledgement
}

// A restarted node learns from the store that its upstream leaves, and a late heartbeat
// does not make the upstream ready.
func TestRestartedNodeRemembersTheLeaving(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	m := c.hosts[0]
	m.StopHeartbeats()
	is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "draining"))
	m.Kill()
	c.start(m)
	is.NoErr(m.Upstream.BeatAs(m.AnnounceAddress(), "ready", 1))
	c.eventually("ready again", func() bool { return m.IsReady(t.Context()) })
	before, _ := m.Upstream.Seen()
	for i := range 20 {
		is.Equal(c.get(c.hosts[i%4], "/desk/x", fmt.Sprintf("back-%d", i)).status, http.StatusOK)
	}
	after, _ := m.Upstream.Seen()
	is.Equal(len(after), len(before))
}

// A restarted node learns from its peers that its upstream left during a store outage,
// although the store still has the upstream as ready.
func TestRestartedNodeLearnsTheLeavingFromPeers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	m := c.hosts[0]
	m.StopHeartbeats()
	c.store.SetFaults(m.StoreAddress, standin.Faults{Status: http.StatusServiceUnavailable})
	is.NoErr(m.Upstream.Remove(m.AnnounceAddress())) // no heartbeat follows
	m.Kill()
	c.store.SetFaults(m.StoreAddress, standin.Faults{})
	c.start(m)
	c.eventually("the former record", func() bool { return strings.Contains(m.log.String(), `"previous-record-found"`) })
	c.eventually("gone in the store", func() bool {
		return c.stored("host-0") == fleet.StateGone
	})
	before, _ := m.Upstream.Seen()
	for i := range 20 {
		is.Equal(c.get(c.hosts[i%4], "/desk/x", fmt.Sprintf("gone-%d", i)).status, http.StatusOK)
	}
	after, _ := m.Upstream.Seen()
	is.Equal(len(after), len(before))
}

// If neither the store nor a peer would remember that an upstream leaves, the heartbeat is
// not acknowledged, but the node applies it.
func TestLeavingIsNotAcknowledgedAlone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	m := c.hosts[0]
	m.StopHeartbeats()
	c.store.SetFaults(m.StoreAddress, standin.Faults{Status: http.StatusServiceUnavailable})
	is.True(m.Upstream.Beat(m.AnnounceAddress(), "draining") != nil)
	is.Equal(c.get(m, "/desk/x", "alone").status, http.StatusServiceUnavailable)
	c.store.SetFaults(m.StoreAddress, standin.Faults{})
	c.eventually("acknowledged", func() bool { return m.Upstream.Beat(m.AnnounceAddress(), "draining") == nil })
}

// A node that starts during a store outage answers 503, never 404, until a peer has sent it
// the configuration.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	m := c.hosts[3]
	m.Kill()
	c.store.SetFaults(m.StoreAddress, standin.Faults{Silent: true})
	c.start(m)
	first := c.get(m, "/desk/x", "early")
	is.True(first.status == http.StatusServiceUnavailable || first.status == http.StatusOK)
	c.eventually("configuration from a peer", func() bool { return c.get(m, "/desk/x", "later").status == http.StatusOK })
	is.True(!strings.Contains(m.log.String(), `"status":404`))
}

// During a store outage calls succeed and heartbeats are acknowledged in time.
func TestCallsContinueInStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.store.SetFaults("", standin.Faults{Silent: true})
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, standin.Faults{Silent: true})
	}
	for i := range 20 {
		is.Equal(c.get(c.hosts[i%4], "/ledger/x", fmt.Sprintf("away-%d", i)).status, http.StatusOK)
	}
	m := c.hosts[0]
	m.StopHeartbeats()
	start := time.Now()
	is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "draining"))
	is.True(time.Since(start) < time.Second)
}

// A write whose answer is lost is found to be done, also if it is done late.
func TestLostAnswersOfTheStore(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": 0, "late": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 2)
			m := c.hosts[0]
			m.StopHeartbeats()
			c.store.SetFaults(m.StoreAddress, standin.Faults{LoseWrites: true, Late: late})
			is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "draining"))
			c.eventually("leaving in the store", func() bool {
				return c.stored("host-0") == fleet.StateLeaving
			})
			c.store.SetFaults(m.StoreAddress, standin.Faults{})
			is.NoErr(m.Upstream.Remove(m.AnnounceAddress()))
			c.eventually("gone in the store", func() bool {
				return c.stored("host-0") == fleet.StateGone
			})
		})
	}
}

// A stopping node reports not ready at once, answers all requests it has and cuts none;
// calls from other hosts go elsewhere.
func TestStopCutsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	for _, m := range c.hosts {
		m.Upstream.SetBehaviour(standin.Behaviour{Work: 150 * time.Millisecond})
	}
	m := c.hosts[0]
	stopped := make(chan struct{})
	var calls sync.WaitGroup
	load := func(from *member, name string, until func() bool) {
		defer calls.Done()
		for i := 0; !until(); i++ {
			if r := c.get(from, "/desk/x", fmt.Sprintf("%s-%d", name, i)); r.status != http.StatusOK {
				t.Errorf("%s-%d: status %d, %v", name, i, r.status, r.err)
			}
		}
	}
	isStopped := func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}
	start := time.Now()
	calls.Add(2)
	go load(m, "own", func() bool { return time.Since(start) > 2*time.Second })
	go load(c.hosts[1], "other", isStopped)
	time.Sleep(50 * time.Millisecond)
	go func() {
		m.Node.Stop()
		close(stopped)
	}()
	c.eventually("not ready", func() bool {
		return !m.IsReady(t.Context())
	})
	calls.Wait()
	is.True(time.Since(start) < 6*time.Second)
	is.True(strings.Contains(m.log.String(), `"process-stopped"`))
}

// When the caller disconnects, the upstream's work ends within half a second.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.hosts[0].Upstream.SetBehaviour(standin.Behaviour{Work: 5 * time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r := c.request(ctx, c.hosts[1], http.MethodGet, "/desk/x", "left", "")
	is.True(r.err != nil)
	left := time.Now()
	c.eventually("cut", func() bool {
		seen := c.seen("left")
		return len(seen) == 1 && seen[0].Cut
	})
	is.True(time.Since(left) < 500*time.Millisecond)
}

// Changed settings are reloaded without a signal; invalid ones are refused.
func TestSettingsAreReloaded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	m := c.hosts[0]
	m.GraceS = 9
	is.NoErr(m.WriteSettings())
	c.eventually("reloaded", func() bool { return strings.Contains(m.log.String(), `"settings-reloaded"`) })
	is.NoErr(os.WriteFile(m.SettingsFile, []byte(`{"node":`), 0o600))
	m.Node.Reload(true)
	c.eventually("refused", func() bool { return strings.Contains(m.log.String(), `"settings-refused"`) })
	is.Equal(c.get(m, "/desk/x", "after").status, http.StatusOK)
}

// Profiles are off by default, and the settings enable them without a restart.
func TestProfilesAreOffByDefault(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	m := c.hosts[0]
	status := func() int {
		a, err := http.Get(m.OperatorURL() + "/debug/pprof/heap") //nolint:noctx // bounded by the test
		is.NoErr(err)
		is.NoErr(a.Body.Close())
		return a.StatusCode
	}
	is.Equal(status(), http.StatusNotFound)
	text, err := os.ReadFile(m.SettingsFile)
	is.NoErr(err)
	on := strings.Replace(string(text), `"listen": {`, `"listen": {"profiles": true, `, 1)
	is.NoErr(os.WriteFile(m.SettingsFile, []byte(on), 0o600))
	c.eventually("on", func() bool { return status() == http.StatusOK })
	c.eventually("logged", func() bool { return strings.Contains(m.log.String(), `"profile-requested"`) })
	is.True(!strings.Contains(m.log.String(), `"settings-need-restart"`))
}

// An upstream whose answers never end affects only its own requests. They end as unknown
// long before their deadline, the upstream's score falls, and idempotent requests are
// served by another.
func TestEndlessAnswersEnd(t *testing.T) {
	for name, does := range map[string]standin.Behaviour{
		"header":         {Endless: "HTTP/1.1 200 OK\r\n", Repeated: "X-More: more\r\n"},
		"body":           {Endless: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Repeated: "5\r\nhello\r\n"},
		"no HTTP at all": {Repeated: "\x00\xff"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 4)
			c.hosts[0].Upstream.SetBehaviour(does)
			c.hosts[2].Upstream.SetBehaviour(does)
			start := time.Now()
			is.Equal(c.order(c.hosts[1], "order").status, http.StatusBadGateway)
			is.True(time.Since(start) < 900*time.Millisecond)
			is.Equal(c.ran("order"), 1)
			c.hosts[2].Upstream.SetBehaviour(standin.Behaviour{})
			// As many at once as both upstreams have slots, so that a slow host refuses none
			// for lack of slots.
			var calls sync.WaitGroup
			for caller := range 8 {
				calls.Go(func() {
					for i := range 5 {
						if r := c.get(c.hosts[caller%4], "/desk/x", fmt.Sprintf("beside-%d-%d", caller, i)); r.status != http.StatusOK {
							t.Errorf("status %d, %v", r.status, r.err)
						}
					}
				})
			}
			calls.Wait()
		})
	}
}

package link_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// slowLinkMbps is the speed of the link in these tests, that of the small hosts in the
// example deployments.
const slowLinkMbps = 8.0

// sized returns a handler that answers calls to /large with size bytes, and others with their
// target.
func sized(size int) func(ctx context.Context, c *link.Call) *link.Answer {
	return func(_ context.Context, c *link.Call) *link.Answer {
		if c.Target == "/large" {
			return &link.Answer{Outcome: link.Ran, Status: 200, Body: bytes.Repeat([]byte("x"), size)}
		}
		return ran(c.Target)
	}
}

// newSlowPair is newPair over a link of slowLinkMbps, for which the server paces its answers.
func newSlowPair(t *testing.T, size int) *pair {
	t.Helper()
	p := &pair{}
	address := freeAddress(t)
	self := identity("target", 1)
	self.Uplink = pace.NewUplink(slowLinkMbps)
	p.server = &link.Server{Self: self, StaleAnswer: stale, Events: quiet(), Handle: func(ctx context.Context, _ string, c *link.Call) *link.Answer {
		p.runs.Add(1)
		return sized(size)(ctx, c)
	}}
	if err := p.server.Listen(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.server.Close() })
	p.relay = newRelay(t, address)
	p.relay.pause.Store(int64(4096 * 8 * time.Second / (slowLinkMbps * 1e6)))
	p.peer = link.NewPeer(identity("caller", 1), "target", p.relay.listener.Addr().String(), quiet())
	t.Cleanup(p.peer.Close)
	return p
}

// While a large answer takes a second on the link, short calls must be answered within 200 ms:
// they wait only for the data that was already sent.
func TestShortAnswersAreNotDelayedByLargeOnes(t *testing.T) {
	is := is.New(t)
	p := newSlowPair(t, 1<<20)
	_, err := p.call(context.Background(), "/warm")
	is.NoErr(err)
	large := make(chan *link.Answer, 1)
	go func() {
		a, err := p.call(context.Background(), "/large")
		if err != nil {
			t.Error(err)
		}
		large <- a
	}()
	time.Sleep(100 * time.Millisecond)
	for range 8 {
		start := time.Now()
		_, err := p.call(context.Background(), "/short")
		is.NoErr(err)
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Fatalf("a short call took %s during the transfer of a large answer", took)
		}
	}
	is.Equal(len((<-large).Body), 1<<20)
}

// A large answer whose connection breaks during the transfer must arrive complete, and its
// call must run once.
func TestLargeAnswerSurvivesConnectionLoss(t *testing.T) {
	is := is.New(t)
	p := newSlowPair(t, 300<<10)
	done := make(chan *link.Answer, 1)
	go func() {
		a, err := p.call(context.Background(), "/large")
		if err != nil {
			t.Error(err)
		}
		done <- a
	}()
	time.Sleep(150 * time.Millisecond)
	p.relay.cut()
	a := <-done
	is.Equal(len(a.Body), 300<<10)
	is.Equal(p.runs.Load(), int32(1))
}

// When a caller cancels its call, the transfer of the answer must end, so that the link is
// free for others at once.
func TestCancelledCallEndsTransfer(t *testing.T) {
	is := is.New(t)
	p := newSlowPair(t, 2<<20)
	_, err := p.call(context.Background(), "/warm")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = p.call(ctx, "/large")
	is.True(err != nil)
	time.Sleep(200 * time.Millisecond)
	is.True(p.server.Self.Uplink.Backlog() < 300*time.Millisecond)
}

// Pending counts calls that run and answers that are being written, and no answer of a call
// that was cancelled, whenever that happens.
func TestPendingCountsWhatIsNotWritten(t *testing.T) {
	is := is.New(t)
	p := newSlowPair(t, 200<<10)
	_, err := p.call(context.Background(), "/warm")
	is.NoErr(err)
	settled := func() bool {
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if p.server.Pending() == 0 {
				return true
			}
		}
		return false
	}
	is.True(settled())
	done := make(chan error, 1)
	go func() {
		_, err := p.call(context.Background(), "/large")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.True(p.server.Pending() > 0)
	is.NoErr(<-done)
	is.True(settled())
	for i := range 30 { // the transfer takes a fifth of a second
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10*i)*time.Millisecond)
		_, _ = p.call(ctx, "/large")
		cancel()
	}
	is.True(settled())
	is.Equal(p.server.Pending(), 0)
}

// Large answers that don't fit into the memory budget must fail with ReasonNoMemory, and
// released ones must return all their memory to the budget.
func TestLargeAnswersStayWithinMemoryBudget(t *testing.T) {
	is := is.New(t)
	p := newPair(t, sized(200<<10))
	budget := memory.New(300 << 10)
	self := identity("caller", 2)
	self.AnswerBudget = budget
	peer := link.NewPeer(self, "target", p.relay.listener.Addr().String(), quiet())
	t.Cleanup(peer.Close)
	call := func() *link.Answer {
		a, err := peer.Call(context.Background(), &link.Call{Target: "/large", RemainingMs: 3000}, time.Second)
		is.NoErr(err)
		return a
	}
	first := call()
	is.Equal(len(first.Body), 200<<10)
	is.Equal(call().Reason, link.ReasonNoMemory)
	first.Memory.Release()
	second := call()
	is.Equal(len(second.Body), 200<<10)
	second.Memory.Release()
	is.Equal(budget.Used(), int64(0))
}

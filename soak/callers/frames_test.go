package callers

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
)

// pourFrame connects to a node as another node does and sends a message that does not end.
func (n *node) pourFrame(ctx context.Context, name string) error {
	header := http.Header{}
	for field, value := range map[string]string{"Tarragondrum-Node": name, "Tarragondrum-Target": "host-1", "Tarragondrum-Attempt": "1", "Tarragondrum-Incarnation": "1"} {
		header.Set(field, value)
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+n.ip+":7101/link/v1", &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return err
	}
	defer func() { _ = ws.CloseNow() }()
	w, err := ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	block := make([]byte, 32<<10)
	for err == nil {
		_, err = w.Write(block)
	}
	return nil
}

// Guards against messages that do not end, from what connects as another node does. Calls between
// nodes go on meanwhile.
func TestEndlessMessages(t *testing.T) {
	one, two := startPair(t, smallestMB, bodyBytes)
	for _, senders := range []int{1, 8} {
		ctx, cancel := context.WithTimeout(context.Background(), misbehaveFor)
		var all sync.WaitGroup
		for i := range senders {
			all.Go(func() {
				for ctx.Err() == nil {
					if err := one.pourFrame(ctx, fmt.Sprintf("host-%d-%d", 100+i, time.Now().UnixNano())); err != nil && ctx.Err() == nil {
						t.Error(err)
						return
					}
				}
			})
		}
		served := 0
		for ; ctx.Err() == nil; served++ {
			if r := two.ask(http.MethodGet, "/desk/x", nil); r.err != nil || r.status != http.StatusOK {
				t.Errorf("status %d, body %.100q, %v", r.status, r.body, r.err)
			}
		}
		all.Wait()
		cancel()
		t.Logf("resident: %.1f MB with %d senders, %d calls served", inMB(one.mostMemory.Load()), senders, served)
	}
	one.check()
	two.check()
}

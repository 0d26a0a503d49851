package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// startPair starts two nodes. The upstream of service "desk" is beside the first one, so that
// the requests of callers at the second one pass two nodes.
func startPair(t *testing.T, memoryMB, bodyBytes int) (one, two *node) {
	t.Helper()
	return newMesh(t, bodyBytes).startPair(memoryMB)
}

// startPair starts the first two nodes of a mesh.
func (m *mesh) startPair(memoryMB int) (one, two *node) {
	t := m.t
	t.Helper()
	one, two = m.startNode("desk", memoryMB), m.startNode("ledger", memoryMB)
	for end := time.Now().Add(giveUp); two.ask(http.MethodGet, "/desk/x", nil).status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the second node does not reach the upstream of the first one\n%s", two.lastLines())
		}
	}
	return one, two
}

// reply is what a caller gets. err is set if there is no complete answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// ask sends a request on a connection of its own.
func (n *node) ask(method, path string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8081"+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, fmt.Sprint("ask-", time.Now().UnixNano()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: text, err: err}
}

// signed returns the header lines with which an upstream shows that an answer is its own and
// belongs to a request.
func signed(r *http.Request) string {
	return platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": s\r\n"
}

// eachWay runs a test through one and through two nodes, where the node beside the upstream
// uses a new connection to it, and one on which the upstream has answered before.
func eachWay(t *testing.T, memoryMB, bodyBytes int, test func(t *testing.T, at *node, behave func(standin.Behaviour))) {
	t.Helper()
	one, two := startPair(t, memoryMB, bodyBytes)
	for name, at := range map[string]*node{"one node": one, "two nodes": two} {
		for connection, header := range map[string]http.Header{"kept": nil, "new": {"Connection": {"close"}}} {
			t.Run(name+", "+connection+" connection", func(t *testing.T) {
				test(t, at, func(b standin.Behaviour) {
					one.upstream.SetBehaviour(standin.Behaviour{Header: header})
					if r := at.ask(http.MethodGet, "/desk/x", nil); r.status != http.StatusOK {
						t.Errorf("ordinary request: status %d, %v", r.status, r.err)
					}
					one.upstream.SetBehaviour(b)
				})
			})
		}
	}
	one.upstream.SetBehaviour(ordinary)
	one.check()
	two.check()
}

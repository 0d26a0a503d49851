package localmesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
)

// Request is what a caller sends.
type Request struct {
	Method, Host, Path, Body string
	// ID is made up where it is empty.
	ID string
	// Deadline is how long the caller waits; 0 stands for two seconds.
	Deadline time.Duration
}

// Answer is the end of a request as its caller sees it.
type Answer struct {
	ID, Body, Signature, RetryAfter string
	Status                          int
	Err                             error
}

// Good reports whether an upstream's whole answer came.
func (a *Answer) Good() bool { return a.Status == http.StatusOK && a.Signature != "" }

// String says how the request ended.
func (a *Answer) String() string {
	switch {
	case a.Err != nil:
		return a.Err.Error()
	case a.RetryAfter != "":
		return fmt.Sprintf("status %d, come back after %s s: %s", a.Status, a.RetryAfter, strings.TrimSpace(a.Body))
	}
	return fmt.Sprintf("status %d: %s", a.Status, strings.TrimSpace(a.Body))
}

// plainDeadline is how long a caller waits that does not say so.
const plainDeadline = 2 * time.Second

var lastID atomic.Int64

// Call sends a request to the node of a host, on a connection of its own.
func (h *Host) Call(ctx context.Context, q Request) Answer {
	if q.ID == "" {
		q.ID = "call-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	if q.Deadline == 0 {
		q.Deadline = plainDeadline
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.Outbound()+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Answer{ID: q.ID, Err: err}
	}
	r.Host = q.Host
	r.Header.Set(platform.HeaderRequestID, q.ID)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set(platform.HeaderCaller, "forged")
	r.Close = true
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return Answer{ID: q.ID, Err: err}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	return Answer{
		ID: q.ID, Body: string(text), Status: a.StatusCode, Err: err,
		Signature: a.Header.Get(platform.HeaderSignature), RetryAfter: a.Header.Get("Retry-After"),
	}
}

// Runs counts how often upstreams ran the request with an id.
func (m *Mesh) Runs(id string) int {
	n := 0
	for _, h := range m.Hosts {
		seen, _ := h.Upstream.Seen()
		for _, s := range seen {
			if s.ID == id && s.Ran {
				n++
			}
		}
	}
	return n
}

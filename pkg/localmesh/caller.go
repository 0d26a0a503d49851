package localmesh

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/platform"
)

// Request is a request that a caller sends through the node of its host.
type Request struct {
	Method, Host, Path, Body string
	// ID is the request id; if it is empty, Call generates one.
	ID string
	// Deadline is how long the caller waits, as it tells the node in a header; 0 means
	// defaultDeadline.
	Deadline time.Duration
	// Header holds further headers.
	Header http.Header
}

// Response is the result of a request as its caller sees it. Err is set if there was no
// complete response.
type Response struct {
	ID, Body, Signature, RetryAfter string
	Status                          int
	Err                             error
}

// IsSignedOK reports whether the response has status 200 and a signature. The signature shows
// that it comes from an upstream and not from a node.
func (a *Response) IsSignedOK() bool { return a.Status == http.StatusOK && a.Signature != "" }

// String describes the result of the request for people.
func (a *Response) String() string {
	switch {
	case a.Err != nil:
		return a.Err.Error()
	case a.RetryAfter != "":
		return fmt.Sprintf("status %d, come back after %s s: %s", a.Status, a.RetryAfter, strings.TrimSpace(a.Body))
	}
	return fmt.Sprintf("status %d: %s", a.Status, strings.TrimSpace(a.Body))
}

// defaultDeadline is the deadline of a request that has none of its own.
const defaultDeadline = 2 * time.Second

// lastID is the number in the last generated request id.
var lastID atomic.Int64

// Call sends a request to the node of the host on a new connection. It sets a forged
// caller header, which the node must replace with the real caller.
func (h *Host) Call(ctx context.Context, q Request) Response {
	if q.ID == "" {
		q.ID = "call-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	if q.Deadline == 0 {
		q.Deadline = defaultDeadline
	}
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.OutboundAddress()+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Response{ID: q.ID, Err: err}
	}
	request.Host = q.Host
	maps.Copy(request.Header, q.Header)
	request.Header.Set(platform.HeaderRequestID, q.ID)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	request.Header.Set(platform.HeaderCaller, "forged")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{ID: q.ID, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return Response{
		ID: q.ID, Body: string(text), Status: response.StatusCode, Err: err,
		Signature: response.Header.Get(platform.HeaderSignature), RetryAfter: response.Header.Get("Retry-After"),
	}
}

// ExecutionCount returns how many times upstreams ran the request with the given id.
func (m *Mesh) ExecutionCount(id string) int {
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

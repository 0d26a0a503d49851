package localmesh

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// callTimeout bounds one call of a Caller.
const callTimeout = 15 * time.Second

// Call is one request of a caller.
type Call struct {
	Method string
	Host   string
	Path   string
	Body   string
	// Key is the Idempotency-Key; empty means none.
	Key string
	// Header holds further request headers.
	Header map[string]string
}

// Answer is what the caller got.
type Answer struct {
	Status int
	Body   string
	Reason reason.Reason
	Effect reason.Effect
	// Replayed tells that the answer is the stored one of an earlier call.
	Replayed bool
}

// Good reports whether the answer is a success.
func (a Answer) Good() bool { return a.Status >= 200 && a.Status < 300 }

// String describes the answer in a few words.
func (a Answer) String() string {
	text := fmt.Sprintf("status %d", a.Status)
	if a.Reason != "" {
		text += fmt.Sprintf(", refused: %s, effect: %s", a.Reason, a.Effect)
	}
	if a.Replayed {
		text += ", stored answer of the first run"
	}
	return text
}

// Caller sends requests to nodes as a caller outside the mesh does.
type Caller struct {
	http *client.Client
}

// NewCaller returns a caller with its own connections.
func NewCaller() (*Caller, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return &Caller{http: c}, nil
}

// Do sends one request to the node at base.
func (c *Caller) Do(ctx context.Context, base string, call Call) (Answer, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(call.Method)
	req.SetRequestURI(base + call.Path)
	if call.Host != "" {
		req.Header.SetHost(call.Host)
	}
	if call.Key != "" {
		req.SetHeader(order.HeaderKey, call.Key)
	}
	for name, value := range call.Header {
		req.SetHeader(name, value)
	}
	req.SetBodyString(call.Body)
	if err := c.http.DoTimeout(ctx, req, resp, callTimeout); err != nil {
		return Answer{}, fmt.Errorf("%s %s%s: %w", call.Method, base, call.Path, err)
	}
	return Answer{
		Status:   resp.StatusCode(),
		Body:     string(resp.Body()),
		Reason:   reason.Reason(resp.Header.Get(reason.HeaderReason)),
		Effect:   reason.Effect(resp.Header.Get(reason.HeaderEffect)),
		Replayed: resp.Header.Get(reason.HeaderReplayed) != "",
	}, nil
}

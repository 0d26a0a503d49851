// Package adminclient asks the admin listener of a node.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Errors of the client.
var (
	// ErrUnreachable: the node did not answer.
	ErrUnreachable = errors.New("admin: node did not answer")
	// ErrRefused: the node answered with an error.
	ErrRefused = errors.New("admin: node refused the request")
)

const dialTimeout = 2 * time.Second

// Client talks to one admin listener.
type Client struct {
	base  string
	token string
	http  *client.Client
}

// New returns a client of the listener at base, for example
// "http://127.0.0.1:9090". The token may be empty.
func New(base, token string) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
	)
	if err != nil {
		return nil, fmt.Errorf("admin client: %w", err)
	}
	return &Client{base: base, token: token, http: c}, nil
}

// Handover asks for the handover report.
func (c *Client) Handover(ctx context.Context) (handover.Report, error) {
	var r handover.Report
	err := c.call(ctx, http.MethodGet, "/v1/handover", nil, &r)
	return r, err
}

// Upstreams lists the upstreams of the node's host.
func (c *Client) Upstreams(ctx context.Context) ([]model.Upstream, error) {
	var list []model.Upstream
	err := c.call(ctx, http.MethodGet, "/v1/upstreams", nil, &list)
	return list, err
}

// Announce adds or renews an upstream of the node's host.
func (c *Client) Announce(ctx context.Context, u model.Upstream) error {
	return c.call(ctx, http.MethodPost, "/v1/upstreams", u, nil)
}

// Drain stops an upstream gracefully and returns when no call is in flight.
func (c *Client) Drain(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, "/v1/upstreams/"+url.PathEscape(name)+"/drain", nil, nil)
}

// Quarantined lists the calls that are refused.
func (c *Client) Quarantined(ctx context.Context) ([]handover.Quarantined, error) {
	var list []handover.Quarantined
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, &list)
	return list, err
}

// Lift ends the quarantine of a fingerprint on every node.
func (c *Client) Lift(ctx context.Context, fingerprint string) error {
	return c.call(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(fingerprint), nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if c.token != "" {
		req.SetHeader("Authorization", "Bearer "+c.token)
	}
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		req.SetBody(raw)
		req.SetHeader("Content-Type", "application/json")
	}
	if err := c.do(ctx, req, resp); err != nil {
		return fmt.Errorf("%s %s%s: %w: %w", method, c.base, path, ErrUnreachable, err)
	}
	return decode(resp, out)
}

func (c *Client) do(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.http.Do(ctx, req, resp)
	}
	return c.http.DoDeadline(ctx, req, resp, deadline)
}

func decode(resp *protocol.Response, out any) error {
	if resp.StatusCode() >= http.StatusBadRequest {
		var p struct {
			Error string `json:"error"`
		}
		if err := json.Unmarshal(resp.Body(), &p); err != nil || p.Error == "" {
			p.Error = fmt.Sprintf("status %d", resp.StatusCode())
		}
		return fmt.Errorf("%w: %s", ErrRefused, p.Error)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// ErrNoAnswer is returned when a node does not answer or not as a node does.
var ErrNoAnswer = errors.New("handover: node gave no answer")

const (
	dialTimeout = 2 * time.Second
	// askTimeout bounds the question to one of many nodes.
	askTimeout = 3 * time.Second
	// askedAtOnce bounds the nodes that are asked at the same time.
	askedAtOnce = 32
)

// Client asks nodes.
type Client struct {
	http *client.Client
}

// NewClient returns a client.
func NewClient() (*Client, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, fmt.Errorf("handover client: %w", err)
	}
	return &Client{http: c}, nil
}

// Report asks the node at a URL, such as "http://127.0.0.1:9464", what it knows.
func (c *Client) Report(ctx context.Context, url string) (Report, error) {
	var r Report
	err := c.get(ctx, url+ReportPath, &r)
	return r, err
}

// Hosts asks the node at a URL for the hosts that it knows.
func (c *Client) Hosts(ctx context.Context, url string) ([]Host, error) {
	var list []Host
	err := c.get(ctx, url+HostsPath, &list)
	return list, err
}

// Everyone asks all hosts that the node at a URL knows for their reports.
func (c *Client) Everyone(ctx context.Context, url string) ([]Answer, error) {
	hosts, err := c.Hosts(ctx, url)
	if err != nil {
		return nil, err
	}
	answers := make([]Answer, len(hosts))
	places := make(chan struct{}, askedAtOnce)
	var all sync.WaitGroup
	for i, h := range hosts {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			one, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			r, err := c.Report(one, h.URL)
			answers[i] = Answer{Host: h, Report: r, Err: err}
		})
	}
	all.Wait()
	return answers, nil
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	request.SetMethod(http.MethodGet)
	request.SetRequestURI(strings.TrimSuffix(url, "/"))
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(askTimeout)
	}
	if err := c.http.DoDeadline(ctx, request, answer, deadline); err != nil {
		return fmt.Errorf("ask %s: %w: %w", url, ErrNoAnswer, err)
	}
	if answer.StatusCode() != http.StatusOK {
		return fmt.Errorf("ask %s: status %d: %w", url, answer.StatusCode(), ErrNoAnswer)
	}
	if err := json.Unmarshal(answer.Body(), into); err != nil {
		return fmt.Errorf("ask %s: %w: %w", url, ErrNoAnswer, err)
	}
	return nil
}

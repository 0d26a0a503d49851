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

// ErrNoResponse is returned if a node does not respond, or if the response has another
// status than 200 or cannot be decoded.
var ErrNoResponse = errors.New("handover: node gave no answer")

const (
	// dialTimeout limits the time to connect to a node.
	dialTimeout = 2 * time.Second
	// queryTimeout limits each request of ReportAll, and any request whose context has no
	// deadline.
	queryTimeout = 3 * time.Second
	// maxConcurrentQueries limits the requests that ReportAll has in flight.
	maxConcurrentQueries = 32
)

// Client queries nodes for their handover reports and the hosts that they know.
type Client struct {
	http *client.Client
}

// NewClient returns a client that uses the dialer of the Go standard library.
func NewClient() (*Client, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, fmt.Errorf("handover client: %w", err)
	}
	return &Client{http: c}, nil
}

// Report fetches the report of the node at a URL such as "http://127.0.0.1:9464".
func (c *Client) Report(ctx context.Context, url string) (Report, error) {
	var r Report
	err := c.get(ctx, url+ReportPath, &r)
	return r, err
}

// Hosts fetches the hosts that the node at a URL knows.
func (c *Client) Hosts(ctx context.Context, url string) ([]Host, error) {
	var list []Host
	err := c.get(ctx, url+HostsPath, &list)
	return list, err
}

// ReportAll fetches the reports of all hosts that the node at a URL knows, several at a
// time. A host that does not respond has its error in its answer.
func (c *Client) ReportAll(ctx context.Context, url string) ([]QueryResult, error) {
	hosts, err := c.Hosts(ctx, url)
	if err != nil {
		return nil, err
	}
	answers := make([]QueryResult, len(hosts))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, h := range hosts {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			r, err := c.Report(queryCtx, h.URL)
			answers[i] = QueryResult{Host: h, Report: r, Err: err}
		})
	}
	wg.Wait()
	return answers, nil
}

// get requests a URL and decodes the JSON response into out.
func (c *Client) get(ctx context.Context, url string, out any) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(http.MethodGet)
	request.SetRequestURI(strings.TrimSuffix(url, "/"))
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(queryTimeout)
	}
	if err := c.http.DoDeadline(ctx, request, response, deadline); err != nil {
		return fmt.Errorf("query %s: %w: %w", url, ErrNoResponse, err)
	}
	if response.StatusCode() != http.StatusOK {
		return fmt.Errorf("query %s: status %d: %w", url, response.StatusCode(), ErrNoResponse)
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return fmt.Errorf("decode response of %s: %w: %w", url, ErrNoResponse, err)
	}
	return nil
}

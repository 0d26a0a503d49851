// Package rest is the client of the platform's object API: REST with JSON in
// the manner of a Kubernetes custom resource.
//
// It uses the standard library's HTTP client, which never sends a write twice by
// itself and tells whether a request was sent at all; both decide between
// ErrUnavailable and ErrUnknownOutcome.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

const (
	// DefaultTimeout bounds one call when the configuration gives none.
	DefaultTimeout = 5 * time.Second
	// maxObjectBytes bounds the answer to a call for one object.
	maxObjectBytes = 4 << 20
	// maxListBytes bounds the answer to a list call.
	maxListBytes = 64 << 20
	// maxIdleConns is the number of connections kept open.
	maxIdleConns = 4
)

// Config says how to reach the platform.
type Config struct {
	// URL is the base URL, for example "https://10.0.0.1:6443".
	URL string
	// Mesh is the namespace of the mesh's objects.
	Mesh string
	// TokenFile holds a bearer token, which is read again as it may be replaced;
	// empty means none.
	TokenFile string
	// CAFile holds PEM certificates that sign the platform's; empty means those of
	// the system.
	CAFile string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
}

// Client is a platform.Store. It is safe for concurrent use.
type Client struct {
	base    string
	token   *token
	timeout time.Duration
	http    *http.Client
}

// New returns a client. It makes no call.
func New(c Config) (*Client, error) {
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("platform URL %q must be http or https with a host", c.URL)
	}
	if c.Mesh == "" {
		return nil, errors.New("platform mesh name is empty")
	}
	// HTTP/1.1 only: its rules for sending a write again are the ones that the
	// errors of this package rest on.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		Protocols:           protocols,
	}
	if c.CAFile != "" {
		if transport.TLSClientConfig, err = tlsConfig(c.CAFile); err != nil {
			return nil, err
		}
	}
	token, err := newToken(c.TokenFile)
	if err != nil {
		return nil, err
	}
	client := &Client{
		base:    strings.TrimSuffix(c.URL, "/") + basePath + url.PathEscape(c.Mesh) + "/",
		token:   token,
		timeout: c.Timeout,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if client.timeout <= 0 {
		client.timeout = DefaultTimeout
	}
	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	var o Object
	if err := c.read(ctx, c.objectURL(key), maxObjectBytes, &o); err != nil {
		return platform.Object{}, fmt.Errorf("get %s/%s: %w", key.Collection, key.Name, err)
	}
	return toObject(key.Collection, o), nil
}

// List reads a collection and the revision to watch from.
func (c *Client) List(ctx context.Context, collection platform.Collection) ([]platform.Object, platform.Revision, error) {
	var list List
	if err := c.read(ctx, c.collectionURL(collection), maxListBytes, &list); err != nil {
		return nil, "", fmt.Errorf("list %s: %w", collection, err)
	}
	objects := make([]platform.Object, 0, len(list.Items))
	for _, o := range list.Items {
		objects = append(objects, toObject(collection, o))
	}
	return objects, platform.Revision(list.Metadata.ResourceVersion), nil
}

// Put writes value if the object still has revision ifRevision.
func (c *Client) Put(ctx context.Context, key platform.Key, value json.RawMessage, ifRevision platform.Revision) (platform.Revision, error) {
	revision, err := c.put(ctx, key, value, ifRevision)
	if err != nil {
		return "", fmt.Errorf("put %s/%s: %w", key.Collection, key.Name, err)
	}
	return revision, nil
}

func (c *Client) put(ctx context.Context, key platform.Key, value json.RawMessage, ifRevision platform.Revision) (platform.Revision, error) {
	if len(value) > platform.MaxValueBytes {
		return "", fmt.Errorf("%d bytes: %w", len(value), platform.ErrTooLarge)
	}
	body, err := Encode(Object{
		APIVersion: APIVersion,
		Kind:       Kind(key.Collection),
		Metadata:   Metadata{Name: key.Name, ResourceVersion: string(ifRevision)},
		Spec:       value,
	})
	if err != nil {
		return "", err
	}
	method, target := http.MethodPut, c.objectURL(key)
	if ifRevision == "" {
		method, target = http.MethodPost, c.collectionURL(key.Collection)
	}
	var o Object
	err = c.write(ctx, method, target, body, &o)
	if errors.Is(err, platform.ErrNotFound) {
		return "", fmt.Errorf("object does not exist: %w", platform.ErrConflict)
	}
	if err == nil && o.Metadata.ResourceVersion == "" {
		return "", fmt.Errorf("answer has no resourceVersion: %w", platform.ErrUnknownOutcome)
	}
	return platform.Revision(o.Metadata.ResourceVersion), err
}

// Delete removes the object if it still has revision ifRevision.
func (c *Client) Delete(ctx context.Context, key platform.Key, ifRevision platform.Revision) error {
	body, err := Encode(DeleteOptions{
		APIVersion:    "v1",
		Kind:          "DeleteOptions",
		Preconditions: Preconditions{ResourceVersion: string(ifRevision)},
	})
	if err == nil {
		err = c.write(ctx, http.MethodDelete, c.objectURL(key), body, &Status{})
	}
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", key.Collection, key.Name, err)
	}
	return nil
}

// read makes a call without effect; whatever goes wrong, it can be made again.
func (c *Client) read(ctx context.Context, target string, limit int64, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, _, err := c.send(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return readFailure(resp)
	}
	if err := decode(resp.Body, limit, answer); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return nil
}

// write makes a call with effect. Once the request may have left this process,
// anything but a clear answer is an unknown outcome.
func (c *Client) write(ctx context.Context, method, target string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, sent, err := c.send(ctx, method, target, body)
	if err != nil && !sent {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return writeFailure(resp)
	}
	if err := decode(resp.Body, maxObjectBytes, answer); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
	}
	return nil
}

// send makes one HTTP request. After an error, sent tells whether any part of
// the request may have reached the platform.
func (c *Client) send(ctx context.Context, method, target string, body []byte) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("form request: %w", err)
	}
	req.Header.Set("Accept", "application/json")
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if token := c.token.value(time.Now()); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err = c.http.Do(req)
	return resp, connected.Load() && !isDialError(err), err
}

// isDialError reports whether the last connection attempt failed. The HTTP
// client only dials again for a write of which nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) collectionURL(collection platform.Collection) string {
	return c.base + url.PathEscape(string(collection))
}

func (c *Client) objectURL(key platform.Key) string {
	return c.collectionURL(key.Collection) + "/" + url.PathEscape(key.Name)
}

// Kind returns the kind of the objects in a collection, such as "Head".
func Kind(c platform.Collection) string {
	switch c {
	case platform.CollectionHistory:
		return "History"
	case platform.CollectionStatuses:
		return "Status"
	}
	name := strings.TrimSuffix(string(c), "s")
	if name == "" {
		return ""
	}
	return strings.ToUpper(name[:1]) + name[1:]
}

func toObject(collection platform.Collection, o Object) platform.Object {
	return platform.Object{
		Key:      platform.Key{Collection: collection, Name: o.Metadata.Name},
		Revision: platform.Revision(o.Metadata.ResourceVersion),
		Value:    o.Spec,
	}
}

// Encode writes v as JSON without escaping HTML, so that values keep their size.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return b.Bytes(), nil
}

// decode reads a whole JSON document of at most limit bytes.
func decode(r io.Reader, limit int64, v any) error {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if int64(len(raw)) > limit {
		return fmt.Errorf("answer has more than %d bytes", limit)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

package proxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/tarragondrum/tarragondrum/pkg/deadline"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const (
	// maxReplayBytes bounds the bodies that are held whole, so that a call can be
	// tried again.
	maxReplayBytes = 64 << 10
	// maxOrderBytes bounds the bodies of orders with a key, which are held whole.
	maxOrderBytes = 1 << 20
)

// call is one call on this node.
type call struct {
	ctx      context.Context
	start    time.Time
	deadline time.Time
	// impatient calls asked for less than half the time that route or service
	// give. Nested calls, which bring what is left, are usually patient.
	impatient bool

	service  string
	upstream string
	class    model.Class
	// depth is passed on; nested tells that it came marked as a retry.
	depth    Depth
	nested   bool
	attempts int
	budget   int // percent
	warmup   time.Duration
	ejected  int // percent

	method     string
	uri        string
	host       string
	idempotent bool
	key        string

	header protocol.RequestHeader
	body   []byte
	stream io.Reader
	length int64
	// sample is the beginning of a streamed body, as far as it has been read.
	sample []byte

	fingerprint uint64
}

// readHeader copies what is passed on of a request's header.
func (c *call) readHeader(src *protocol.RequestHeader) {
	c.method = string(src.Method())
	c.uri = string(src.RequestURI())
	c.host = string(src.Host())
	c.idempotent = isIdempotent(c.method)
	c.key = string(src.Peek(order.HeaderKey))
	copyRequestHeader(&c.header, src)
}

func isIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// isOrder reports whether the call is an order that the ledger decides on.
func (c *call) isOrder() bool { return c.class == model.ClassOrder && c.key != "" }

// replayable reports whether the whole request is at hand.
func (c *call) replayable() bool { return c.stream == nil }

// remaining returns the time that is left.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// readBody reads the body whole if it is small, and prepares to stream it
// otherwise. maxBytes bounds it; zero means no bound.
func (c *call) readBody(q *protocol.Request, maxBytes int64) error {
	if !q.IsBodyStream() {
		c.body = q.Body()
		return nil
	}
	whole := int64(maxReplayBytes)
	if c.isOrder() {
		whole = maxOrderBytes
	}
	length := int64(q.Header.ContentLength())
	if maxBytes > 0 && length > maxBytes {
		return ErrBodyTooLarge
	}
	src := q.BodyStream()
	if length >= 0 {
		return c.readKnown(src, length, whole)
	}
	return c.readChunks(src, maxBytes, whole)
}

func (c *call) readKnown(src io.Reader, length, whole int64) error {
	r := io.LimitReader(src, length)
	if length <= whole {
		c.body = make([]byte, length)
		_, err := io.ReadFull(r, c.body)
		return err
	}
	if c.isOrder() {
		return ErrBodyTooLarge
	}
	c.stream, c.length = r, length
	return nil
}

func (c *call) readChunks(src io.Reader, maxBytes, whole int64) error {
	if maxBytes <= 0 {
		maxBytes = 1 << 62
	}
	r := &boundedReader{r: src, left: maxBytes}
	first, err := io.ReadAll(io.LimitReader(r, whole+1))
	if err != nil {
		return err
	}
	if int64(len(first)) <= whole {
		c.body = first
		return nil
	}
	if c.isOrder() {
		return ErrBodyTooLarge
	}
	c.sample = first
	c.stream, c.length = io.MultiReader(bytes.NewReader(first), r), -1
	return nil
}

// boundedReader fails with ErrBodyTooLarge after its bound.
type boundedReader struct {
	r    io.Reader
	left int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.r.Read(p)
	if int64(n) > b.left {
		return int(b.left), ErrBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// mark works out the fingerprint by which a call that crashes upstreams is
// known again. Of a streamed body it covers the beginning or the length.
func (c *call) mark() {
	h := xxhash.New()
	for _, s := range []string{c.service, c.method, c.uri} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	_, _ = h.Write(c.sample)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(c.length)))
	c.fingerprint = h.Sum64()
}

// request returns the request of one try with the time that is left.
func (c *call) request(now time.Time) *client.Request {
	c.header.Set(deadline.Header, deadline.Format(deadline.Remaining(now, c.deadline)))
	return &client.Request{Header: &c.header, Body: c.body, Stream: c.stream, Length: c.length}
}

// bodyProblem says why a body that could not be read is refused.
func bodyProblem(err error) reason.Reason {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return reason.BodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return reason.DeadlineExpired
	}
	return reason.CallerGone
}

package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// MaxWholeBytes bounds the replies that are read whole before they are passed
// on; a longer or chunked reply is streamed.
const MaxWholeBytes = 64 << 10

const copyBufferBytes = 32 << 10

// Request is one request. Its header must carry no Content-Length or
// Transfer-Encoding: both follow from the body.
type Request struct {
	Header *protocol.RequestHeader
	// Body is sent when Stream is nil.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream; negative sends it in chunks.
	Length int64
}

// Reply is one reply. A reply with a Stream must be closed.
type Reply struct {
	Header protocol.ResponseHeader
	// Body is the whole body when Stream is nil.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of Stream; negative when it is not known.
	Length int64
}

// Close gives up the rest of a streamed reply. It is safe to call twice.
func (r *Reply) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close()
	}
}

// Do sends q and reads the reply into r. The deadline of ctx bounds the whole
// exchange including a streamed reply; when ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, q *Request, r *Reply) *Error {
	c, err := p.get(ctx)
	if err != nil {
		return err
	}
	if d, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, conn: c, stop: stop}
	if err := x.send(ctx, q); err != nil {
		x.finish(false)
		return err
	}
	if err := x.receive(ctx, q, r); err != nil {
		x.finish(false)
		return err
	}
	return nil
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// stop ends the watch on the call's context and reports whether the
	// connection is still open.
	stop func() bool
	done bool
}

// finish returns the connection to the pool if it can carry another request.
func (x *exchange) finish(reusable bool) {
	if x.done {
		return
	}
	x.done = true
	if open := x.stop(); open && reusable {
		x.pool.put(x.conn)
		return
	}
	x.pool.drop(x.conn)
}

func (x *exchange) send(ctx context.Context, q *Request) *Error {
	h := q.Header
	switch {
	case q.Stream == nil && (len(q.Body) > 0 || !h.IgnoreBody()):
		h.SetContentLength(len(q.Body))
	case q.Stream != nil && q.Length >= 0:
		h.SetContentLength(int(q.Length))
	case q.Stream != nil:
		h.SetContentLength(-1)
	}
	w := x.conn.bw
	w.Reset(x.conn)
	if _, err := w.Write(h.Header()); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	if q.Stream != nil {
		if err := x.sendStream(ctx, q); err != nil {
			return err
		}
	} else if _, err := w.Write(q.Body); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	if err := w.Flush(); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	return nil
}

// sendStream copies the body. A body that its sender cuts short is never ended
// like a whole one.
func (x *exchange) sendStream(ctx context.Context, q *Request) *Error {
	var w io.Writer = x.conn.bw
	var chunks io.WriteCloser
	if q.Length < 0 {
		chunks = httputil.NewChunkedWriter(x.conn.bw)
		w = chunks
	}
	buf := make([]byte, copyBufferBytes)
	var total int64
	for {
		n, readErr := q.Stream.Read(buf)
		if n > 0 {
			total += int64(n)
			if _, err := w.Write(buf[:n]); err != nil {
				return fail(ctx, x.conn, KindBroken, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			break
		}
		if readErr != nil {
			return fail(ctx, x.conn, KindBody, fmt.Errorf("read request body: %w", readErr))
		}
	}
	if q.Length >= 0 && total != q.Length {
		return fail(ctx, x.conn, KindBody, fmt.Errorf("request body has %d bytes of %d: %w", total, q.Length, io.ErrUnexpectedEOF))
	}
	if chunks == nil {
		return nil
	}
	if err := chunks.Close(); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	if _, err := x.conn.bw.WriteString("\r\n"); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	return nil
}

func (x *exchange) receive(ctx context.Context, q *Request, r *Reply) *Error {
	if err := x.readHeader(ctx, &r.Header); err != nil {
		return err
	}
	r.Body, r.Stream, r.Length = r.Body[:0], nil, 0
	if q.Header.IsHead() || r.Header.MustSkipContentLength() || r.Header.StatusCode() == 204 {
		x.finish(!r.Header.ConnectionClose())
		return nil
	}
	length := int64(r.Header.ContentLength())
	if length >= 0 && length <= MaxWholeBytes {
		return x.readWhole(ctx, r, int(length))
	}
	r.Length = max(length, -1)
	r.Stream = x.stream(ctx, length, !r.Header.ConnectionClose())
	return nil
}

// readHeader reads the final header, skipping interim ones.
func (x *exchange) readHeader(ctx context.Context, h *protocol.ResponseHeader) *Error {
	if _, err := x.conn.Peek(1); err != nil {
		return fail(ctx, x.conn, KindBroken, err)
	}
	for {
		h.Reset()
		h.SetNoDefaultContentType(true)
		if err := resp.ReadHeader(h, x.conn); err != nil {
			kind := KindMalformed
			if x.conn.ended() {
				kind = KindBroken
			}
			return fail(ctx, x.conn, kind, fmt.Errorf("read reply header: %w", err))
		}
		if code := h.StatusCode(); code < 100 || code >= 200 {
			return nil
		}
	}
}

func (x *exchange) readWhole(ctx context.Context, r *Reply, length int) *Error {
	if cap(r.Body) < length {
		r.Body = make([]byte, length)
	}
	r.Body = r.Body[:length]
	if _, err := io.ReadFull(x.conn.br, r.Body); err != nil {
		return fail(ctx, x.conn, KindBroken, fmt.Errorf("read reply body of %d bytes: %w", length, err))
	}
	x.finish(!r.Header.ConnectionClose())
	return nil
}

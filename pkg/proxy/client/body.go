package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
)

const maxTrailerBytes = 8 << 10

// errTrailer is returned for trailers over maxTrailerBytes.
var errTrailer = errors.New("trailers are too long")

// bodyStream reads a reply's body. Its error is io.EOF only after the whole body.
type bodyStream struct {
	x        *exchange
	ctx      context.Context
	r        io.Reader
	left     int64 // of a body of known length; negative otherwise
	chunked  bool
	reusable bool
	err      error
}

// stream returns the body that follows the header. A length of -1 means chunks,
// and a lower one everything until the peer closes the connection.
func (x *exchange) stream(ctx context.Context, length int64, reusable bool) io.ReadCloser {
	b := &bodyStream{x: x, ctx: ctx, r: x.conn.br, left: length, reusable: reusable}
	switch {
	case length >= 0:
		b.r = io.LimitReader(x.conn.br, length)
	case length == -1:
		b.chunked = true
		b.r = httputil.NewChunkedReader(x.conn.br)
	default:
		b.reusable = false
	}
	return b
}

// Read returns an *Error when the body is cut short.
func (b *bodyStream) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err == nil && b.left != 0 {
		return n, nil
	}
	b.end(err)
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// end decides how the body ended and gives the connection back.
func (b *bodyStream) end(err error) {
	whole := err == nil || errors.Is(err, io.EOF)
	switch {
	case whole && b.left > 0:
		err, whole = io.ErrUnexpectedEOF, false
	case whole && b.chunked:
		err = b.skipTrailer()
		whole = err == nil
	}
	if !whole {
		b.err = fail(b.ctx, b.x.conn, KindBroken, fmt.Errorf("read reply body: %w", err))
		b.x.finish(false)
		return
	}
	b.err = io.EOF
	b.x.finish(b.reusable)
}

// skipTrailer reads up to the empty line after the last chunk.
func (b *bodyStream) skipTrailer() error {
	total := 0
	for {
		line, err := b.x.conn.br.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
		if total += len(line); total > maxTrailerBytes {
			return errTrailer
		}
	}
}

// Close gives up the rest of the body.
func (b *bodyStream) Close() error {
	if b.err == nil {
		b.err = io.ErrClosedPipe
	}
	b.x.finish(false)
	return nil
}

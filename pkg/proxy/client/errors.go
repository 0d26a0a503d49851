package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Kind says in which way an exchange failed.
type Kind string

// The kinds of failure.
const (
	// KindBusy: every connection that the peer accepts is in use.
	KindBusy Kind = "busy"
	// KindConnect: no connection could be opened.
	KindConnect Kind = "connect"
	// KindBroken: the connection ended before the whole reply was read.
	KindBroken Kind = "broken"
	// KindTimeout: the deadline passed.
	KindTimeout Kind = "timeout"
	// KindCancelled: the caller went away.
	KindCancelled Kind = "cancelled"
	// KindMalformed: the peer sent something that is not an HTTP reply.
	KindMalformed Kind = "malformed"
	// KindBody: the body of the request could not be read from its sender.
	KindBody Kind = "request-body"
)

// Error is the failure of one exchange.
type Error struct {
	Kind Kind
	// Sent tells whether the peer may have received any byte of the request.
	Sent bool
	// Refused tells that nothing listens at the peer's address.
	Refused bool
	Err     error
}

// Error returns the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("exchange: %s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// fail classifies err. The state of ctx goes before the error itself, because
// an ended ctx closes the connection.
func fail(ctx context.Context, c *conn, kind Kind, err error) *Error {
	e := &Error{Kind: kind, Err: err}
	if c != nil {
		e.Sent = c.sent.Load()
	}
	var netErr net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.Kind = KindCancelled
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		e.Kind = KindTimeout
	case errors.As(err, &netErr) && netErr.Timeout():
		e.Kind = KindTimeout
	}
	return e
}

// Refused reports whether err tells that nothing listens at an address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

package codec

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
)

// Code is the outcome of a request in its reply.
type Code uint8

// The outcomes. CodeNone marks an envelope that is a request.
const (
	CodeNone        Code = 0
	CodeOK          Code = 1
	CodeRefused     Code = 2
	CodeBusy        Code = 3
	CodeUnknownKind Code = 4
	CodeMalformed   Code = 5
)

// maxErrorBytes bounds the text of an error that travels back.
const maxErrorBytes = 512

// Envelope is one message on a stream: a request, or the reply to the request
// with the same ID.
type Envelope struct {
	_    struct{}  `cbor:",toarray"`
	ID   uint64    // unique among the requests of one connection and direction
	Kind mesh.Kind // the kind of the request, also in the reply
	Code Code      // CodeNone in a request
	// TimeoutMillis is the time that the caller still waits; zero in a reply.
	TimeoutMillis uint32
	Error         string
	Body          cbor.RawMessage
}

// IsRequest reports whether the envelope carries a request.
func (e *Envelope) IsRequest() bool { return e.Code == CodeNone }

// Timeout returns the time that the caller still waits.
func (e *Envelope) Timeout() time.Duration {
	return time.Duration(e.TimeoutMillis) * time.Millisecond
}

// EncodeEnvelope encodes e. It returns mesh.ErrTooLarge if the result is over
// mesh.MaxMessageBytes.
func EncodeEnvelope(e *Envelope) ([]byte, error) {
	if len(e.Body) == 0 {
		e.Body = cbor.RawMessage{0xf6} // CBOR null
	}
	data, err := Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(data) > mesh.MaxMessageBytes {
		return nil, fmt.Errorf("message of kind %d has %d bytes: %w", e.Kind, len(data), mesh.ErrTooLarge)
	}
	return data, nil
}

// DecodeEnvelope decodes an envelope. It returns mesh.ErrTooLarge or
// mesh.ErrMalformed.
func DecodeEnvelope(data []byte) (Envelope, error) {
	if len(data) > mesh.MaxMessageBytes {
		return Envelope{}, fmt.Errorf("message has %d bytes: %w", len(data), mesh.ErrTooLarge)
	}
	var e Envelope
	if err := Unmarshal(data, &e); err != nil {
		return Envelope{}, err
	}
	if e.Code > CodeMalformed {
		return Envelope{}, fmt.Errorf("reply code %d does not exist: %w", e.Code, mesh.ErrMalformed)
	}
	return e, nil
}

// TimeoutMillis returns the time left before ctx's deadline for an envelope, at
// least 1; zero means that there is no deadline.
func TimeoutMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline).Milliseconds()
	return uint32(min(max(left, 1), math.MaxUint32))
}

// EncodeReply encodes a reply, or the reason for which it has no encoding.
func EncodeReply(e *Envelope) []byte {
	data, err := EncodeEnvelope(e)
	if err == nil {
		return data
	}
	data, err = EncodeEnvelope(Reply(e, nil, err))
	if err != nil {
		panic(fmt.Errorf("encode an error reply: %w", err)) // a bounded text always has an encoding
	}
	return data
}

// Reply builds the reply to request from a handler's result.
func Reply(request *Envelope, reply any, err error) *Envelope {
	out := &Envelope{ID: request.ID, Kind: request.Kind, Code: CodeOK}
	if err == nil {
		out.Body, err = Marshal(reply)
	}
	if err == nil {
		return out
	}
	out.Code = codeOf(err)
	out.Body = nil
	out.Error = err.Error()
	if len(out.Error) > maxErrorBytes {
		out.Error = out.Error[:maxErrorBytes]
	}
	return out
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, mesh.ErrBusy):
		return CodeBusy
	case errors.Is(err, mesh.ErrUnknownKind):
		return CodeUnknownKind
	case errors.Is(err, mesh.ErrMalformed):
		return CodeMalformed
	}
	return CodeRefused
}

// Result decodes the reply envelope e into reply, which may be nil, or returns
// the error that the peer answered with.
func Result(e *Envelope, reply any) error {
	switch e.Code {
	case CodeOK:
		if reply == nil {
			return nil
		}
		return Unmarshal(e.Body, reply)
	case CodeBusy:
		return fmt.Errorf("%w: %s", mesh.ErrBusy, e.Error)
	case CodeUnknownKind:
		return fmt.Errorf("%w: %w: %s", mesh.ErrRefused, mesh.ErrUnknownKind, e.Error)
	case CodeMalformed:
		return fmt.Errorf("%w: %w: %s", mesh.ErrRefused, mesh.ErrMalformed, e.Error)
	}
	return fmt.Errorf("%w: %s", mesh.ErrRefused, e.Error)
}

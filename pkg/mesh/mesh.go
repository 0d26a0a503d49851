// Package mesh defines how nodes talk to each other: requests with replies
// over WebSocket streams, and small datagrams over UDP. Both carry CBOR.
//
// Subpackage wire is the network transport, subpackage memory connects nodes of
// one process for tests, subpackage fault adds delay, loss and cuts to either.
package mesh

import (
	"context"
	"errors"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Errors of the transport. Transports wrap them, so use errors.Is.
var (
	// ErrUnreachable: the peer could not be reached; the request was not handled.
	ErrUnreachable = errors.New("mesh: peer unreachable")
	// ErrTimeout: no reply came in time; the request may have been handled.
	ErrTimeout = errors.New("mesh: no reply in time")
	// ErrRefused: the peer answered with an error.
	ErrRefused = errors.New("mesh: peer refused the request")
	// ErrTooLarge: the message is over MaxMessageBytes or MaxDatagramBytes.
	ErrTooLarge = errors.New("mesh: message too large")
	// ErrMalformed: a message could not be decoded.
	ErrMalformed = errors.New("mesh: malformed message")
	// ErrUnknownKind: no handler is registered for the message.
	ErrUnknownKind = errors.New("mesh: unknown message kind")
	// ErrBusy: the peer or the local queue is full.
	ErrBusy = errors.New("mesh: too many requests in flight")
)

const (
	// MaxMessageBytes bounds one stream message.
	MaxMessageBytes = 8 << 20
	// MaxDatagramBytes bounds one datagram, so that it is never fragmented.
	MaxDatagramBytes = 1200
)

// Kind numbers the message types. A number is never used again for another type.
type Kind uint16

// The kinds of request and datagram. Each package that owns a message declares
// its Go type; the numbers stand here so that they stay unique.
const (
	KindPing           Kind = 1
	KindAck            Kind = 2
	KindIndirectPing   Kind = 3
	KindJoin           Kind = 10
	KindExchange       Kind = 11
	KindUpdate         Kind = 12
	KindPush           Kind = 20
	KindPull           Kind = 21
	KindReport         Kind = 22
	KindProgress       Kind = 23
	KindOrderTransfer  Kind = 30
	KindOrderAdmission Kind = 31
	KindOrderRecord    Kind = 32
)

// Peer is the address of another node.
type Peer struct {
	ID model.NodeID
	// Addr is the IP and port of the peer's mesh listener, the same for TCP and UDP.
	Addr string
}

// Handler answers one request. The reply is encoded as CBOR; an error travels
// back as ErrRefused with its text.
type Handler func(ctx context.Context, from Peer, body []byte) (reply any, err error)

// DatagramHandler takes one datagram. It must return quickly.
type DatagramHandler func(from Peer, body []byte)

// Transport carries messages between nodes. Handlers are registered before the
// transport starts.
type Transport interface {
	// Self returns the local peer.
	Self() Peer
	// Call sends a request and decodes the peer's reply into reply, which may be
	// nil. ctx bounds the whole exchange.
	Call(ctx context.Context, to Peer, kind Kind, request, reply any) error
	// Send sends one datagram without any promise that it arrives.
	Send(to Peer, kind Kind, message any) error
	// Handle registers the handler of a request kind.
	Handle(kind Kind, h Handler)
	// HandleDatagram registers the handler of a datagram kind.
	HandleDatagram(kind Kind, h DatagramHandler)
}

// Traffic counts the bytes that a transport sent and received, by message kind.
type Traffic struct {
	SentBytes     map[Kind]uint64
	ReceivedBytes map[Kind]uint64
	SentCount     map[Kind]uint64
}

// Meter is implemented by transports that count their traffic.
type Meter interface {
	Traffic() Traffic
}

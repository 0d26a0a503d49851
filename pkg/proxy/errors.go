package proxy

import "errors"

// Errors of the package.
var (
	// ErrToken: a hop header does not carry the mesh's token.
	ErrToken = errors.New("proxy: hop header without a valid token")
	// ErrHop: a hop header from a node is malformed.
	ErrHop = errors.New("proxy: malformed hop header")
	// ErrInFlight: calls were in flight when a listener was closed.
	ErrInFlight = errors.New("proxy: calls are still in flight")
	// ErrNotLoopback: the outbound listener would be open to other hosts.
	ErrNotLoopback = errors.New("proxy: not a loopback address")
	// ErrBodyTooLarge: a request's body is over its bound.
	ErrBodyTooLarge = errors.New("proxy: request body is too large")
)

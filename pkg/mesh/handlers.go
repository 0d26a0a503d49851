package mesh

import "sync"

// Handlers holds the handlers of a transport by message kind. Its zero value is
// ready; its methods are safe for concurrent use.
type Handlers struct {
	mu        sync.RWMutex
	requests  map[Kind]Handler
	datagrams map[Kind]DatagramHandler
}

// Handle registers the handler of a request kind.
func (h *Handlers) Handle(kind Kind, handler Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		h.requests = make(map[Kind]Handler)
	}
	h.requests[kind] = handler
}

// HandleDatagram registers the handler of a datagram kind.
func (h *Handlers) HandleDatagram(kind Kind, handler DatagramHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.datagrams == nil {
		h.datagrams = make(map[Kind]DatagramHandler)
	}
	h.datagrams[kind] = handler
}

// Request returns the handler of a request kind.
func (h *Handlers) Request(kind Kind) (Handler, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	handler, ok := h.requests[kind]
	return handler, ok
}

// Datagram returns the handler of a datagram kind.
func (h *Handlers) Datagram(kind Kind) (DatagramHandler, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	handler, ok := h.datagrams[kind]
	return handler, ok
}

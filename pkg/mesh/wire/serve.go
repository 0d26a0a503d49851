package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// incoming is a connection that a peer opened.
type incoming struct {
	conn *websocket.Conn
	peer mesh.Peer
	// slots bounds the requests that run at the same time.
	slots chan struct{}
}

func (t *Transport) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, t.accept)
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          t.handshakeLog(),
	}
	if t.credentials != nil {
		s.TLSConfig = t.credentials.ServerConfig()
		// WebSocket needs HTTP/1.1.
		s.TLSConfig.NextProtos = []string{"http/1.1"}
	}
	return s
}

func (t *Transport) serve(ln net.Listener) {
	var err error
	if t.credentials == nil {
		err = t.server.Serve(ln)
	} else {
		err = t.server.ServeTLS(ln, "", "")
	}
	if !errors.Is(err, http.ErrServerClosed) {
		t.log.Emit(event.MeshListenerFailed, event.F("error", err))
	}
}

// accept turns an HTTP request into a connection and serves it to its end.
func (t *Transport) accept(w http.ResponseWriter, r *http.Request) {
	peer, err := t.peerOf(r)
	if err != nil {
		t.refuse(refusedCertificate, r.RemoteAddr, err)
		http.Error(w, "unknown peer", http.StatusForbidden)
		return
	}
	w.Header().Set(headerNode, string(t.self.ID))
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		t.refuse(refusedMalformed, r.RemoteAddr, err)
		return
	}
	conn.SetReadLimit(mesh.MaxMessageBytes)
	c := &incoming{conn: conn, peer: peer, slots: make(chan struct{}, maxRequests)}
	if !t.addIncoming(c) {
		t.refuse(refusedConnections, r.RemoteAddr, mesh.ErrBusy)
		_ = conn.Close(websocket.StatusTryAgainLater, "too many connections")
		return
	}
	defer t.removeIncoming(c)
	t.serveRequests(c)
}

// peerOf returns who connects: by its certificate, or as it says of itself on
// loopback without TLS.
func (t *Transport) peerOf(r *http.Request) (mesh.Peer, error) {
	peer := mesh.Peer{ID: model.NodeID(r.Header.Get(headerNode)), Addr: r.Header.Get(headerAddress)}
	if t.credentials != nil {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			return peer, pki.ErrNoNodeID
		}
		id, err := pki.NodeID(r.TLS.PeerCertificates[0])
		if err != nil {
			return peer, err
		}
		peer.ID = id
	}
	if peer.ID == "" {
		return peer, pki.ErrNoNodeID
	}
	return peer, nil
}

func (t *Transport) addIncoming(c *incoming) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.stopped || len(t.incoming) >= maxIncoming {
		return false
	}
	t.incoming[c] = struct{}{}
	t.group.Add(1)
	return true
}

func (t *Transport) removeIncoming(c *incoming) {
	defer t.group.Done()
	_ = c.conn.CloseNow()
	t.connMu.Lock()
	defer t.connMu.Unlock()
	delete(t.incoming, c)
}

// serveRequests reads requests until the connection ends or breaks a bound.
func (t *Transport) serveRequests(c *incoming) {
	for {
		data, err := readMessage(t.ctx, c.conn)
		if err != nil {
			t.noteReadError(c.peer.Addr, err)
			return
		}
		e, err := codec.DecodeEnvelope(data)
		if err == nil && !e.IsRequest() {
			err = fmt.Errorf("reply in place of a request: %w", mesh.ErrMalformed)
		}
		if err != nil {
			t.refuse(refusalOf(err), c.peer.Addr, err)
			return
		}
		t.countReceived(e.Kind, len(data))
		t.startRequest(c, e)
	}
}

// startRequest runs the handler of a request, or refuses it if too many run.
func (t *Transport) startRequest(c *incoming, e codec.Envelope) {
	select {
	case c.slots <- struct{}{}:
	default:
		t.refuse(refusedBusy, c.peer.Addr, mesh.ErrBusy)
		t.reply(c, codec.Reply(&e, nil, mesh.ErrBusy))
		return
	}
	t.group.Go(func() {
		defer func() { <-c.slots }()
		t.reply(c, t.handle(c, &e))
	})
}

func (t *Transport) handle(c *incoming, e *codec.Envelope) *codec.Envelope {
	h, ok := t.Request(e.Kind)
	if !ok {
		err := fmt.Errorf("request kind %d: %w", e.Kind, mesh.ErrUnknownKind)
		t.refuse(refusedKind, c.peer.Addr, err)
		return codec.Reply(e, nil, err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, requestTime(e.Timeout()))
	defer cancel()
	reply, err := h(ctx, c.peer, e.Body)
	return codec.Reply(e, reply, err)
}

func requestTime(asked time.Duration) time.Duration {
	if asked <= 0 || asked > maxRequestTime {
		return maxRequestTime
	}
	return asked
}

func (t *Transport) reply(c *incoming, e *codec.Envelope) {
	data := codec.EncodeReply(e)
	if writeMessage(t.ctx, c.conn, data) == nil {
		t.countSent(e.Kind, len(data))
	}
}

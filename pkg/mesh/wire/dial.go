package wire

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

const (
	// path is where peers connect.
	path = "/mesh/v1"
	// headerNode and headerAddress introduce a peer. With TLS the id is taken
	// from the certificate instead.
	headerNode    = "Tarragondrum-Node"
	headerAddress = "Tarragondrum-Mesh-Address"
)

// stream returns an open connection to the peer, opening one if necessary.
// Callers that need the same connection share one attempt.
func (t *Transport) stream(ctx context.Context, to mesh.Peer) (*stream, error) {
	if s := t.openStream(to); s != nil {
		return s, nil
	}
	key := streamKey(to)
	result := t.dials.DoChan(key, func() (any, error) {
		if s := t.openStream(to); s != nil {
			return s, nil
		}
		return t.dial(to)
	})
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*stream), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w: %w", to.Addr, mesh.ErrUnreachable, ctx.Err())
	}
}

// streamKey tells connections apart: a peer that is only known by its address
// may turn out to be any node.
func streamKey(to mesh.Peer) string { return to.Addr + " " + string(to.ID) }

func (t *Transport) openStream(to mesh.Peer) *stream {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	s, ok := t.outgoing[streamKey(to)]
	if !ok {
		return nil
	}
	select {
	case <-s.done:
		delete(t.outgoing, streamKey(to))
		return nil
	default:
		return s
	}
}

// dial opens a connection and checks that the peer is who it should be.
func (t *Transport) dial(to mesh.Peer) (*stream, error) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, t.url(to.Addr), t.dialOptions())
	if err != nil {
		t.metrics.dials.WithLabelValues("failed").Inc()
		return nil, fmt.Errorf("dial %s: %w: %w", to.Addr, mesh.ErrUnreachable, err)
	}
	if err := t.checkPeer(to, resp); err != nil {
		t.metrics.dials.WithLabelValues("refused").Inc()
		_ = conn.CloseNow()
		return nil, err
	}
	t.metrics.dials.WithLabelValues("ok").Inc()
	conn.SetReadLimit(mesh.MaxMessageBytes)
	s := newStream(conn)
	if err := t.keep(to, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (t *Transport) url(addr string) string {
	if t.credentials == nil {
		return "ws://" + addr + path
	}
	return "wss://" + addr + path
}

func (t *Transport) dialOptions() *websocket.DialOptions {
	transport := &http.Transport{TLSHandshakeTimeout: dialTimeout, DisableKeepAlives: true}
	if t.credentials != nil {
		transport.TLSClientConfig = t.credentials.ClientConfig()
	}
	return &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
		HTTPHeader: http.Header{
			headerNode:    {string(t.self.ID)},
			headerAddress: {t.self.Addr},
		},
	}
}

// checkPeer compares the peer's id with the expected one, if any.
func (t *Transport) checkPeer(to mesh.Peer, resp *http.Response) error {
	id := model.NodeID(resp.Header.Get(headerNode))
	if t.credentials != nil {
		var err error
		id, err = pki.NodeID(resp.TLS.PeerCertificates[0])
		if err != nil {
			t.refuse(refusedCertificate, to.Addr, err)
			return fmt.Errorf("peer at %s: %w: %w", to.Addr, mesh.ErrUnreachable, err)
		}
	}
	if to.ID != "" && id != to.ID {
		return fmt.Errorf("peer at %s is %q, not %q: %w", to.Addr, id, to.ID, mesh.ErrUnreachable)
	}
	return nil
}

// keep adds an open connection and reads its replies. If there are too many,
// the one unused for longest is closed.
func (t *Transport) keep(to mesh.Peer, s *stream) error {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.stopped {
		s.close()
		return fmt.Errorf("transport is stopped: %w", mesh.ErrUnreachable)
	}
	if len(t.outgoing) >= maxOutgoing {
		t.evict()
	}
	t.outgoing[streamKey(to)] = s
	t.group.Go(func() { t.readReplies(s, to.Addr) })
	return nil
}

// evict closes the connection unused for longest; busy ones stay.
func (t *Transport) evict() {
	var oldest string
	var since time.Time
	for key, s := range t.outgoing {
		last, idle := s.idleSince()
		if idle && (oldest == "" || last.Before(since)) {
			oldest, since = key, last
		}
	}
	if oldest != "" {
		t.outgoing[oldest].close()
		delete(t.outgoing, oldest)
	}
}

// closeIdle closes connections that have not been used for a while.
func (t *Transport) closeIdle() {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.closeIdleBefore(now.Add(-idleTimeout))
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) closeIdleBefore(limit time.Time) {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for key, s := range t.outgoing {
		if last, idle := s.idleSince(); idle && last.Before(limit) {
			s.close()
			delete(t.outgoing, key)
		}
	}
}

// closeAll closes every connection, in both directions.
func (t *Transport) closeAll() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	for _, s := range t.outgoing {
		s.close()
	}
	for c := range t.incoming {
		_ = c.conn.CloseNow()
	}
}

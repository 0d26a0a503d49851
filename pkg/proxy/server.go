package proxy

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

const (
	// maxHeaderBytes bounds the headers of one request.
	maxHeaderBytes = 16 << 10
	// idleTimeout is longer than the time for which nodes keep idle connections.
	idleTimeout          = 3 * time.Minute
	defaultHeaderTimeout = 5 * time.Second
	pollInterval         = 2 * time.Millisecond
	// calmPolls is the number of looks in a row without a call in flight after
	// which a listener counts as idle.
	calmPolls = 10
)

func init() { hlog.SetLevel(hlog.LevelFatal) }

// listener is one HTTP listener for calls.
type listener struct {
	name     string
	log      *event.Log
	guard    *guard
	hertz    *server.Hertz
	stopping atomic.Bool
	served   chan struct{}
}

// listen binds address and serves calls with handle.
func listen(name, address string, headerTimeout time.Duration, log *event.Log, handle app.HandlerFunc) (*listener, error) {
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy: %s: listen on %s: %w", name, address, err)
	}
	l := &listener{name: name, log: log, guard: newGuard(ln, headerTimeout), served: make(chan struct{})}
	l.hertz = server.New(
		server.WithListener(l.guard),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(withConn),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(0),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithUseRawPath(true),
	)
	l.hertz.Any("/*path", func(ctx context.Context, c *app.RequestContext) {
		conn := connOf(ctx)
		conn.begin()
		handle(ctx, c)
		if l.stopping.Load() {
			c.SetConnectionClose()
		}
		conn.answered.Store(true)
	})
	go l.serve()
	for !l.hertz.IsRunning() {
		time.Sleep(pollInterval)
	}
	log.Emit(event.ListenerOpened, event.F("listener", name), event.F("address", l.address()))
	return l, nil
}

func (l *listener) address() string { return l.guard.Addr().String() }

func (l *listener) serve() {
	defer close(l.served)
	if err := l.hertz.Run(); err != nil && !l.stopping.Load() {
		l.log.Emit(event.ListenerFailed, event.F("listener", l.name), event.F("error", err))
	}
}

// closeNew makes every connection close after its next answer.
func (l *listener) closeNew() { l.stopping.Store(true) }

// stop closes the listener, serves the calls that still come over open
// connections, each of which then closes, and returns when none is in flight or
// ctx ends.
func (l *listener) stop(ctx context.Context) error {
	l.closeNew()
	_ = l.guard.Close()
	err := l.awaitIdle(ctx)
	l.guard.closeIdle()
	if err != nil {
		l.guard.closeAll()
		l.log.Emit(event.ListenerCut, event.F("listener", l.name), event.F("inFlight", l.guard.inFlight.Load()))
		return err
	}
	l.log.Emit(event.ListenerDrained, event.F("listener", l.name))
	return nil
}

func (l *listener) awaitIdle(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for calm := 0; calm < calmPolls; {
		calm++
		if l.guard.inFlight.Load() > 0 {
			calm = 0
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %d calls: %w", l.name, l.guard.inFlight.Load(), ErrInFlight)
		case <-tick.C:
		}
	}
	return nil
}

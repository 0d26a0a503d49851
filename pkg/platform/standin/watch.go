package standin

import (
	"context"
	"errors"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
)

// positioned is a watch that knows up to where it has reported everything.
type positioned interface {
	Revision() platform.Revision
}

// watch answers with one JSON line per change until the watch breaks.
func (s *Server) watch(ctx context.Context, c *app.RequestContext) {
	w, err := s.store.Watch(ctx, storeCollection(c), platform.Revision(c.Query("resourceVersion")))
	if err != nil {
		s.fail(c, err)
		return
	}
	defer func() { _ = w.Close() }()
	c.Response.Header.SetContentType("application/json")
	out := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(out)
	// The header goes out first, so that the caller knows the watch stands.
	if _, err := out.Write(nil); err != nil || out.Flush() != nil {
		return
	}
	for {
		event, last, err := s.nextEvent(c, w)
		if err != nil || writeLine(out, event) != nil {
			_ = c.GetConn().Close()
			return
		}
		if last {
			return
		}
	}
}

// nextEvent returns the next change, a bookmark when nothing comes, or as the
// last event an expired status. An error means that the watch was dropped.
func (s *Server) nextEvent(c *app.RequestContext, w platform.Watch) (event []byte, last bool, err error) {
	ctx, cancel := context.WithTimeout(s.ending, bookmarkInterval)
	defer cancel()
	change, err := w.Next(ctx)
	switch {
	case err == nil:
		event, err = encodeEvent(eventType(change), wireObject(c, change.Object))
	case errors.Is(err, platform.ErrCompacted):
		last = true
		event, err = encodeEvent(rest.EventError, rest.NewStatus(410, rest.ReasonExpired, err.Error()))
	case s.ending.Err() == nil && errors.Is(err, context.DeadlineExceeded):
		o := platform.Object{Revision: w.(positioned).Revision()}
		event, err = encodeEvent(rest.EventBookmark, wireObject(c, o))
	}
	return event, last, err
}

// eventType does not tell added from modified: the store keeps no first version,
// and callers treat both as the new value.
func eventType(change platform.Change) string {
	if change.Type == platform.ChangeDelete {
		return rest.EventDeleted
	}
	return rest.EventModified
}

func encodeEvent(kind string, object any) ([]byte, error) {
	raw, err := rest.Encode(object)
	if err != nil {
		return nil, err
	}
	return rest.Encode(rest.Event{Type: kind, Object: raw})
}

func writeLine(out network.ExtWriter, line []byte) error {
	if _, err := out.Write(line); err != nil {
		return err
	}
	return out.Flush()
}

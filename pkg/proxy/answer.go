package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// answer is the end of a try: an upstream's reply, a refusal, or both when the
// upstream itself turned the call away.
type answer struct {
	reply *client.Reply
	// reason is empty for a plain reply.
	reason     reason.Reason
	effect     reason.Effect
	retryAfter time.Duration
	// detail adds to the reason in the body of a refusal.
	detail string
	// replayed replies are stored outcomes of an order.
	replayed bool
	// load is the value of HeaderLoad; empty when it is not known.
	load string
}

// refuse returns a refusal with the usual effect of its reason.
func refuse(r reason.Reason) answer {
	e := reason.Lookup(r)
	return answer{reason: r, effect: e.Effect, retryAfter: e.RetryAfter}
}

// refuseAs returns a refusal with a known effect.
func refuseAs(r reason.Reason, effect reason.Effect, retryAfter time.Duration) answer {
	return answer{reason: r, effect: effect, retryAfter: retryAfter}
}

// failed reports whether there is no plain reply to pass on.
func (a *answer) failed() bool { return a.reason != "" }

// write puts the answer into the response. finish is called when nothing of the
// reply is needed any more.
func (a *answer) write(rc *app.RequestContext, log *event.Log, finish func(error)) {
	if a.reply == nil {
		a.writeRefusal(rc)
		finish(nil)
		return
	}
	copyResponseHeader(&rc.Response.Header, &a.reply.Header)
	a.writeReason(rc)
	switch {
	case a.reply.Stream != nil:
		s := &replyStream{reply: a.reply, rc: rc, log: log, finish: finish}
		rc.Response.SetBodyStream(s, int(a.reply.Length))
		return
	case rc.Request.Header.IsHead():
		rc.Response.Header.SetContentLength(max(0, a.reply.Header.ContentLength()))
	default:
		rc.Response.SetBodyRaw(a.reply.Body)
	}
	finish(nil)
}

// writeReason sets the system's own headers.
func (a *answer) writeReason(rc *app.RequestContext) {
	h := &rc.Response.Header
	h.Set(reason.HeaderEffect, string(a.effect))
	if a.reason != "" {
		h.Set(reason.HeaderReason, string(a.reason))
	}
	if a.retryAfter > 0 {
		h.Set(reason.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds()))))
	}
	if a.replayed {
		h.Set(reason.HeaderReplayed, "true")
	}
}

func (a *answer) writeRefusal(rc *app.RequestContext) {
	rc.Response.SetStatusCode(reason.Lookup(a.reason).Status)
	a.writeReason(rc)
	rc.Response.Header.SetContentType("application/json")
	body, err := json.Marshal(refusalBody{Reason: a.reason, Effect: a.effect, Detail: a.detail})
	if err != nil {
		return
	}
	rc.Response.SetBodyRaw(body)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason reason.Reason `json:"reason"`
	Effect reason.Effect `json:"effect"`
	Detail string        `json:"detail,omitempty"`
}

// replyStream passes a long reply on. When it breaks off, the caller's
// connection is closed, because hertz would end the chunks as if all were well.
type replyStream struct {
	reply  *client.Reply
	rc     *app.RequestContext
	log    *event.Log
	finish func(error)
	err    error
}

// Read reads the reply.
func (s *replyStream) Read(p []byte) (int, error) {
	n, err := s.reply.Stream.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		s.err = err
		return n, err
	}
	s.err = err
	s.log.Emit(event.ReplyCut, event.F("path", string(s.rc.Path())), event.F("error", err))
	_ = s.rc.GetConn().Close()
	return n, err
}

// Close ends the call.
func (s *replyStream) Close() error {
	if s.finish == nil {
		return nil
	}
	s.reply.Close()
	err := s.err
	if errors.Is(err, io.EOF) {
		err = nil
	}
	s.finish(err)
	s.finish = nil
	return nil
}

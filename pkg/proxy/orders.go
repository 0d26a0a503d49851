package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"

	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// maxOutcomeBytes bounds the replies that are stored for a re-sent order.
const maxOutcomeBytes = 256 << 10

// orders runs orders with a key at most once. The zero value has no ledger and
// must not run any.
type orders struct {
	ledger order.Ledger
}

// run asks the ledger whether the order may run. An order that has begun is not
// cancelled when its caller goes, so that a re-send gets its outcome.
func (o orders) run(c *call, admit func() (answer, func(error))) (answer, func(error)) {
	q := order.Request{Service: c.service, Key: c.key, Digest: digest(c)}
	d := o.ledger.Begin(c.ctx, q)
	switch d.Verdict {
	case order.VerdictReplay:
		return replay(d.Outcome), noop
	case order.VerdictRun:
	default:
		return refuseAs(d.Reason, d.Effect, d.RetryAfter), noop
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
	defer cancel()
	c.ctx = ctx
	a, done := admit()
	return o.conclude(q, a, done), noop
}

// digest covers everything that makes two orders the same.
func digest(c *call) [sha256.Size]byte {
	h := sha256.New()
	for _, s := range []string{c.method, c.uri} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// conclude reads the whole reply and tells the ledger how the order ended.
func (o orders) conclude(q order.Request, a answer, done func(error)) answer {
	if a.reply != nil && a.reply.Stream != nil {
		err := readWhole(a.reply)
		done(err)
		if err != nil {
			a = refuseAs(reason.ReplyBroken, reason.Unknown, 0)
		}
	}
	switch a.effect {
	case reason.NotRun:
		o.ledger.NotRun(q)
	case reason.Run:
		o.ledger.Finish(q, asOutcome(a.reply))
	default:
		o.ledger.Lost(q)
	}
	return a
}

// errReplyTooLong is returned for replies over maxOutcomeBytes.
var errReplyTooLong = errors.New("proxy: reply to an order is too long")

// readWhole turns a streamed reply into a whole one.
func readWhole(r *client.Reply) error {
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r.Stream, maxOutcomeBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxOutcomeBytes {
		return errReplyTooLong
	}
	r.Body, r.Stream = body, nil
	return nil
}

func asOutcome(r *client.Reply) order.Outcome {
	out := order.Outcome{Status: r.Header.StatusCode(), Body: append([]byte(nil), r.Body...)}
	connection := string(r.Header.Peek("Connection"))
	r.Header.VisitAll(func(key, value []byte) {
		name := string(key)
		if isOwn(name) || isHopByHop(name, connection) {
			return
		}
		out.Header = append(out.Header, order.Header{Name: name, Value: string(value)})
	})
	return out
}

func replay(o *order.Outcome) answer {
	r := &client.Reply{Body: o.Body}
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetStatusCode(o.Status)
	for _, h := range o.Header {
		r.Header.Add(h.Name, h.Value)
	}
	return answer{reply: r, effect: reason.Run, replayed: true}
}

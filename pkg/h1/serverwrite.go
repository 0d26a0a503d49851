package h1

import (
	"bufio"
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// writeAnswers writes the responses in the order of the requests.
func (c *serverConn) writeAnswers(ctx context.Context) {
	w := bufio.NewWriterSize(c.conn, bufferBytes)
	for p := range c.queue {
		answer := p.await(ctx)
		if answer == nil {
			p.abandon()
			c.discard()
			return
		}
		c.addReady(-1)
		c.server.Memory.Release(p.held)
		canContinue := c.writeAnswer(ctx, w, p, answer)
		answer.Held.Release()
		c.discharge(p.cost)
		if !canContinue {
			c.discard()
			return
		}
	}
}

// await waits for the response. It returns nil if the connection ends first.
func (p *pending) await(ctx context.Context) *Response {
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
	}
	select {
	case answer := <-p.answer: // the response was ready as well
		return answer
	default:
		return nil
	}
}

// writeAnswer writes one response and reports whether the connection can carry more.
func (c *serverConn) writeAnswer(ctx context.Context, w *bufio.Writer, p *pending, answer *Response) bool {
	draining := c.server.draining.Load()
	c.mu.Lock()
	// While draining, the connection closes after the response to its newest request.
	if draining && c.unanswered == 1 && !c.reading {
		c.closing = true
		p.closeAfter = true
	}
	c.mu.Unlock()
	answer.Close = answer.Close || p.closeAfter
	err := c.write(ctx, w, answer.writeHead(w, p.method))
	c.mu.Lock()
	c.unanswered--
	if !c.closing {
		c.setIdle()
	}
	c.mu.Unlock()
	if err != nil {
		if isTimeout(err) {
			c.server.refused(ReasonAnswerUnread)
		}
		_ = c.conn.Close()
		return false
	}
	if answer.Close {
		c.linger()
		return false
	}
	return true
}

// write writes the body after the buffered header and flushes w. A large body is paced to
// the bandwidth of the link.
func (c *serverConn) write(ctx context.Context, w *bufio.Writer, body []byte) error {
	if len(body) <= pace.PartBytes {
		c.server.Uplink.RecordSent(len(body) + w.Buffered())
		return c.writePart(w, body)
	}
	schedule := c.server.Uplink.Schedule(len(body))
	defer schedule.Cancel()
	for len(body) > 0 {
		if err := schedule.Wait(ctx); err != nil {
			return err
		}
		part := body[:min(pace.PartBytes, len(body))]
		if err := c.writePart(w, part); err != nil {
			return err
		}
		schedule.PartSent(len(part))
		body = body[len(part):]
	}
	return nil
}

// writePart writes and flushes a part of a response, within the time that the caller has to
// read it.
func (c *serverConn) writePart(w *bufio.Writer, part []byte) error {
	c.setWriting(true)
	defer c.setWriting(false)
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.answerStall())) // fails only if the connection is closed
	_, _ = w.Write(part)
	return w.Flush()
}

// setWriting records that the writing of a part begins or has ended, which is progress.
func (c *serverConn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.progressAt = writing, time.Now()
}

// linger closes the write side of the connection and leaves the caller lingerTimeout to read
// the last response. Meanwhile the reading goroutine waits for the caller to close its side.
func (c *serverConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discard abandons the queued requests, whose responses cannot be written any more.
func (c *serverConn) discard() {
	for p := range c.queue {
		p.abandon()
	}
}

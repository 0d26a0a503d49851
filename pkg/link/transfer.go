package link

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// errUnexpectedPart is returned for a part that doesn't continue the answer where the last
// part ended, or exceeds its size.
var errUnexpectedPart = errors.New("link: unexpected part of an answer")

// transfer is a large answer that is being sent to another node in parts.
type transfer struct {
	id       uint64
	answer   *Answer
	schedule *pace.Schedule
	// offset is the number of body bytes that were already taken for writing.
	offset int
	// sent is called after the last part was taken for writing.
	sent func()
}

// transfers is the queue of a connection's large answers, which are written one after
// another.
type transfers struct {
	// added wakes the write loop after an answer was added.
	added chan struct{}

	mu     sync.Mutex
	list   []*transfer
	closed bool
}

// add queues a large answer and reports whether it did. If the connection has ended, it only
// cancels the schedule.
func (l *transfers) add(t *transfer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		t.schedule.Cancel()
		return false
	}
	l.list = append(l.list, t)
	select {
	case l.added <- struct{}{}:
	default:
	}
	return true
}

// first returns the answer at the head of the queue, or nil if the queue is empty.
func (l *transfers) first() *transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == 0 {
		return nil
	}
	return l.list[0]
}

// next returns the next frame of an answer: the answer with the first part of its body, then
// the other parts. It removes the answer from the queue with the last part. It returns nil if
// the answer was cancelled.
func (l *transfers) next(t *transfer) *frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.list, t) {
		return nil
	}
	body := t.answer.Body[t.offset:min(t.offset+pace.PartBytes, len(t.answer.Body))]
	f := &frame{Kind: kindPart, ID: t.id, Part: &part{Offset: t.offset, Body: body}}
	if t.offset == 0 {
		head := *t.answer
		head.Body, head.BodySize = body, len(t.answer.Body)
		f = &frame{Kind: kindAnswer, ID: t.id, Answer: &head}
	}
	t.schedule.PartSent(len(body))
	t.offset += len(body)
	f.continues = t.offset < len(t.answer.Body)
	if !f.continues {
		l.remove(t)
		go t.sent() // in a goroutine, since sent takes the lock that is held while answers are queued
	}
	return f
}

// cancel removes the answer to a call that its caller has cancelled, and reports whether it
// was queued.
func (l *transfers) cancel(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.list {
		if t.id == id {
			l.remove(t)
			return true
		}
	}
	return false
}

// remove cancels an answer's schedule and removes it from the queue. The caller holds mu.
func (l *transfers) remove(t *transfer) {
	t.schedule.Cancel()
	for i := range l.list {
		if l.list[i] == t {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// closeQueue drops all answers and makes add refuse new ones.
func (l *transfers) closeQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, t := range l.list {
		t.schedule.Cancel()
	}
	l.list = nil
}

// partialAnswer is a large answer that is being received in parts.
type partialAnswer struct {
	// answer holds the body received so far, and size is the length of the whole body.
	answer *Answer
	size   int
}

// newPartialAnswer reserves memory for a large answer and begins to assemble it. If the
// answer is too large or the budget is used up, it returns an answer with ReasonNoMemory
// instead.
func newPartialAnswer(first *Answer, budget *memory.Budget) (*partialAnswer, *Answer) {
	held := budget.NewReservation()
	if first.BodySize > maxFrameBytes || !held.TryGrow(int64(first.BodySize)) {
		return nil, &Answer{Outcome: Unknown, Reason: ReasonNoMemory, ReachedUpstream: true, Load: first.Load}
	}
	whole := *first
	whole.Body = append(make([]byte, 0, first.BodySize), first.Body...)
	whole.BodySize, whole.Memory = 0, held
	return &partialAnswer{answer: &whole, size: first.BodySize}, nil
}

// add appends the next part. It returns the answer after the last part, and nil before.
func (a *partialAnswer) add(p *part) (*Answer, error) {
	if p.Offset != len(a.answer.Body) || p.Offset+len(p.Body) > a.size {
		return nil, fmt.Errorf("%d bytes at offset %d, after %d of %d bytes: %w", len(p.Body), p.Offset, len(a.answer.Body), a.size, errUnexpectedPart)
	}
	a.answer.Body = append(a.answer.Body, p.Body...)
	if len(a.answer.Body) < a.size {
		return nil, nil
	}
	return a.answer, nil
}

// release returns the reserved memory. It accepts nil.
func (a *partialAnswer) release() {
	if a != nil {
		a.answer.Memory.Release()
	}
}

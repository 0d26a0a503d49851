package link

import (
	"errors"
	"fmt"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// errPart is returned for a part that does not follow the one before it.
var errPart = errors.New("link: part of an answer does not follow the one before it")

// transfer is a large answer on its way to another node.
type transfer struct {
	id       uint64
	answer   *Answer
	schedule *pace.Schedule
	offset   int
	// sent is told when the whole answer was written.
	sent func()
}

// transfers are the large answers of one connection, which are written one after
// another.
type transfers struct {
	// added wakes the writer.
	added chan struct{}

	mu    sync.Mutex
	list  []*transfer
	ended bool
}

// add queues a large answer, unless the connection has ended.
func (l *transfers) add(t *transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		t.schedule.Cancel()
		return
	}
	l.list = append(l.list, t)
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// first returns the answer that is written now, or nil.
func (l *transfers) first() *transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == 0 {
		return nil
	}
	return l.list[0]
}

// next returns the next frame of an answer.
func (l *transfers) next(t *transfer) *frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	body := t.answer.Body[t.offset:min(t.offset+pace.PartBytes, len(t.answer.Body))]
	f := &frame{Kind: kindPart, ID: t.id, Part: &part{Offset: t.offset, Body: body}}
	if t.offset == 0 {
		head := *t.answer
		head.Body, head.Size = body, len(t.answer.Body)
		f = &frame{Kind: kindAnswer, ID: t.id, Answer: &head}
	}
	t.schedule.Part(len(body))
	t.offset += len(body)
	if t.offset == len(t.answer.Body) {
		l.remove(t)
		go t.sent() // it takes the lock under which answers are queued
	}
	return f
}

// cancel drops the answer to a call that nobody waits for any more.
func (l *transfers) cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.list {
		if t.id == id {
			l.remove(t)
			return
		}
	}
}

// remove takes an answer off the list. The caller holds mu.
func (l *transfers) remove(t *transfer) {
	t.schedule.Cancel()
	for i := range l.list {
		if l.list[i] == t {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// end drops all answers.
func (l *transfers) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, t := range l.list {
		t.schedule.Cancel()
	}
	l.list = nil
}

// arriving is a large answer of which a part has come.
type arriving struct {
	answer *Answer
	size   int
}

// newArriving begins to put an answer together. It returns an answer without the
// body where there is no memory for it.
func newArriving(first *Answer, budget *memory.Budget) (*arriving, *Answer) {
	held := budget.Hold()
	if first.Size > maxFrameBytes || !held.Grow(int64(first.Size)) {
		return nil, &Answer{Outcome: Unknown, Reason: ReasonNoMemory, Arrived: true, Load: first.Load}
	}
	whole := *first
	whole.Body = append(make([]byte, 0, first.Size), first.Body...)
	whole.Size, whole.Held = 0, held
	return &arriving{answer: &whole, size: first.Size}, nil
}

// add takes in the next part, and returns the answer when it is whole.
func (a *arriving) add(p *part) (*Answer, error) {
	if p.Offset != len(a.answer.Body) || p.Offset+len(p.Body) > a.size {
		return nil, fmt.Errorf("%d bytes at %d after %d of %d: %w", len(p.Body), p.Offset, len(a.answer.Body), a.size, errPart)
	}
	a.answer.Body = append(a.answer.Body, p.Body...)
	if len(a.answer.Body) < a.size {
		return nil, nil
	}
	return a.answer, nil
}

// drop releases what has come.
func (a *arriving) drop() {
	if a != nil {
		a.answer.Held.Release()
	}
}

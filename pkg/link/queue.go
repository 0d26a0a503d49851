package link

import (
	"sync"
	"time"
)

const (
	// maxQueuedFrames is the length of a connection's send queue. A connection whose queue is
	// full is closed.
	maxQueuedFrames = 512
	// maxIdleQueue is the capacity that an empty send queue keeps. A node has over a hundred
	// connections, most of them idle, and queues of full length would take a third of its heap.
	maxIdleQueue = 16
)

// queuedFrame is a frame in the send queue.
type queuedFrame struct {
	*frame
	queuedAt time.Time
}

// sendQueue holds the short frames that wait to be written.
type sendQueue struct {
	// added wakes the write loop after a frame was added.
	added chan struct{}

	mu     sync.Mutex
	frames []queuedFrame
	// head is the index of the first frame that was not taken.
	head int
}

// add appends a frame and reports whether the queue had room for it.
func (q *sendQueue) add(f *frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames)-q.head >= maxQueuedFrames {
		return false
	}
	q.frames = append(q.frames, queuedFrame{f, time.Now()})
	select {
	case q.added <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns the first frame, and false if the queue is empty.
func (q *sendQueue) take() (queuedFrame, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.frames) {
		return queuedFrame{}, false
	}
	f := q.frames[q.head]
	q.frames[q.head] = queuedFrame{}
	q.head++
	switch {
	case q.head == len(q.frames):
		q.frames, q.head = q.frames[:0], 0
		if cap(q.frames) > maxIdleQueue {
			q.frames = nil
		}
	case q.head >= maxQueuedFrames:
		q.frames, q.head = append([]queuedFrame(nil), q.frames[q.head:]...), 0
	}
	return f, true
}

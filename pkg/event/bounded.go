package event

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for a slow output.
	maxQueuedLines = 2048
	// batchDelay is how long the first line of a batch waits for more lines. One write
	// costs as much processor time as several lines, so lines are written in batches.
	batchDelay = 10 * time.Millisecond
	// maxBatchBytes is the size at which a batch is written and the next one begins.
	maxBatchBytes = 64 << 10
)

// Bounded is a writer that never blocks: lines wait in a bounded queue. While it
// is full, further lines are dropped and counted.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when run has returned
}

// NewBounded returns a Bounded that writes to w, and starts its goroutine.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// run writes the queued lines to w until Close is called, and then the remaining ones.
func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			time.Sleep(batchDelay)
			b.write(w, line)
		case <-b.closing:
			b.write(w, nil)
			return
		}
	}
}

// write writes batch, unless it is nil, together with all queued lines. It starts a new
// batch whenever one reaches maxBatchBytes. The lines of a failed write count as dropped.
func (b *Bounded) write(w io.Writer, batch []byte) {
	lines := uint64(0)
	if batch != nil {
		lines = 1
	}
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			lines++
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
		}
		if len(batch) == 0 {
			return
		}
		if _, err := w.Write(batch); err != nil {
			b.dropped.Add(lines)
		}
		if len(batch) < maxBatchBytes {
			return
		}
		batch, lines = nil, 0
	}
}

// Write queues a copy of one line, or drops it if the queue is full. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (b *Bounded) Dropped() uint64 { return b.dropped.Swap(0) }

// Close writes the queued lines and waits for that, or until ctx is done if the output
// blocks. Lines written after Close are lost. Close must be called only once.
func (b *Bounded) Close(ctx context.Context) error {
	close(b.closing)
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("log output blocks, queued lines are not written: %w", ctx.Err())
	}
}

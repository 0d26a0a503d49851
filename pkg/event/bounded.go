package event

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many lines wait for a slow output.
	boundedLines = 2048
	// gatherTime lets lines that follow each other go out in one write, of which each
	// costs as much processor time as some lines; maxBlock bounds it in bytes.
	gatherTime = 10 * time.Millisecond
	maxBlock   = 64 << 10
)

// Bounded is a writer that never blocks: lines wait in a bounded queue and are
// dropped and counted when it is full.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Uint64
	ending  chan struct{}
	done    chan struct{}
}

// NewBounded returns a writer in front of w and begins to write.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), ending: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			time.Sleep(gatherTime)
			b.write(w, line)
		case <-b.ending:
			b.write(w, nil)
			return
		}
	}
}

// write writes a line, if it is not nil, and all that wait after it at once.
func (b *Bounded) write(w io.Writer, block []byte) {
	lines := uint64(0)
	if block != nil {
		lines = 1
	}
	for {
		select {
		case line := <-b.lines:
			block = append(block, line...)
			lines++
			if len(block) < maxBlock {
				continue
			}
		default:
		}
		if len(block) == 0 {
			return
		}
		if _, err := w.Write(block); err != nil {
			b.dropped.Add(lines)
		}
		if len(block) < maxBlock {
			return
		}
		block, lines = nil, 0
	}
}

// Write queues a copy of one line.
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

// Close waits until the queued lines are written, or until ctx is done where the output
// is stuck. Later ones are dropped. It must be called once.
func (b *Bounded) Close(ctx context.Context) error {
	close(b.ending)
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("output of the log is stuck: %w", ctx.Err())
	}
}

package event_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	text bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.text.Write(p)
}

// A blocked output doesn't block the callers of Write: lines beyond the queue's capacity are
// dropped and counted, and the others are written once the output accepts them.
func TestBlockedOutputDropsLines(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{open: make(chan struct{})}
	b := event.NewBounded(out)
	start := time.Now()
	const lines = 10_000
	for range lines {
		_, err := b.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	dropped := b.Dropped()
	is.True(dropped > 0)
	is.Equal(b.Dropped(), uint64(0))
	close(out.open)
	is.NoErr(b.Close(t.Context()))
	is.Equal(strings.Count(out.text.String(), "\n")+int(dropped), lines)
}

// A line that is written after Close is dropped without an error or a panic.
func TestWriteAfterClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := event.NewBounded(&out)
	_, err := b.Write([]byte("first\n"))
	is.NoErr(err)
	is.NoErr(b.Close(t.Context()))
	_, err = b.Write([]byte("late\n"))
	is.NoErr(err)
	is.Equal(out.String(), "first\n")
}

// Close returns with an error when its context ends, even if the output stays blocked.
func TestCloseWithBlockedOutput(t *testing.T) {
	is := is.New(t)
	b := event.NewBounded(&blockedWriter{open: make(chan struct{})})
	_, err := b.Write([]byte("line\n"))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	is.True(b.Close(ctx) != nil)
	is.True(time.Since(start) < time.Second)
}

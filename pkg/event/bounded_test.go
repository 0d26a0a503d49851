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

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.text.Write(p)
}

// A stuck output blocks nobody: lines beyond the bound are dropped and counted,
// the others are written once it takes them.
func TestStuckOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
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

// A line that comes after the close is dropped and does no harm.
func TestLineAfterClose(t *testing.T) {
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

// An output that stays stuck does not hold up the end of the process.
func TestCloseOfAStuckOutput(t *testing.T) {
	is := is.New(t)
	b := event.NewBounded(&blocked{open: make(chan struct{})})
	_, err := b.Write([]byte("line\n"))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	is.True(b.Close(ctx) != nil)
	is.True(time.Since(start) < time.Second)
}

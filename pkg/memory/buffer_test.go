package memory_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

// A buffer returns what was read, in reads of any size, and then holds just that much.
func TestBufferReturnsWhatWasRead(t *testing.T) {
	for _, size := range []int{0, 1, 32<<10 - 1, 32 << 10, 32<<10 + 1, 100_000} {
		is := is.New(t)
		budget := memory.New(1 << 20)
		held := budget.NewReservation()
		text := strings.Repeat("abc", size/3+1)[:size]
		b := memory.NewBuffer(held)
		var err error
		for r := iotest.HalfReader(strings.NewReader(text)); err == nil; {
			err = b.ReadOnce(r, 0)
			is.True(budget.Used() >= b.Len())
		}
		is.True(errors.Is(err, io.EOF))
		is.Equal(string(b.Bytes()), text)
		is.Equal(budget.Used(), int64(size))
		held.Release()
		is.Equal(budget.Used(), int64(0))
	}
}

// A buffer never takes more than the budget, and leaves the reserve once it has a part.
func TestBufferLeavesTheReserve(t *testing.T) {
	is := is.New(t)
	const limit, reserve = 160 << 10, 40 << 10
	budget := memory.New(limit)
	endless := iotest.DataErrReader(io.MultiReader(strings.NewReader(strings.Repeat("x", 2*limit))))
	held := budget.NewReservation()
	b := memory.NewBuffer(held)
	var err error
	for err == nil {
		err = b.ReadOnce(endless, reserve)
	}
	is.True(errors.Is(err, memory.ErrExhausted))
	is.True(budget.Used() <= limit-reserve)
	second := memory.NewBuffer(budget.NewReservation())
	is.NoErr(second.ReadOnce(endless, reserve)) // its first part
	b.Close()
	second.Close()
	held.Release()
}

package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

// Waiters get bytes in the order of their arrival, and a waiter that gives up takes none.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := memory.New(10)
	is.True(b.TryAcquire(8))
	is.True(!b.TryAcquire(3))
	got := make(chan int, 2)
	wait := func(i int, n int64) {
		go func() {
			if b.Acquire(context.Background(), n) == nil {
				got <- i
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wait(1, 9)
	wait(2, 2)
	is.True(!b.TryAcquire(1)) // the first waiter comes first
	impatient, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	is.True(b.Acquire(impatient, 1) != nil)
	b.Release(8)
	is.Equal(<-got, 1)
	b.Release(9)
	is.Equal(<-got, 2)
	is.Equal(b.Used(), int64(2))
	is.True(b.Acquire(context.Background(), 11) != nil)
}

// A message that turns out to be smaller returns the rest of its bytes at once.
func TestShrink(t *testing.T) {
	is := is.New(t)
	b := memory.New(10)
	held := b.NewReservation()
	is.True(held.TryGrow(8))
	held.Shrink(5)
	is.Equal(b.Used(), int64(3))
	is.True(held.TryGrow(7))
	held.Release()
	is.Equal(b.Used(), int64(0))
}

package memory

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted means that a budget has no room.
var ErrExhausted = errors.New("memory: budget is exhausted")

// partBytes is the size of the parts of a Buffer.
const partBytes = 32 << 10

// unusedParts are parts that are not in use. A message without end would otherwise leave its parts
// as garbage faster than it is collected.
var unusedParts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// Buffer collects a message of unknown size in parts, which are taken from a budget before they
// are filled. It must be closed.
type Buffer struct {
	held  *Reservation
	parts []*[partBytes]byte
	size  int64
}

// NewBuffer returns an empty buffer, whose memory is added to held.
func NewBuffer(held *Reservation) *Buffer { return &Buffer{held: held} }

// Len returns the number of bytes that were read.
func (b *Buffer) Len() int64 { return b.size }

// ReadOnce reads from r once. It returns ErrExhausted if the budget has no room for another part;
// from the second part on, reserve bytes of the budget must be left.
func (b *Buffer) ReadOnce(r io.Reader, reserve int64) error {
	if b.size == int64(len(b.parts))*partBytes {
		if len(b.parts) == 0 {
			reserve = 0
		}
		if !b.held.TryGrowLeaving(partBytes, reserve) {
			return ErrExhausted
		}
		b.parts = append(b.parts, unusedParts.Get().(*[partBytes]byte))
	}
	n, err := r.Read(b.parts[len(b.parts)-1][b.size%partBytes:])
	b.size += int64(n)
	return err
}

// Bytes returns a copy of the bytes that were read, and returns what the parts hold beyond them to
// the budget. Nothing may be read afterwards.
func (b *Buffer) Bytes() []byte {
	whole := make([]byte, 0, b.size)
	for _, p := range b.parts {
		whole = append(whole, p[:min(partBytes, b.size-int64(len(whole)))]...)
	}
	b.held.Shrink(int64(len(b.parts))*partBytes - b.size)
	b.Close()
	return whole
}

// Close lets the parts be used again. The memory remains reserved until held is released.
func (b *Buffer) Close() {
	for _, p := range b.parts {
		unusedParts.Put(p)
	}
	b.parts = nil
}

package model

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the store. The store numbers its changes within
// an epoch. When it is restored from an older copy, it loses the changes since that copy
// and begins a new epoch, in which it assigns their numbers again. The zero Revision stands
// for none.
type Revision struct {
	Epoch  uint64
	Number uint64
}

// IsZero reports whether r stands for no revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// Before reports whether r precedes another revision: every revision of an epoch precedes
// those of later epochs.
func (r Revision) Before(other Revision) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number)) < 0
}

// String returns the epoch and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch, r.Number) }

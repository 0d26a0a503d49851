// Package model holds the small typed values that the operators' packages share.
package model

// Version numbers accepted bundles. Versions start at 1 and only grow; zero
// means that no bundle has been accepted yet.
type Version uint64

// Class is the traffic class of a route.
type Class string

// The traffic classes.
const (
	// ClassOrder: requests that may run at most once.
	ClassOrder Class = "order"
	// ClassInteractive: somebody waits for the answer.
	ClassInteractive Class = "interactive"
	// ClassBatch: the answer may be late but has to come.
	ClassBatch Class = "batch"
	// ClassInternal: requests that upstreams make for others.
	ClassInternal Class = "internal"
)

// Classes lists every traffic class, the most urgent first.
func Classes() []Class {
	return []Class{ClassOrder, ClassInteractive, ClassBatch, ClassInternal}
}

// Valid reports whether c is one of the known classes.
func (c Class) Valid() bool { return c.Rank() >= 0 }

// Rank is the place of c in Classes, -1 for an unknown class.
func (c Class) Rank() int {
	for i, known := range Classes() {
		if c == known {
			return i
		}
	}
	return -1
}

// Package model holds small value types that the operator packages share.
package model

// Version is the number of an accepted bundle. Versions start at 1 and only increase. 0
// means that no bundle has been accepted yet.
type Version uint64

// Class is the traffic class of a route. It determines the priority of its requests.
type Class string

// The traffic classes.
const (
	// ClassOrder is for requests that may run at most once.
	ClassOrder Class = "order"
	// ClassInteractive is for requests whose answer a person waits for.
	ClassInteractive Class = "interactive"
	// ClassBatch is for requests whose answer may be late but has to arrive.
	ClassBatch Class = "batch"
	// ClassInternal is for requests that upstreams make for others.
	ClassInternal Class = "internal"
)

// Classes returns all traffic classes, the most urgent first.
func Classes() []Class {
	return []Class{ClassOrder, ClassInteractive, ClassBatch, ClassInternal}
}

// Valid reports whether c is one of the known classes.
func (c Class) Valid() bool { return c.Rank() >= 0 }

// Rank returns the index of c in Classes, or -1 for an unknown class.
func (c Class) Rank() int {
	for i, known := range Classes() {
		if c == known {
			return i
		}
	}
	return -1
}

// Package model holds the small typed values that every other package shares:
// identifiers, bundle versions, traffic classes and upstream announcements.
package model

import "time"

// NodeID names one node process. It is unique in a mesh.
type NodeID string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres that share a wide-area link.
type Region string

// Version numbers accepted bundles. Versions start at 1 and only grow;
// zero means that no bundle has been applied yet.
type Version uint64

// Class is the traffic class of a route.
type Class string

// The traffic classes, from the most to the least urgent.
const (
	ClassInteractive Class = "interactive"
	ClassOrder       Class = "order"
	ClassBatch       Class = "batch"
	ClassInternal    Class = "internal"
)

// Classes lists every traffic class in a fixed order.
func Classes() []Class {
	return []Class{ClassInteractive, ClassOrder, ClassBatch, ClassInternal}
}

// Valid reports whether c is one of the known classes.
func (c Class) Valid() bool {
	switch c {
	case ClassInteractive, ClassOrder, ClassBatch, ClassInternal:
		return true
	}
	return false
}

// UpstreamState is the state of an upstream as its node announces it.
type UpstreamState string

// The states of an upstream, in the order in which it passes through them.
const (
	UpstreamRunning UpstreamState = "running"
	UpstreamLeaving UpstreamState = "leaving"
	UpstreamDrained UpstreamState = "drained"
	UpstreamStopped UpstreamState = "stopped"
)

// Upstream is one instance of a service as it announced itself to the node on
// its host. The address is only meaningful on that host.
type Upstream struct {
	// Name is unique on the host.
	Name string `cbor:"1,keyasint" json:"name"`
	// Service is the name of the service that the instance serves.
	Service string `cbor:"2,keyasint" json:"service"`
	// Address is the IP and port that the node connects to.
	Address string `cbor:"3,keyasint,omitempty" json:"address"`
	// Slots is the number of calls that the instance runs at the same time.
	Slots int `cbor:"4,keyasint,omitempty" json:"slots"`
	// Connections is the number of connections that the instance accepts.
	Connections int `cbor:"5,keyasint,omitempty" json:"connections"`
	// State is the announced state.
	State UpstreamState `cbor:"6,keyasint" json:"state"`
	// Since is the time at which the instance started; it drives the cold-start ramp.
	Since time.Time `cbor:"7,keyasint" json:"since"`
	// Classes limits the traffic classes that the instance takes; empty means all.
	Classes []Class `cbor:"8,keyasint,omitempty" json:"classes,omitempty"`
}

// Package bundle defines a versioned set of mesh configuration: its objects,
// its content id, differences between two bundles, and the signed acceptance
// that puts a bundle in force. The package does no I/O.
package bundle

import (
	"errors"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Errors of the package. They are wrapped with the object concerned.
var (
	// ErrInvalid: the content breaks a rule; see Fault for each place.
	ErrInvalid = errors.New("bundle: invalid content")
	// ErrSignature: the acceptance is not signed by a trusted key.
	ErrSignature = errors.New("bundle: bad signature")
	// ErrContent: the content does not match the accepted bundle id.
	ErrContent = errors.New("bundle: content does not match its id")
	// ErrBase: a delta does not start from the content at hand.
	ErrBase = errors.New("bundle: delta has another base")
	// ErrStale: the version is not newer than the applied one.
	ErrStale = errors.New("bundle: version is not newer")
	// ErrParent: the acceptance does not follow the expected parent.
	ErrParent = errors.New("bundle: acceptance has another parent")
)

// ID is the hash of a bundle's content in lower-case hexadecimal.
type ID string

// Bundle is a set of mesh configuration. It is immutable once prepared; its
// services and routes are sorted by name.
type Bundle struct {
	Services []Service `json:"services,omitempty" cbor:"1,keyasint"`
	Routes   []Route   `json:"routes,omitempty" cbor:"2,keyasint"`
}

// Service describes a service that routes may point at.
type Service struct {
	Name               string      `json:"name" cbor:"1,keyasint" help:"unique name: lower-case letters, digits and inner hyphens; required"`
	Timeout            Duration    `json:"timeout" cbor:"2,keyasint" default:"5s" help:"longest time for a call that brings no deadline of its own, 1ms to 10m"`
	RetryBudgetPercent int         `json:"retryBudgetPercent" cbor:"3,keyasint" default:"10" help:"largest share of calls that may be retries, in percent"`
	MaxBodyBytes       int64       `json:"maxBodyBytes" cbor:"4,keyasint" default:"1048576" help:"largest request body in bytes; 0 means no bound of the service's own"`
	Queue              QueueLimits `json:"queue" cbor:"5,keyasint"`
	Probe              Probe       `json:"probe" cbor:"6,keyasint"`
	Warmup             Duration    `json:"warmup" cbor:"7,keyasint" default:"10s" help:"length of the cold-start ramp of a new upstream, up to 1h"`
	MaxEjectedPercent  int         `json:"maxEjectedPercent" cbor:"8,keyasint" default:"30" help:"largest share of upstreams that are ejected at a time, in percent"`
}

// QueueLimits is the number of waiting calls per upstream and class.
type QueueLimits struct {
	Interactive int `json:"interactive" cbor:"1,keyasint" default:"32" help:"interactive calls that may wait for a slot of one upstream"`
	Order       int `json:"order" cbor:"2,keyasint" default:"16" help:"orders that may wait for a slot of one upstream"`
	Batch       int `json:"batch" cbor:"3,keyasint" default:"256" help:"batch calls that may wait for a slot of one upstream"`
	Internal    int `json:"internal" cbor:"4,keyasint" default:"16" help:"internal calls that may wait for a slot of one upstream"`
}

// Of returns the limit of class c.
func (q QueueLimits) Of(c model.Class) int {
	switch c {
	case model.ClassInteractive:
		return q.Interactive
	case model.ClassOrder:
		return q.Order
	case model.ClassBatch:
		return q.Batch
	case model.ClassInternal:
		return q.Internal
	}
	return 0
}

// Probe describes an HTTP health probe.
type Probe struct {
	Path     string   `json:"path" cbor:"1,keyasint" help:"path that is requested by GET; without it the upstreams are not probed"`
	Interval Duration `json:"interval" cbor:"2,keyasint" default:"5s" help:"time between two probes of one upstream, 100ms to 10m"`
	Timeout  Duration `json:"timeout" cbor:"3,keyasint" default:"1s" help:"longest time for one probe, at most the interval"`
}

// Route sends matching calls to a service.
type Route struct {
	Name       string      `json:"name" cbor:"1,keyasint" help:"unique name, like that of a service; required"`
	Host       string      `json:"host" cbor:"2,keyasint" help:"host name that is matched exactly, without port; without it every host matches that has no route of its own"`
	PathPrefix string      `json:"pathPrefix" cbor:"3,keyasint" default:"/" help:"prefix that is matched by whole path segments; the longest one wins"`
	Methods    []string    `json:"methods,omitempty" cbor:"4,keyasint" help:"HTTP methods; without them the route takes those that no other route of the same host and prefix names"`
	Service    string      `json:"service" cbor:"5,keyasint" help:"name of the service that takes the calls; required"`
	Class      model.Class `json:"class" cbor:"6,keyasint" help:"traffic class: interactive, order (not idempotent), batch or internal; required"`
	Timeout    Duration    `json:"timeout" cbor:"7,keyasint" help:"longest time for a call; without it the service's"`
	Attempts   int         `json:"attempts" cbor:"8,keyasint" help:"largest number of tries of an idempotent call, 1 to 5; without it 1 for class order and 2 for others"`
	Internal   bool        `json:"internal" cbor:"9,keyasint" default:"false" help:"whether the route is matched on the outbound listener only; required to be true for class internal"`
}

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Acceptance is the signed statement that a bundle is in force from a version
// on. It is everything that a node needs to trust content from any peer.
type Acceptance struct {
	Version model.Version `json:"version" cbor:"1,keyasint"`
	Bundle  ID            `json:"bundle" cbor:"2,keyasint"`
	// Parent is the bundle that was in force before; empty for version 1.
	Parent ID `json:"parent" cbor:"3,keyasint"`
	// Acceptor is the operator who signed off, Preparer the one who prepared.
	Acceptor string    `json:"acceptor" cbor:"4,keyasint"`
	Preparer string    `json:"preparer" cbor:"5,keyasint"`
	Time     time.Time `json:"time" cbor:"6,keyasint"`
	Reason   string    `json:"reason" cbor:"7,keyasint"`
	// Operation identifies the sign-off, so that a lost answer can be resolved.
	Operation string `json:"operation" cbor:"8,keyasint"`
	// KeyID names the public key that verifies Signature.
	KeyID     string `json:"keyID" cbor:"9,keyasint"`
	Signature []byte `json:"signature" cbor:"10,keyasint"`
}

// Fault is one broken rule of a bundle or settings file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

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
	Services []Service `json:"services" cbor:"1,keyasint"`
	Routes   []Route   `json:"routes" cbor:"2,keyasint"`
}

// Service describes a service that routes may point at.
type Service struct {
	// Name is unique in the bundle.
	Name string `json:"name" cbor:"1,keyasint"`
	// Timeout bounds a call that brings no deadline of its own.
	Timeout Duration `json:"timeout" cbor:"2,keyasint"`
	// RetryBudgetPercent is the share of calls that may be retries.
	RetryBudgetPercent int `json:"retryBudgetPercent" cbor:"3,keyasint"`
	// MaxBodyBytes bounds the body of one request; zero means no bound.
	MaxBodyBytes int64 `json:"maxBodyBytes" cbor:"4,keyasint"`
	// Queue bounds the calls that wait for a slot on one upstream, per class.
	Queue QueueLimits `json:"queue" cbor:"5,keyasint"`
	// Probe is the health probe of the service's upstreams.
	Probe Probe `json:"probe" cbor:"6,keyasint"`
	// Warmup is the length of the cold-start ramp of a new upstream.
	Warmup Duration `json:"warmup" cbor:"7,keyasint"`
	// MaxEjectedPercent is the largest share of upstreams ejected at a time.
	MaxEjectedPercent int `json:"maxEjectedPercent" cbor:"8,keyasint"`
}

// QueueLimits is the number of waiting calls per upstream and class.
type QueueLimits struct {
	Interactive int `json:"interactive" cbor:"1,keyasint"`
	Order       int `json:"order" cbor:"2,keyasint"`
	Batch       int `json:"batch" cbor:"3,keyasint"`
	Internal    int `json:"internal" cbor:"4,keyasint"`
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
	// Path is requested by GET; empty switches probing off.
	Path string `json:"path" cbor:"1,keyasint"`
	// Interval is the time between two probes of one upstream.
	Interval Duration `json:"interval" cbor:"2,keyasint"`
	// Timeout bounds one probe.
	Timeout Duration `json:"timeout" cbor:"3,keyasint"`
}

// Route sends matching calls to a service.
type Route struct {
	// Name is unique in the bundle.
	Name string `json:"name" cbor:"1,keyasint"`
	// Host is matched exactly; empty matches every host.
	Host string `json:"host" cbor:"2,keyasint"`
	// PathPrefix is matched by whole path segments; the longest prefix wins.
	PathPrefix string `json:"pathPrefix" cbor:"3,keyasint"`
	// Methods limits the HTTP methods; empty matches all.
	Methods []string `json:"methods" cbor:"4,keyasint"`
	// Service is the name of the service that takes the calls.
	Service string `json:"service" cbor:"5,keyasint"`
	// Class is the traffic class of the calls.
	Class model.Class `json:"class" cbor:"6,keyasint"`
	// Timeout overrides the service's timeout when it is not zero.
	Timeout Duration `json:"timeout" cbor:"7,keyasint"`
	// Attempts is the largest number of tries of an idempotent call, at least 1.
	Attempts int `json:"attempts" cbor:"8,keyasint"`
	// Internal routes are matched on the outbound listener only.
	Internal bool `json:"internal" cbor:"9,keyasint"`
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

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
	// ErrContent: the content does not match the accepted bundle.
	ErrContent = errors.New("bundle: content does not match what was accepted")
	// ErrMalformed: a record of acceptances cannot be read.
	ErrMalformed = errors.New("bundle: record of acceptances cannot be read")
)

// ID is the hash of a bundle's content in lower-case hexadecimal.
type ID string

// Bundle is a set of mesh configuration. It is immutable once prepared; its
// services and routes are sorted by name.
type Bundle struct {
	Services []Service `json:"services,omitempty" cbor:"1,keyasint"`
	Routes   []Route   `json:"routes,omitempty" cbor:"2,keyasint"`
	Limits   Limits    `json:"limits" cbor:"3,keyasint"`
}

// Service describes a service that routes may point at.
type Service struct {
	Name           string   `json:"name" cbor:"1,keyasint" help:"unique name: lower-case letters, digits and inner hyphens; required"`
	Timeout        Duration `json:"timeout" cbor:"2,keyasint" default:"5s" help:"longest time that a request waits on a route without a timeout of its own, 1ms to 10m"`
	HealthPath     string   `json:"healthPath" cbor:"3,keyasint" default:"/healthz" help:"path at which the platform asks an upstream for its health; the nodes do not ask"`
	MaxConnections int      `json:"maxConnections" cbor:"4,keyasint" default:"128" help:"connections that one upstream accepts, 1 to 100000"`
}

// Limits bound what callers may send. One file of the bundle may hold them.
type Limits struct {
	HeaderBytes   int      `json:"headerBytes" cbor:"1,keyasint" default:"16384" help:"largest header of a request in bytes, 256 to 1048576"`
	BodyBytes     int64    `json:"bodyBytes" cbor:"2,keyasint" default:"1048576" help:"largest body of a request in bytes, up to 1073741824"`
	HeaderTimeout Duration `json:"headerTimeout" cbor:"3,keyasint" default:"3s" help:"longest time that a caller may take for a header, 100ms to 1m"`
	IdleTimeout   Duration `json:"idleTimeout" cbor:"4,keyasint" default:"15s" help:"longest time that a caller may leave a connection idle, 1s to 10m"`
}

// Route sends matching requests to a service, or to several by weight.
type Route struct {
	Name       string      `json:"name" cbor:"1,keyasint" help:"unique name, like that of a service; required"`
	Host       string      `json:"host" cbor:"2,keyasint" help:"host name that is matched exactly, without port; required"`
	PathPrefix string      `json:"pathPrefix" cbor:"3,keyasint" default:"/" help:"prefix that begins and ends with a slash; of the routes of a host the longest that matches wins"`
	Service    string      `json:"service" cbor:"4,keyasint" help:"name of the service that takes the requests; required without parts"`
	Parts      []Part      `json:"parts,omitempty" cbor:"5,keyasint" help:"services that share the requests by weight, in place of service"`
	Class      model.Class `json:"class" cbor:"6,keyasint" help:"traffic class: order (runs at most once), interactive, batch or internal, the most urgent first; required"`
	Timeout    Duration    `json:"timeout" cbor:"7,keyasint" help:"longest time that a request waits, 1ms to 10m; without it the service's"`
	Target     Duration    `json:"target" cbor:"8,keyasint" help:"time within which an answer is of full use to its caller, at most the timeout; without it two fifths of the timeout"`
	Attempts   int         `json:"attempts" cbor:"9,keyasint" default:"2" help:"largest number of upstreams that one request is sent to, 1 to 5; an order is sent on only if it did not run"`
}

// Part is one service of a split route.
type Part struct {
	Service string `json:"service" cbor:"1,keyasint" help:"name of the service; required"`
	Weight  int    `json:"weight" cbor:"2,keyasint" help:"share of the requests among the weights of the route, 0 to 1000000"`
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
// on. A node that knows the operators' keys needs nothing else to trust a
// configuration from any source.
type Acceptance struct {
	Version model.Version `json:"version" cbor:"1,keyasint"`
	Bundle  ID            `json:"bundle" cbor:"2,keyasint"`
	// Config is the digest of the configuration that nodes put in force.
	Config string `json:"config" cbor:"11,keyasint"`
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

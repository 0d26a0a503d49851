// Package bundle defines a bundle of mesh configuration (services, routes, organisations
// and limits), its validation, encoding and content id, the differences between two bundles, and the
// signed acceptance that puts a bundle in force as a numbered version. The package does
// no I/O.
package bundle

import (
	"errors"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Errors of the package. They are returned wrapped in an error that names the object
// concerned.
var (
	// ErrInvalid: the content violates a validation rule; Validate lists the faults.
	ErrInvalid = errors.New("bundle: invalid content")
	// ErrSignature: the acceptance is missing or not signed with a trusted key.
	ErrSignature = errors.New("bundle: bad signature")
	// ErrContent: the content cannot be decoded or does not match the acceptance.
	ErrContent = errors.New("bundle: content does not match what was accepted")
	// ErrMalformed: a record of acceptances (see Head) cannot be decoded.
	ErrMalformed = errors.New("bundle: record of acceptances cannot be read")
)

// ID is the SHA-256 hash of a bundle's content in lower-case hexadecimal.
type ID string

// Bundle is a set of mesh configuration. It is immutable once prepared; its
// services, routes and organisations are sorted by name.
type Bundle struct {
	Services []Service `json:"services,omitempty" cbor:"1,keyasint"`
	Routes   []Route   `json:"routes,omitempty" cbor:"2,keyasint"`
	Limits   Limits    `json:"limits" cbor:"3,keyasint"`
	// Organisations may send requests to routes that are not public. If there are none, requests
	// need no key.
	Organisations []Organisation `json:"organisations,omitempty" cbor:"4,keyasint,omitempty"` // keeps the ids of bundles without it
}

// Service is a service that routes send requests to.
type Service struct {
	Name           string   `json:"name" cbor:"1,keyasint" help:"unique name: lower-case letters, digits and inner hyphens; required"`
	Timeout        Duration `json:"timeout" cbor:"2,keyasint" default:"5s" help:"longest time that a request waits on a route without a timeout of its own, 1ms to 10m"`
	HealthPath     string   `json:"healthPath" cbor:"3,keyasint" default:"/healthz" help:"path at which the platform asks an upstream for its health; the nodes do not ask"`
	MaxConnections int      `json:"maxConnections" cbor:"4,keyasint" default:"128" help:"connections that one upstream accepts, 1 to 100000"`
}

// Limits restricts the size and duration of callers' requests. At most one file of a
// bundle defines it.
type Limits struct {
	HeaderBytes   int      `json:"headerBytes" cbor:"1,keyasint" default:"16384" help:"largest header of a request in bytes, 256 to 1048576"`
	BodyBytes     int64    `json:"bodyBytes" cbor:"2,keyasint" default:"1048576" help:"largest body of a request in bytes, up to 1073741824"`
	HeaderTimeout Duration `json:"headerTimeout" cbor:"3,keyasint" default:"3s" help:"longest time that a caller may take for a header, 100ms to 1m"`
	IdleTimeout   Duration `json:"idleTimeout" cbor:"4,keyasint" default:"15s" help:"longest time that a caller may leave a connection idle, 1s to 10m"`
}

// Route sends the requests that match its host and path prefix to one service, or
// divides them among several services by weight.
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
	Public     bool        `json:"public,omitempty" cbor:"10,keyasint,omitempty" help:"whether requests need no key although the bundle has organisations, as those that upstreams make"`
}

// Part is one of the services that share the requests of a route by weight.
type Part struct {
	Service string `json:"service" cbor:"1,keyasint" help:"name of the service; required"`
	Weight  int    `json:"weight" cbor:"2,keyasint" help:"share of the requests among the weights of the route, 0 to 1000000"`
}

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Acceptance is an operator's signed statement that a bundle is in force as the given
// version. A node that has the operators' public keys can verify a configuration by its
// acceptance, whatever source the configuration comes from.
type Acceptance struct {
	Version model.Version `json:"version" cbor:"1,keyasint"`
	Bundle  ID            `json:"bundle" cbor:"2,keyasint"`
	// Config is the digest of the configuration compiled from the bundle.
	Config string `json:"config" cbor:"11,keyasint"`
	// Parent is the bundle of the previous version; it is empty for version 1.
	Parent ID `json:"parent" cbor:"3,keyasint"`
	// Acceptor is the operator who signed the bundle off, Preparer the one who stored it.
	Acceptor string    `json:"acceptor" cbor:"4,keyasint"`
	Preparer string    `json:"preparer" cbor:"5,keyasint"`
	Time     time.Time `json:"time" cbor:"6,keyasint"`
	Reason   string    `json:"reason" cbor:"7,keyasint"`
	// Operation is the unique id of the sign-off. If the response of the store is lost,
	// looking the id up in the head tells whether the sign-off took effect.
	Operation string `json:"operation" cbor:"8,keyasint"`
	// KeyID is the id of the public key that verifies Signature.
	KeyID     string `json:"keyID" cbor:"9,keyasint"`
	Signature []byte `json:"signature" cbor:"10,keyasint"`
}

// Fault is one violation of a validation rule in a bundle or settings file, with its
// location. File and Line are empty where the content was not loaded from a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

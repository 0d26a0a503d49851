// Package objects says what the operators' tools keep in the platform's object
// store: prepared bundles, their history, and the one object that nodes follow.
// Package platform has the client; subpackage fake a store in memory for tests.
//
// Every write is conditional. A caller that receives ErrUnknownOutcome must
// read the object back and decide by the operation id inside the value; it
// must not write again blindly.
package objects

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// Errors of the store. Clients wrap them, so use errors.Is.
var (
	// ErrConflict: the object has another revision than the write expected.
	ErrConflict = errors.New("objects: revision conflict")
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("objects: object not found")
	// ErrUnavailable: the store did not take the call; a write had no effect.
	ErrUnavailable = errors.New("objects: store is unavailable")
	// ErrUnknownOutcome: the answer to a write was lost; it may have taken effect,
	// or may do so later while its condition holds.
	ErrUnknownOutcome = errors.New("objects: outcome of the write is unknown")
	// ErrTooLarge: the value is over MaxValueBytes.
	ErrTooLarge = errors.New("objects: value is too large")
	// ErrMalformed: the value cannot be read.
	ErrMalformed = errors.New("objects: value cannot be read")
)

// MaxValueBytes is the largest value that one object holds.
const MaxValueBytes = 1 << 20

// Revision is the opaque version of an object. The empty revision in a write
// means that the object must not exist.
type Revision string

// Collection names a kind of object.
type Collection string

// The collections that the operators' tools keep.
const (
	// CollectionBundles holds bundle manifests named by bundle id.
	CollectionBundles Collection = "bundles"
	// CollectionContents holds the contents of bundles, also by id.
	CollectionContents Collection = "contents"
	// CollectionHistory holds segments of older acceptances.
	CollectionHistory Collection = "history"
)

// Key addresses one object.
type Key struct {
	Collection Collection
	Name       string
}

// Object is a stored value with the revision of its last write.
type Object struct {
	Key      Key
	Revision Revision
	// Value is a JSON document.
	Value json.RawMessage
}

// InForce is the one object that nodes follow. The configuration and the record
// of who accepted it change together or not at all.
type InForce struct {
	Config meshconf.Config
	// Record says who accepted the configuration. It is empty for one that was not
	// signed off with these tools.
	Record json.RawMessage
	// Revision is empty while there is no such object.
	Revision Revision
}

// Store is the object store.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key Key) (Object, error)
	// List reads a collection.
	List(ctx context.Context, c Collection) ([]Object, error)
	// Put writes value if the object still has revision ifRevision; the empty
	// revision means that the object must not exist. It returns the new revision.
	Put(ctx context.Context, key Key, value json.RawMessage, ifRevision Revision) (Revision, error)
	// Delete removes the object if it still has revision ifRevision.
	Delete(ctx context.Context, key Key, ifRevision Revision) error
	// InForce reads what is in force; before the first acceptance it is empty.
	InForce(ctx context.Context) (InForce, error)
	// Accept puts a configuration in force if what is in force still has the
	// revision of next, and returns the new revision.
	Accept(ctx context.Context, next InForce) (Revision, error)
}

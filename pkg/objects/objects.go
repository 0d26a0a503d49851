// Package objects defines the interface to the platform's object store and the types
// that the operators' tools keep there: prepared bundles, their history, and the object
// with the configuration that nodes apply. Package platform implements the client and
// subpackage fake an in-memory store for tests.
//
// Every write is conditional on the revision of the object. A caller that receives
// ErrUnknownOutcome must read the object back and tell by the operation id inside the
// value whether its write took effect. It must not repeat the write without that check,
// because the first write may have taken effect or may still do so.
package objects

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// Errors of the store. Implementations wrap them, so compare with errors.Is.
var (
	// ErrConflict means that the object has another revision than the write expected.
	ErrConflict = errors.New("objects: revision conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("objects: object not found")
	// ErrUnavailable means that the store did not process the call; a write had no
	// effect.
	ErrUnavailable = errors.New("objects: store is unavailable")
	// ErrUnknownOutcome means that the response to a write was lost. The write may have
	// taken effect, or may do so later if its condition still holds then.
	ErrUnknownOutcome = errors.New("objects: outcome of the write is unknown")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("objects: value is too large")
	// ErrMalformed means that the value cannot be decoded.
	ErrMalformed = errors.New("objects: value cannot be read")
)

// MaxValueBytes is the largest size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// Revision is the opaque version of an object. The empty revision in a write
// means that the object must not exist.
type Revision string

// Collection is the name of a group of objects of one kind.
type Collection string

// The collections that the operators' tools keep.
const (
	// CollectionBundles holds bundle manifests, named by bundle id.
	CollectionBundles Collection = "bundles"
	// CollectionContents holds the contents of bundles, also named by bundle id.
	CollectionContents Collection = "contents"
	// CollectionHistory holds older acceptances, in segments of the history.
	CollectionHistory Collection = "history"
)

// Key identifies one object by its collection and name.
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

// InForce is the object that holds the configuration in force, which is the one that
// nodes apply. The configuration and the record of who accepted it are in one object, so
// that they change together or not at all.
type InForce struct {
	Config meshconf.Config
	// Record says who accepted the configuration. It is empty if the configuration was
	// not signed off with the operators' tools.
	Record json.RawMessage
	// Revision is empty as long as the object does not exist.
	Revision Revision
}

// Store reads and writes the platform's object store.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key Key) (Object, error)
	// List reads all objects of a collection.
	List(ctx context.Context, c Collection) ([]Object, error)
	// Put writes value if the object still has revision ifRevision; the empty
	// revision means that the object must not exist. It returns the new revision.
	Put(ctx context.Context, key Key, value json.RawMessage, ifRevision Revision) (Revision, error)
	// Delete removes the object if it still has revision ifRevision.
	Delete(ctx context.Context, key Key, ifRevision Revision) error
	// InForce reads the configuration in force with its record. The result is empty
	// before the first acceptance.
	InForce(ctx context.Context) (InForce, error)
	// Accept puts the configuration of next in force if the object in the store still has
	// the revision of next, and returns the new revision.
	Accept(ctx context.Context, next InForce) (Revision, error)
}

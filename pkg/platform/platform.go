// Package platform defines the object API that keeps everything that must
// last. Subpackage rest is the client, subpackage standin a server for trying
// out and tests.
//
// Every write is conditional. A caller that receives ErrUnknownOutcome must
// read the object back and decide by the operation id inside the value; it
// must not write again blindly.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors of the object API. Clients wrap them, so use errors.Is.
var (
	// ErrConflict: the object has another revision than the write expected.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrUnavailable: the platform did not take the call; a write had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrRateLimited: the call was refused over the platform's rate; no effect.
	ErrRateLimited = errors.New("platform: over its rate")
	// ErrUnknownOutcome: the answer to a write was lost; it may have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")
	// ErrCompacted: the watch revision is too old; list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrTooLarge: the value is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrRefused: the platform does not accept the call as it is, for example
	// without a valid token; no effect, and trying again does not help.
	ErrRefused = errors.New("platform: call refused")
)

// RateLimitError is an ErrRateLimited that says when to come back.
type RateLimitError struct {
	// RetryAfter is the pause that the platform asks for; zero if it does not say.
	RetryAfter time.Duration
}

// Error describes the error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v, retry after %s", ErrRateLimited, e.RetryAfter)
}

// Unwrap makes errors.Is find ErrRateLimited.
func (e *RateLimitError) Unwrap() error { return ErrRateLimited }

// MaxValueBytes is the largest value that one object holds.
const MaxValueBytes = 1 << 20

// Revision is the opaque version of an object or a list. The empty revision in
// a Put means that the object must not exist.
type Revision string

// Collection names a kind of object.
type Collection string

// The collections that the system keeps.
const (
	// CollectionHeads holds the single object HeadName, the accepted version.
	CollectionHeads Collection = "heads"
	// CollectionBundles holds bundle manifests named by bundle id.
	CollectionBundles Collection = "bundles"
	// CollectionParts holds content-addressed parts of bundles.
	CollectionParts Collection = "parts"
	// CollectionHistory holds segments of older acceptances.
	CollectionHistory Collection = "histories"
	// CollectionContacts holds a few contact addresses per data centre.
	CollectionContacts Collection = "contacts"
	// CollectionStatuses holds one roll-out summary per data centre.
	CollectionStatuses Collection = "statuses"
	// CollectionOwners holds the owner of each shard of idempotency keys.
	CollectionOwners Collection = "owners"
	// CollectionClaims holds group-committed claims of idempotency keys.
	CollectionClaims Collection = "claims"
)

// HeadName is the name of the single object in CollectionHeads.
const HeadName = "head"

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

// ChangeType tells what a watch saw.
type ChangeType string

// The kinds of change.
const (
	ChangePut    ChangeType = "put"
	ChangeDelete ChangeType = "delete"
)

// Change is one event of a watch.
type Change struct {
	Type   ChangeType
	Object Object
}

// Watch is a running watch on one collection.
type Watch interface {
	// Next waits for the next change. After any error the watch is finished and
	// the caller lists again or watches from the last revision it has seen.
	Next(ctx context.Context) (Change, error)
	// Close releases the watch.
	Close() error
}

// Store is the object API.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key Key) (Object, error)
	// List reads a collection and the revision to watch from.
	List(ctx context.Context, c Collection) ([]Object, Revision, error)
	// Put writes value if the object still has revision ifRevision; the empty
	// revision means that the object must not exist. It returns the new revision.
	Put(ctx context.Context, key Key, value json.RawMessage, ifRevision Revision) (Revision, error)
	// Delete removes the object if it still has revision ifRevision.
	Delete(ctx context.Context, key Key, ifRevision Revision) error
	// Watch reports changes of a collection after the given revision.
	Watch(ctx context.Context, c Collection, from Revision) (Watch, error)
}

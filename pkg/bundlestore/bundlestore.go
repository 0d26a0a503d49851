// Package bundlestore stores bundles in the platform's object store. Each bundle has
// two objects: a manifest and the encoded content. Reads check the content against the
// hash in the manifest, so a reader gets the complete bundle or an error.
package bundlestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Sentinel errors. The package wraps them with the bundle or object concerned.
var (
	// ErrNotPrepared is returned if no bundle with the id is stored, or no acceptance
	// of the version is recorded.
	ErrNotPrepared = errors.New("bundle store: bundle is not prepared")
	// ErrNotReadable is returned if the content is missing or does not match its hash.
	ErrNotReadable = errors.New("bundle store: bundle is not readable")
	// ErrMalformed is returned if a stored object cannot be decoded.
	ErrMalformed = errors.New("bundle store: malformed object")
	// ErrInvalidTransition is returned if the state of the bundle does not allow the transition.
	ErrInvalidTransition = errors.New("bundle store: bundle state does not allow the operation")
)

// maxWriteAttempts is the number of times that a conditional write is tried before it
// fails.
const maxWriteAttempts = 8

// ReadHead returns the head, which records who put the current configuration in force,
// and the revision that a conditional write of the next one must name. Before the first
// acceptance the head is empty, with version 0 and the empty revision. The head of a
// configuration that was written without a sign-off has only its version and no bundle.
func ReadHead(ctx context.Context, store objects.Store) (bundle.Head, objects.Revision, error) {
	inForce, err := store.InForce(ctx)
	if err != nil {
		return bundle.Head{}, "", fmt.Errorf("read head: %w", err)
	}
	if len(inForce.Record) == 0 {
		return bundle.Head{Acceptance: bundle.Acceptance{Version: model.Version(inForce.Config.Version)}}, inForce.Revision, nil
	}
	head, err := bundle.DecodeHead(inForce.Record)
	if err != nil {
		return bundle.Head{}, "", fmt.Errorf("read head at revision %s: %w", inForce.Revision, err)
	}
	return head, inForce.Revision, nil
}

// Meta records who prepared a bundle, when and why.
type Meta struct {
	Preparer string    `json:"preparer"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
	// Parent is the bundle that was in force when this one was prepared.
	Parent bundle.ID `json:"parent"`
	// ParentVersion is the version that was in force when this one was prepared.
	ParentVersion model.Version `json:"parentVersion"`
}

// Manifest describes a stored bundle: its origin, the hash of its content and its state
// at the last update.
type Manifest struct {
	Bundle bundle.ID `json:"bundle"`
	Meta   Meta      `json:"meta"`
	// Content is the SHA-256 of the encoded content in lower-case hexadecimal.
	Content  string `json:"content"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	State    State  `json:"state"`
	// Claimed is the version that the latest sign-off attempt would give to the bundle;
	// zero before the first attempt.
	Claimed model.Version `json:"claimed,omitempty"`
	// Accepted is the latest known version under which the bundle was in force; zero if
	// there is none.
	Accepted model.Version `json:"accepted,omitempty"`
}

// contentValue is the stored form of the encoded content.
type contentValue struct {
	Data []byte `json:"data"`
}

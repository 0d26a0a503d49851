// Package bundlestore keeps bundles in the platform's object store. A bundle is a
// manifest and its content, which is checked against its hash: it is readable
// whole or not at all.
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

// Errors of the package. They are wrapped with the bundle or object concerned.
var (
	// ErrNotPrepared: no bundle with this id is stored.
	ErrNotPrepared = errors.New("bundle store: bundle is not prepared")
	// ErrNotReadable: the content is missing or does not match its hash.
	ErrNotReadable = errors.New("bundle store: bundle is not readable")
	// ErrMalformed: a stored object could not be decoded.
	ErrMalformed = errors.New("bundle store: malformed object")
	// ErrState: the bundle's state does not allow the step.
	ErrState = errors.New("bundle store: bundle is in another state")
)

// writeAttempts bounds the tries of one conditional update.
const writeAttempts = 8

// ReadHead returns the record of who put the configuration in force, and the
// revision to replace it at. Before the first acceptance the head is empty, at
// version 0 and with the empty revision. A configuration that was not signed off
// has a head with its version and no bundle.
func ReadHead(ctx context.Context, store objects.Store) (bundle.Head, objects.Revision, error) {
	now, err := store.InForce(ctx)
	if err != nil {
		return bundle.Head{}, "", fmt.Errorf("read head: %w", err)
	}
	if len(now.Record) == 0 {
		return bundle.Head{Acceptance: bundle.Acceptance{Version: model.Version(now.Config.Version)}}, now.Revision, nil
	}
	h, err := bundle.DecodeHead(now.Record)
	if err != nil {
		return bundle.Head{}, "", fmt.Errorf("read head at revision %s: %w", now.Revision, err)
	}
	return h, now.Revision, nil
}

// Meta says who prepared a bundle, when and why.
type Meta struct {
	Preparer string    `json:"preparer"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
	// Parent is the bundle that was in force at that time.
	Parent bundle.ID `json:"parent"`
	// ParentVersion is the version that was in force at that time.
	ParentVersion model.Version `json:"parentVersion"`
}

// Manifest describes a stored bundle.
type Manifest struct {
	Bundle bundle.ID `json:"bundle"`
	Meta   Meta      `json:"meta"`
	// Content is the SHA-256 of the encoded content in lower-case hexadecimal.
	Content  string `json:"content"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	State    State  `json:"state"`
	// Claimed is the version that the latest sign-off would give to the bundle;
	// zero before the first sign-off.
	Claimed model.Version `json:"claimed,omitempty"`
	// Accepted is the latest version that is known to have put the bundle in
	// force; zero if there is none.
	Accepted model.Version `json:"accepted,omitempty"`
}

type contentValue struct {
	Data []byte `json:"data"`
}

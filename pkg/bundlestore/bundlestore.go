// Package bundlestore keeps bundles and the accepted head in the platform. A
// bundle is a manifest and content-addressed parts, each below the platform's
// value size; it is readable whole or not at all.
package bundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Errors of the package. They are wrapped with the bundle or object concerned.
var (
	// ErrNotPrepared: no bundle with this id is stored.
	ErrNotPrepared = errors.New("bundle store: bundle is not prepared")
	// ErrNotReadable: a part is missing or does not match its hash.
	ErrNotReadable = errors.New("bundle store: bundle is not readable")
	// ErrMalformed: a stored object could not be decoded.
	ErrMalformed = errors.New("bundle store: malformed object")
	// ErrState: the bundle's state does not allow the step.
	ErrState = errors.New("bundle store: bundle is in another state")
)

const (
	// MaxRecent bounds the acceptances that the head itself keeps.
	MaxRecent = 32
	// maxPartBytes is the raw size of a part; base64 and the platform's own
	// envelope stay below platform.MaxValueBytes.
	maxPartBytes = 700 << 10
	// writeAttempts bounds the tries of one conditional update.
	writeAttempts = 8
)

// Head is the object that says which bundle is in force.
type Head struct {
	Acceptance bundle.Acceptance `json:"acceptance"`
	// Recent holds the acceptances before it, newest first.
	Recent []bundle.Acceptance `json:"recent"`
}

// Find returns the acceptance that the operation led to, if the head knows it.
func (h *Head) Find(operation string) (bundle.Acceptance, bool) {
	for _, a := range h.All() {
		if a.Operation == operation {
			return a, true
		}
	}
	return bundle.Acceptance{}, false
}

// All returns every acceptance that the head knows, newest first.
func (h *Head) All() []bundle.Acceptance {
	if h.Acceptance.Version == 0 {
		return nil
	}
	return append([]bundle.Acceptance{h.Acceptance}, h.Recent...)
}

// Next returns the head that follows h with a in force.
func (h *Head) Next(a bundle.Acceptance) Head {
	recent := h.All()
	if len(recent) > MaxRecent {
		recent = recent[:MaxRecent]
	}
	return Head{Acceptance: a, Recent: recent}
}

// HeadKey addresses the head.
func HeadKey() platform.Key {
	return platform.Key{Collection: platform.CollectionHeads, Name: platform.HeadName}
}

// ReadHead returns the accepted head and its revision. Before the first
// acceptance the head is empty, at version 0 and with the empty revision.
func ReadHead(ctx context.Context, store platform.Store) (Head, platform.Revision, error) {
	o, err := store.Get(ctx, HeadKey())
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, "", nil
	}
	if err != nil {
		return Head{}, "", fmt.Errorf("read head: %w", err)
	}
	h, err := DecodeHead(o)
	return h, o.Revision, err
}

// DecodeHead reads the head from an object, as a watch delivers it.
func DecodeHead(o platform.Object) (Head, error) {
	var h Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return Head{}, fmt.Errorf("head at revision %s: %w: %w", o.Revision, ErrMalformed, err)
	}
	if h.Acceptance.Version == 0 {
		return Head{}, fmt.Errorf("head at revision %s has no version: %w", o.Revision, ErrMalformed)
	}
	return h, nil
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

// Part is one content-addressed piece of an encoded bundle.
type Part struct {
	// Name is the SHA-256 of the data in lower-case hexadecimal.
	Name string `json:"name"`
	Size int    `json:"size"`
}

// Manifest describes a stored bundle.
type Manifest struct {
	Bundle   bundle.ID `json:"bundle"`
	Meta     Meta      `json:"meta"`
	Parts    []Part    `json:"parts"`
	Services int       `json:"services"`
	Routes   int       `json:"routes"`
	State    State     `json:"state"`
	// Claimed is the version that the latest sign-off would give to the bundle;
	// zero before the first sign-off.
	Claimed model.Version `json:"claimed,omitempty"`
	// Accepted is the latest version that is known to have put the bundle in
	// force; zero if there is none.
	Accepted model.Version `json:"accepted,omitempty"`
}

type partValue struct {
	Data []byte `json:"data"`
}

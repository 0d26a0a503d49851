package bundlestore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Entry is a stored bundle in a list. Its State is the one at the head that was read with
// the list and replaces the state in the manifest.
type Entry struct {
	Manifest
	State State `json:"state"`
}

// List returns all stored bundles, the most recently prepared first, and the head that
// their states are derived from. Manifests that cannot be decoded are left out: the error
// names them, and the other entries are returned with it. Entries are nil if the store or
// the head cannot be read.
func List(ctx context.Context, store objects.Store) ([]Entry, bundle.Head, error) {
	stored, err := store.List(ctx, objects.CollectionBundles)
	if err != nil {
		return nil, bundle.Head{}, fmt.Errorf("list bundles: %w", err)
	}
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return nil, bundle.Head{}, err
	}
	var entries []Entry
	var errs []error
	for _, o := range stored {
		m, err := decodeManifest(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		entries = append(entries, Entry{Manifest: m, State: m.StateAt(&head)})
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return b.Meta.Time.Compare(a.Meta.Time) })
	return entries, head, errors.Join(errs...)
}

// Waiting returns the entries that wait for a sign-off or are being signed off.
func Waiting(entries []Entry) []Entry {
	var waiting []Entry
	for _, e := range entries {
		if e.State == StatePrepared || e.State == StateSigning {
			waiting = append(waiting, e)
		}
	}
	return waiting
}

// Retention limits how long and how many stored bundles are kept.
type Retention struct {
	// MaxWaitingAge is how long a prepared bundle is kept before it is withdrawn.
	MaxWaitingAge time.Duration
	// MaxWaiting is the number of prepared bundles that are kept; the oldest are removed
	// first.
	MaxWaiting int
	// MaxSuperseded is the number of bundles that are kept after they were in force;
	// those with the lowest versions are removed first.
	MaxSuperseded int
	// MaxRemovals is the number of bundles that one call of Prune removes at most.
	MaxRemovals int
}

// DefaultRetention is the retention that the command line uses.
var DefaultRetention = Retention{
	MaxWaitingAge: 7 * 24 * time.Hour,
	MaxWaiting:    64,
	MaxSuperseded: 256,
	MaxRemovals:   16,
}

// Expired returns the bundles to remove, at most MaxRemovals of them: withdrawn ones, and
// those beyond the limits. A bundle that was in force and is prepared again counts as
// superseded. Entries must be ordered as List returns them, the newest first.
func (r Retention) Expired(entries []Entry, now time.Time) []bundle.ID {
	var ids []bundle.ID
	var waiting int
	var superseded []Entry
	for _, e := range entries {
		switch {
		case e.State == StateWithdrawn:
			ids = append(ids, e.Bundle)
		case e.State == StateSuperseded || (e.State == StatePrepared && e.Accepted > 0):
			superseded = append(superseded, e)
		case e.State == StatePrepared || e.State == StateStoring:
			waiting++
			if waiting > r.MaxWaiting || now.Sub(e.Meta.Time) > r.MaxWaitingAge {
				ids = append(ids, e.Bundle)
			}
		}
	}
	slices.SortStableFunc(superseded, func(a, b Entry) int { return cmp.Compare(b.Claimed, a.Claimed) })
	for _, e := range superseded[min(len(superseded), r.MaxSuperseded):] {
		ids = append(ids, e.Bundle)
	}
	return ids[:min(len(ids), r.MaxRemovals)]
}

// Prune withdraws and removes the expired bundles and returns the ids of those removed.
// A bundle that cannot be removed is reported in the error and left for the next call.
func Prune(ctx context.Context, store objects.Store, r Retention, now time.Time) ([]bundle.ID, error) {
	entries, _, err := List(ctx, store)
	if entries == nil {
		return nil, err
	}
	errs := []error{err}
	var removed []bundle.ID
	for _, id := range r.Expired(entries, now) {
		if err := Remove(ctx, store, id); err != nil {
			errs = append(errs, err)
			continue
		}
		removed = append(removed, id)
	}
	return removed, errors.Join(errs...)
}

// Remove withdraws a bundle and deletes its manifest and content.
//
// The revision of the content is read before the manifest is deleted, so that a concurrent
// Save of the same bundle never loses its content. A Save that starts after the deletion
// finds no manifest and writes the content again; its new revision makes the conditional
// deletion here fail. A Save that started before it fails to update the manifest, which is
// gone, and starts over.
func Remove(ctx context.Context, store objects.Store, id bundle.ID) error {
	if err := Withdraw(ctx, store, id); err != nil {
		return err
	}
	m, revision, err := LoadManifest(ctx, store, id)
	if err != nil {
		return err
	}
	if m.State != StateWithdrawn {
		return fmt.Errorf("remove bundle %.12s: state changed to %s: %w", id, m.State, ErrInvalidTransition)
	}
	content, err := store.Get(ctx, contentKey(id))
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return fmt.Errorf("remove bundle %.12s: %w", id, err)
	}
	if err := store.Delete(ctx, manifestKey(id), revision); err != nil {
		return fmt.Errorf("remove bundle %.12s: %w", id, err)
	}
	if content.Revision == "" {
		return nil
	}
	err = store.Delete(ctx, content.Key, content.Revision)
	if err != nil && !errors.Is(err, objects.ErrNotFound) && !errors.Is(err, objects.ErrConflict) {
		return fmt.Errorf("remove bundle %.12s: %w", id, err)
	}
	return nil
}

package bundlestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// chunk is one part with its data.
type chunk struct {
	Part
	data []byte
}

// Save stores a normalized bundle and returns its id. Saving content that waits
// or is in force already changes nothing, but for parts that are missing or
// damaged, which it repairs; the first preparer stays on record. Content that was
// superseded waits again.
//
// The manifest stands, as storing, before the parts are written and becomes
// prepared after them, only if it was not touched in between. Remove relies on
// this order.
func Save(ctx context.Context, store platform.Store, b *bundle.Bundle, meta Meta) (bundle.ID, error) {
	id, err := b.ContentID()
	if err != nil {
		return "", err
	}
	data, err := b.Encode()
	if err != nil {
		return "", err
	}
	chunks := split(data)
	m := Manifest{Bundle: id, Meta: meta, Services: len(b.Services), Routes: len(b.Routes), State: StateStoring}
	for _, c := range chunks {
		m.Parts = append(m.Parts, c.Part)
	}
	var last error
	for range writeAttempts {
		done, err := save(ctx, store, m, chunks)
		if done {
			return id, nil
		}
		if !isUncertain(err) {
			return "", fmt.Errorf("save bundle %.12s: %w", id, err)
		}
		last = err
	}
	return "", fmt.Errorf("save bundle %.12s: gave up after %d attempts: %w", id, writeAttempts, last)
}

// save makes one attempt. An uncertain error asks for another.
func save(ctx context.Context, store platform.Store, m Manifest, chunks []chunk) (done bool, err error) {
	stored, revision, err := beginSave(ctx, store, m)
	if err != nil {
		return false, err
	}
	if stored.State != StateStoring {
		if _, err := loadParts(ctx, store, stored); err == nil {
			err = prepareAgain(ctx, store, stored, m.Meta)
			return err == nil, err
		}
	}
	for _, c := range chunks {
		if err := writePart(ctx, store, m.Bundle, c); err != nil {
			return false, err
		}
	}
	if stored.State == StateStoring {
		stored.State, err = step(StateStoring, triggerFinish)
		if err != nil {
			return false, err
		}
	}
	_, err = putManifest(ctx, store, stored, revision)
	return err == nil, err
}

// prepareAgain lets a superseded bundle wait for a sign-off once more, under the
// name of who prepared it now. In any other state nothing changes.
func prepareAgain(ctx context.Context, store platform.Store, stored Manifest, meta Meta) error {
	if stored.State != StateAccepted && stored.State != StateSigning {
		return nil
	}
	_, err := update(ctx, store, stored.Bundle, func(m *Manifest, h *Head) (bool, error) {
		m.settle(h)
		next, err := step(m.StateAt(h), triggerPrepare)
		if err != nil {
			return false, nil //nolint:nilerr // not superseded: nothing to do
		}
		m.State, m.Meta = next, meta
		return true, nil
	})
	return err
}

// beginSave makes sure that a manifest with the given parts stands and returns
// it with its revision.
func beginSave(ctx context.Context, store platform.Store, m Manifest) (Manifest, platform.Revision, error) {
	stored, revision, err := LoadManifest(ctx, store, m.Bundle)
	switch {
	case errors.Is(err, ErrNotPrepared) || errors.Is(err, ErrMalformed):
	case err != nil:
		return Manifest{}, "", err
	case stored.State != StateWithdrawn && slices.Equal(stored.Parts, m.Parts):
		return stored, revision, nil
	case stored.State == StateWithdrawn:
		if m.State, err = step(StateWithdrawn, triggerStore); err != nil {
			return Manifest{}, "", err
		}
	default:
		// Another encoding of the same content: keep who prepared it and its state.
		m.Meta, m.State = stored.Meta, stored.State
		m.Claimed, m.Accepted = stored.Claimed, stored.Accepted
	}
	revision, err = putManifest(ctx, store, m, revision)
	return m, revision, err
}

func split(data []byte) []chunk {
	var chunks []chunk
	for len(data) > 0 {
		piece := data[:min(len(data), maxPartBytes)]
		data = data[len(piece):]
		chunks = append(chunks, chunk{Part: Part{Name: hashName(piece), Size: len(piece)}, data: piece})
	}
	return chunks
}

func hashName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// partKey addresses a part. Each bundle has its own parts, so that removing one
// bundle cannot damage another.
func partKey(id bundle.ID, p Part) platform.Key {
	return platform.Key{Collection: platform.CollectionParts, Name: string(id) + "-" + p.Name}
}

func manifestKey(id bundle.ID) platform.Key {
	return platform.Key{Collection: platform.CollectionBundles, Name: string(id)}
}

// writePart writes a part even if it is stored already: its new revision makes
// a removal that began earlier fail.
func writePart(ctx context.Context, store platform.Store, id bundle.ID, c chunk) error {
	value, err := json.Marshal(partValue{Data: c.data})
	if err != nil {
		return fmt.Errorf("encode part: %w", err)
	}
	key := partKey(id, c.Part)
	var revision platform.Revision
	var last error
	for range writeAttempts {
		_, last = store.Put(ctx, key, value, revision)
		if last == nil || !isUncertain(last) {
			return last
		}
		o, err := store.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		revision = o.Revision
	}
	return last
}

package bundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Load returns the bundle with the given id after checking its content against the hash in
// the manifest and against the id. It returns ErrNotPrepared if the bundle is not stored
// and ErrNotReadable if it is incomplete or damaged, never a partial bundle.
func Load(ctx context.Context, store objects.Store, id bundle.ID) (bundle.Bundle, error) {
	m, _, err := LoadManifest(ctx, store, id)
	if err != nil {
		return bundle.Bundle{}, err
	}
	data, err := loadContent(ctx, store, &m)
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: %w", id, err)
	}
	b, err := bundle.Decode(data)
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: %w: %w", id, ErrNotReadable, err)
	}
	actual, err := b.ContentID()
	if err != nil {
		return bundle.Bundle{}, err
	}
	if actual != id {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: content has id %.12s: %w: %w", id, actual, ErrNotReadable, bundle.ErrContent)
	}
	return b, nil
}

// LoadManifest returns the manifest of a bundle and its revision. It returns the revision
// also with ErrMalformed, so that Save can replace a manifest that cannot be decoded.
func LoadManifest(ctx context.Context, store objects.Store, id bundle.ID) (Manifest, objects.Revision, error) {
	o, err := store.Get(ctx, manifestKey(id))
	if errors.Is(err, objects.ErrNotFound) {
		return Manifest{}, "", fmt.Errorf("bundle %.12s: %w", id, ErrNotPrepared)
	}
	if err != nil {
		return Manifest{}, "", fmt.Errorf("load bundle %.12s: %w", id, err)
	}
	m, err := decodeManifest(o)
	return m, o.Revision, err
}

// decodeManifest decodes a stored manifest and checks that it belongs to the bundle that
// its key names.
func decodeManifest(o objects.Object) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return Manifest{}, fmt.Errorf("manifest %.12s: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	if string(m.Bundle) != o.Key.Name {
		return Manifest{}, fmt.Errorf("manifest %.12s names bundle %.12s: %w", o.Key.Name, m.Bundle, ErrMalformed)
	}
	return m, nil
}

// loadContent returns the encoded content of a bundle after checking it against the hash
// in the manifest.
func loadContent(ctx context.Context, store objects.Store, m *Manifest) ([]byte, error) {
	o, err := store.Get(ctx, contentKey(m.Bundle))
	if errors.Is(err, objects.ErrNotFound) {
		return nil, fmt.Errorf("content is missing: %w", ErrNotReadable)
	}
	if err != nil {
		return nil, err
	}
	var v contentValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, fmt.Errorf("decode content: %w: %w", ErrNotReadable, err)
	}
	if sha256Hex(v.Data) != m.Content {
		return nil, fmt.Errorf("content does not match its hash %.12s: %w", m.Content, ErrNotReadable)
	}
	return v.Data, nil
}

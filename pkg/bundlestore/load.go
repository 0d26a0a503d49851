package bundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Load returns the bundle with the given id, checked against its hash. It
// returns ErrNotPrepared or ErrNotReadable and never a part of a bundle.
func Load(ctx context.Context, store platform.Store, id bundle.ID) (bundle.Bundle, error) {
	m, _, err := LoadManifest(ctx, store, id)
	if err != nil {
		return bundle.Bundle{}, err
	}
	data, err := loadParts(ctx, store, m)
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: %w", id, err)
	}
	b, err := bundle.Decode(data)
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: %w: %w", id, ErrNotReadable, err)
	}
	got, err := b.ContentID()
	if err != nil {
		return bundle.Bundle{}, err
	}
	if got != id {
		return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: content is %.12s: %w: %w", id, got, ErrNotReadable, bundle.ErrContent)
	}
	return b, nil
}

// LoadManifest returns the manifest of a bundle and its revision. The revision
// is also returned with ErrMalformed.
func LoadManifest(ctx context.Context, store platform.Store, id bundle.ID) (Manifest, platform.Revision, error) {
	o, err := store.Get(ctx, manifestKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return Manifest{}, "", fmt.Errorf("bundle %.12s: %w", id, ErrNotPrepared)
	}
	if err != nil {
		return Manifest{}, "", fmt.Errorf("load bundle %.12s: %w", id, err)
	}
	m, err := decodeManifest(o)
	return m, o.Revision, err
}

func decodeManifest(o platform.Object) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return Manifest{}, fmt.Errorf("manifest %.12s: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	if string(m.Bundle) != o.Key.Name {
		return Manifest{}, fmt.Errorf("manifest %.12s names bundle %.12s: %w", o.Key.Name, m.Bundle, ErrMalformed)
	}
	return m, nil
}

// loadParts returns the encoding of a bundle, each part checked against its hash.
func loadParts(ctx context.Context, store platform.Store, m Manifest) ([]byte, error) {
	var data []byte
	for _, p := range m.Parts {
		piece, err := loadPart(ctx, store, m.Bundle, p)
		if err != nil {
			return nil, err
		}
		data = append(data, piece...)
		if len(data) > bundle.MaxContentBytes {
			return nil, fmt.Errorf("parts have more than %d bytes: %w", bundle.MaxContentBytes, ErrNotReadable)
		}
	}
	return data, nil
}

func loadPart(ctx context.Context, store platform.Store, id bundle.ID, p Part) ([]byte, error) {
	o, err := store.Get(ctx, partKey(id, p))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, fmt.Errorf("part %.12s is missing: %w", p.Name, ErrNotReadable)
	}
	if err != nil {
		return nil, err
	}
	var v partValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, fmt.Errorf("part %.12s: %w: %w", p.Name, ErrNotReadable, err)
	}
	if hashName(v.Data) != p.Name {
		return nil, fmt.Errorf("part %.12s does not match its hash: %w", p.Name, ErrNotReadable)
	}
	return v.Data, nil
}

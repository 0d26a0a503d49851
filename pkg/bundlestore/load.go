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
	var data []byte
	for _, p := range m.Parts {
		chunk, err := loadPart(ctx, store, p)
		if err != nil {
			return bundle.Bundle{}, fmt.Errorf("load bundle %.12s: %w", id, err)
		}
		data = append(data, chunk...)
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

// LoadManifest returns the manifest of a bundle and its revision.
func LoadManifest(ctx context.Context, store platform.Store, id bundle.ID) (Manifest, platform.Revision, error) {
	o, err := store.Get(ctx, manifestKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return Manifest{}, "", fmt.Errorf("bundle %.12s: %w", id, ErrNotPrepared)
	}
	if err != nil {
		return Manifest{}, "", fmt.Errorf("load bundle %.12s: %w", id, err)
	}
	m, err := decodeManifest(o)
	if err != nil {
		return Manifest{}, "", err
	}
	if m.Bundle != id {
		return Manifest{}, "", fmt.Errorf("manifest %.12s names bundle %.12s: %w", id, m.Bundle, ErrNotReadable)
	}
	return m, o.Revision, nil
}

// ListManifests returns every stored bundle's manifest, sorted by id.
func ListManifests(ctx context.Context, store platform.Store) ([]Manifest, error) {
	objects, _, err := store.List(ctx, platform.CollectionBundles)
	if err != nil {
		return nil, fmt.Errorf("list bundles: %w", err)
	}
	manifests := make([]Manifest, 0, len(objects))
	for _, o := range objects {
		m, err := decodeManifest(o)
		if err != nil {
			return nil, err
		}
		manifests = append(manifests, m)
	}
	return manifests, nil
}

func decodeManifest(o platform.Object) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return Manifest{}, fmt.Errorf("manifest %.12s: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	return m, nil
}

func loadPart(ctx context.Context, store platform.Store, p Part) ([]byte, error) {
	o, err := store.Get(ctx, partKey(p.Name))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, fmt.Errorf("part %.12s is missing: %w", p.Name, ErrNotReadable)
	}
	if err != nil {
		return nil, err
	}
	data, err := decodePart(o)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotReadable, err)
	}
	if hashName(data) != p.Name {
		return nil, fmt.Errorf("part %.12s does not match its hash: %w", p.Name, ErrNotReadable)
	}
	return data, nil
}

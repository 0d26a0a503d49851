package bundlestore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Save stores a normalized bundle and returns its id. Saving the same content
// again changes nothing but repairs parts that are missing or damaged; the
// first preparer stays on record.
func Save(ctx context.Context, store platform.Store, b *bundle.Bundle, meta Meta) (bundle.ID, error) {
	id, err := b.ContentID()
	if err != nil {
		return "", err
	}
	data, err := b.Encode()
	if err != nil {
		return "", err
	}
	m := Manifest{Bundle: id, Meta: meta, Services: len(b.Services), Routes: len(b.Routes)}
	for len(data) > 0 {
		chunk := data[:min(len(data), maxPartBytes)]
		data = data[len(chunk):]
		part := Part{Name: hashName(chunk), Size: len(chunk)}
		if err := savePart(ctx, store, part, chunk); err != nil {
			return "", fmt.Errorf("save bundle %.12s: %w", id, err)
		}
		m.Parts = append(m.Parts, part)
	}
	if err := saveManifest(ctx, store, m); err != nil {
		return "", fmt.Errorf("save bundle %.12s: %w", id, err)
	}
	return id, nil
}

func hashName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func partKey(name string) platform.Key {
	return platform.Key{Collection: platform.CollectionParts, Name: name}
}

func manifestKey(id bundle.ID) platform.Key {
	return platform.Key{Collection: platform.CollectionBundles, Name: string(id)}
}

// savePart writes a part unless it is stored already, whole and undamaged.
func savePart(ctx context.Context, store platform.Store, p Part, data []byte) error {
	value, err := json.Marshal(partValue{Data: data})
	if err != nil {
		return fmt.Errorf("encode part: %w", err)
	}
	same := func(o platform.Object) bool {
		got, err := decodePart(o)
		return err == nil && bytes.Equal(got, data)
	}
	return ensure(ctx, store, partKey(p.Name), value, same)
}

func decodePart(o platform.Object) ([]byte, error) {
	var v partValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, fmt.Errorf("part %.12s: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	return v.Data, nil
}

// saveManifest writes the manifest unless one with the same parts is stored.
func saveManifest(ctx context.Context, store platform.Store, m Manifest) error {
	value, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	same := func(o platform.Object) bool {
		got, err := decodeManifest(o)
		return err == nil && samePartsAs(got.Parts, m.Parts)
	}
	return ensure(ctx, store, manifestKey(m.Bundle), value, same)
}

func samePartsAs(a, b []Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// ensure makes the object hold value, or something for which same is true. The
// write is idempotent: after a conflict or a lost answer it reads the object
// back and writes only against the revision that it read.
func ensure(ctx context.Context, store platform.Store, key platform.Key, value json.RawMessage, same func(platform.Object) bool) error {
	var revision platform.Revision
	var last error
	for range writeAttempts {
		_, err := store.Put(ctx, key, value, revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
			return err
		}
		last = err
		o, err := store.Get(ctx, key)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			revision = ""
		case err != nil:
			return err
		case same(o):
			return nil
		default:
			revision = o.Revision
		}
	}
	return last
}

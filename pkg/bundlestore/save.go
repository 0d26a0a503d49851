package bundlestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Save stores a normalized bundle and returns its id. If the bundle is already stored and
// waits for a sign-off or is in force, Save only rewrites content that is missing or
// damaged, and the manifest keeps the first preparer. A superseded bundle becomes prepared
// again, with the given meta.
//
// Save writes the manifest in StateStoring first, then the content, and then sets the
// manifest to StatePrepared if its revision is still the same. Remove relies on this
// order.
func Save(ctx context.Context, store objects.Store, b *bundle.Bundle, meta Meta) (bundle.ID, error) {
	id, err := b.ContentID()
	if err != nil {
		return "", err
	}
	data, err := b.Encode()
	if err != nil {
		return "", err
	}
	m := Manifest{Bundle: id, Meta: meta, Content: sha256Hex(data), Services: len(b.Services), Routes: len(b.Routes), State: StateStoring}
	var lastErr error
	for range maxWriteAttempts {
		done, err := trySave(ctx, store, m, data)
		if done {
			return id, nil
		}
		if !shouldReread(err) {
			return "", fmt.Errorf("save bundle %.12s: %w", id, err)
		}
		lastErr = err
	}
	return "", fmt.Errorf("save bundle %.12s: gave up after %d attempts: %w", id, maxWriteAttempts, lastErr)
}

// trySave makes one attempt to store a bundle. The caller tries again if shouldReread
// reports true for the error.
func trySave(ctx context.Context, store objects.Store, m Manifest, data []byte) (done bool, err error) {
	stored, revision, err := beginSave(ctx, store, m)
	if err != nil {
		return false, err
	}
	if stored.State != StateStoring {
		if _, err := loadContent(ctx, store, &stored); err == nil {
			err = prepareAgain(ctx, store, stored, m.Meta)
			return err == nil, err
		}
	}
	if err := writeContent(ctx, store, m.Bundle, data); err != nil {
		return false, err
	}
	if stored.State == StateStoring {
		stored.State, err = nextState(StateStoring, triggerFinish)
		if err != nil {
			return false, err
		}
	}
	_, err = putManifest(ctx, store, stored, revision)
	return err == nil, err
}

// prepareAgain moves a superseded bundle back to StatePrepared, with the meta of the new
// preparation. It changes nothing in any other state.
func prepareAgain(ctx context.Context, store objects.Store, stored Manifest, meta Meta) error {
	if stored.State != StateAccepted && stored.State != StateSigning {
		return nil
	}
	_, err := update(ctx, store, stored.Bundle, func(m *Manifest, head *bundle.Head) (bool, error) {
		m.resolveClaim(head)
		next, err := nextState(m.StateAt(head), triggerPrepare)
		if err != nil {
			return false, nil //nolint:nilerr // not superseded: no change
		}
		m.State, m.Meta = next, meta
		return true, nil
	})
	return err
}

// beginSave returns the stored manifest and its revision if it has the given content
// hash. Otherwise it writes a new manifest and returns that one.
func beginSave(ctx context.Context, store objects.Store, m Manifest) (Manifest, objects.Revision, error) {
	stored, revision, err := LoadManifest(ctx, store, m.Bundle)
	switch {
	case errors.Is(err, ErrNotPrepared) || errors.Is(err, ErrMalformed):
	case err != nil:
		return Manifest{}, "", err
	case stored.State != StateWithdrawn && stored.Content == m.Content:
		return stored, revision, nil
	case stored.State == StateWithdrawn:
		if m.State, err = nextState(StateWithdrawn, triggerStore); err != nil {
			return Manifest{}, "", err
		}
	default:
		// The same bundle is stored in another encoding: replace the hash, and keep the
		// preparer and the state.
		m.Meta, m.State = stored.Meta, stored.State
		m.Claimed, m.Accepted = stored.Claimed, stored.Accepted
	}
	revision, err = putManifest(ctx, store, m, revision)
	return m, revision, err
}

// sha256Hex returns the SHA-256 of the data in lower-case hexadecimal.
func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func contentKey(id bundle.ID) objects.Key {
	return objects.Key{Collection: objects.CollectionContents, Name: string(id)}
}

func manifestKey(id bundle.ID) objects.Key {
	return objects.Key{Collection: objects.CollectionBundles, Name: string(id)}
}

// writeContent writes the content even if it is already stored. The new revision makes the
// deletion in a concurrent Remove fail, which would otherwise delete the content.
func writeContent(ctx context.Context, store objects.Store, id bundle.ID, data []byte) error {
	value, err := json.Marshal(contentValue{Data: data})
	if err != nil {
		return fmt.Errorf("encode content: %w", err)
	}
	key := contentKey(id)
	var revision objects.Revision
	var lastErr error
	for range maxWriteAttempts {
		_, lastErr = store.Put(ctx, key, value, revision)
		if lastErr == nil || !shouldReread(lastErr) {
			return lastErr
		}
		o, err := store.Get(ctx, key)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		revision = o.Revision
	}
	return lastErr
}

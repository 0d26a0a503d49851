package bundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Claim marks a bundle as being signed off as the given version, so that it
// cannot be removed meanwhile. The head must have been read before; its update
// follows. Claiming again is harmless. A bundle that is in force is only claimed
// if again is set.
func Claim(ctx context.Context, store objects.Store, id bundle.ID, version model.Version, again bool) (Manifest, error) {
	return update(ctx, store, id, func(m *Manifest, h *bundle.Head) (bool, error) {
		m.settle(h)
		state := m.StateAt(h)
		if state == StateAccepted && !again {
			return false, fmt.Errorf("bundle %.12s is in force as version %d: %w", id, h.Acceptance.Version, ErrState)
		}
		next, err := step(state, triggerSign)
		if err != nil {
			return false, fmt.Errorf("sign off bundle %.12s: %w", id, err)
		}
		if m.State == next && m.Claimed >= version {
			return false, nil
		}
		m.State, m.Claimed = next, version
		return true, nil
	})
}

// Settle records how the sign-off of a claimed bundle ended, once the head has
// reached its version. It is a help for readers only: StateAt draws the same
// conclusion from the head, as long as the head lists the version.
func Settle(ctx context.Context, store objects.Store, id bundle.ID) error {
	_, err := update(ctx, store, id, func(m *Manifest, h *bundle.Head) (bool, error) {
		before := m.State
		m.settle(h)
		return m.State != before, nil
	})
	return err
}

// Withdraw takes back a bundle that is not in force, so that it cannot be signed
// off any more. It returns ErrState while a sign-off of it is under way.
func Withdraw(ctx context.Context, store objects.Store, id bundle.ID) error {
	_, err := update(ctx, store, id, func(m *Manifest, h *bundle.Head) (bool, error) {
		next, err := step(m.StateAt(h), triggerWithdraw)
		if err != nil {
			return false, fmt.Errorf("withdraw bundle %.12s: %w", id, err)
		}
		changed := m.State != next
		m.State = next
		return changed, nil
	})
	return err
}

// update reads a manifest, then the head, lets change decide, and writes the
// manifest if it still is the one that was read. A conflict or a lost answer
// starts over, so change must give the same result when it has already been made.
func update(ctx context.Context, store objects.Store, id bundle.ID, change func(*Manifest, *bundle.Head) (bool, error)) (Manifest, error) {
	var last error
	for range writeAttempts {
		m, revision, err := LoadManifest(ctx, store, id)
		if err != nil {
			return Manifest{}, err
		}
		head, _, err := ReadHead(ctx, store)
		if err != nil {
			return Manifest{}, err
		}
		changed, err := change(&m, &head)
		if err != nil || !changed {
			return m, err
		}
		if _, err = putManifest(ctx, store, m, revision); err == nil {
			return m, nil
		}
		if !isUncertain(err) {
			return Manifest{}, err
		}
		last = err
	}
	return Manifest{}, fmt.Errorf("update bundle %.12s: gave up after %d attempts: %w", id, writeAttempts, last)
}

// isUncertain reports whether a write must be followed by a read to learn what
// is stored now.
func isUncertain(err error) bool {
	return errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrUnknownOutcome)
}

func putManifest(ctx context.Context, store objects.Store, m Manifest, revision objects.Revision) (objects.Revision, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return "", fmt.Errorf("encode manifest: %w", err)
	}
	return store.Put(ctx, manifestKey(m.Bundle), value, revision)
}

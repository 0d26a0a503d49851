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

// Claim records that a bundle is being signed off as the given version and moves it to
// StateSigning, so that it cannot be removed during the sign-off. The caller reads the head
// before Claim and updates it afterwards. Several bundles may claim the same version; the
// update of the head decides which one gets it. Claim is idempotent. A bundle that is in
// force is claimed only if again is set; otherwise Claim returns ErrInvalidTransition.
func Claim(ctx context.Context, store objects.Store, id bundle.ID, version model.Version, again bool) (Manifest, error) {
	return update(ctx, store, id, func(m *Manifest, head *bundle.Head) (bool, error) {
		m.resolveClaim(head)
		state := m.StateAt(head)
		if state == StateAccepted && !again {
			return false, fmt.Errorf("bundle %.12s is in force as version %d: %w", id, head.Acceptance.Version, ErrInvalidTransition)
		}
		next, err := nextState(state, triggerSign)
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

// ResolveClaim stores the outcome of the sign-off of a claimed bundle once the head has reached
// the claimed version. Calling it is optional: StateAt derives the same outcome from the
// head, as long as the head lists the version.
func ResolveClaim(ctx context.Context, store objects.Store, id bundle.ID) error {
	_, err := update(ctx, store, id, func(m *Manifest, head *bundle.Head) (bool, error) {
		oldState := m.State
		m.resolveClaim(head)
		return m.State != oldState, nil
	})
	return err
}

// Withdraw moves a bundle to StateWithdrawn, so that it can no longer be signed off. It
// returns ErrInvalidTransition if the bundle is in force or being signed off.
func Withdraw(ctx context.Context, store objects.Store, id bundle.ID) error {
	_, err := update(ctx, store, id, func(m *Manifest, head *bundle.Head) (bool, error) {
		next, err := nextState(m.StateAt(head), triggerWithdraw)
		if err != nil {
			return false, fmt.Errorf("withdraw bundle %.12s: %w", id, err)
		}
		changed := m.State != next
		m.State = next
		return changed, nil
	})
	return err
}

// update reads a manifest and then the head, calls change, and writes the manifest under
// the condition that its revision is unchanged. change modifies the manifest and reports
// whether it did. update starts over after a conflict or a write whose outcome is unknown,
// so change must be idempotent.
func update(ctx context.Context, store objects.Store, id bundle.ID, change func(*Manifest, *bundle.Head) (bool, error)) (Manifest, error) {
	var lastErr error
	for range maxWriteAttempts {
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
		if !shouldReread(err) {
			return Manifest{}, err
		}
		lastErr = err
	}
	return Manifest{}, fmt.Errorf("update bundle %.12s: gave up after %d attempts: %w", id, maxWriteAttempts, lastErr)
}

// shouldReread reports whether a failed write may be retried after reading the object
// again: its revision has changed, or it is unknown whether the write was applied.
func shouldReread(err error) bool {
	return errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrUnknownOutcome)
}

// putManifest writes a manifest under the condition that the stored one has the given
// revision, and returns the new revision.
func putManifest(ctx context.Context, store objects.Store, m Manifest, revision objects.Revision) (objects.Revision, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return "", fmt.Errorf("encode manifest: %w", err)
	}
	return store.Put(ctx, manifestKey(m.Bundle), value, revision)
}

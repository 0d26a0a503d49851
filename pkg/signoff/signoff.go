// Package signoff accepts bundles: it signs an acceptance and puts the bundle in force
// with one conditional update of the object that nodes follow. If two operators sign off
// concurrently, one update succeeds and the other is reported as a conflict. If the
// response to the update is lost, the operation id in the stored acceptances tells
// whether the update took effect.
package signoff

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

const (
	// maxResolveAttempts is the number of times the head is read, and the update repeated
	// where that is safe, to learn the outcome of an update that failed.
	maxResolveAttempts = 6
	// initialResolveDelay is the delay after the first of these attempts; it doubles with
	// each attempt.
	initialResolveDelay = 100 * time.Millisecond
	// maxReasonBytes limits the length of a reason, to keep the head and the history small.
	maxReasonBytes = 512
)

// Request describes one sign-off of a bundle by an operator.
type Request struct {
	// Bundle is the prepared bundle to put in force.
	Bundle bundle.ID
	// AllowInForce permits signing off the bundle that is already in force, for example with
	// another key before the key that signed it is withdrawn.
	AllowInForce bool
	// ExpectedVersion is the version that the operator saw in force. Accept fails with a
	// ConflictError if another version is in force.
	ExpectedVersion model.Version
	// NodeVersion is the version that nodes have in force, 0 if no node was asked. It is newer
	// than the one in the store if the store was restored from an older copy. Nodes ignore
	// versions that are not newer than theirs, so the next version follows the newer of both.
	NodeVersion model.Version
	// Acceptor is the name of the operator who signs off with Key.
	Acceptor string
	KeyID    string
	Key      ed25519.PrivateKey
	Reason   string
	// Operation is an id that is unique to this sign-off.
	Operation string
	// Time is the time of the sign-off; it is truncated to whole seconds.
	Time time.Time
	// Keyring verifies the signature before anything is written; nil skips this check.
	Keyring *bundle.Keyring
	// Warn is called with the error if the state of the bundle could not be updated after
	// the sign-off. That does not affect the outcome; nil ignores the error.
	Warn func(error)
}

// ConflictError reports that the version in force is not the one that the operator
// expected.
type ConflictError struct {
	Expected model.Version
	// Winner is the acceptance that came into force instead. Its version is 0 if no bundle
	// has been accepted yet.
	Winner bundle.Acceptance
}

// Error names the version, operator, bundle, time and reason of the other acceptance.
func (e *ConflictError) Error() string {
	if e.Winner.Version == 0 {
		return fmt.Sprintf("expected version %d, but no bundle has been accepted yet", e.Expected)
	}
	w := e.Winner
	text := fmt.Sprintf("expected version %d, but %s put version %d (bundle %.12s) in force at %s",
		e.Expected, w.Acceptor, w.Version, w.Bundle, w.Time.Format(time.RFC3339))
	if w.Reason != "" {
		text += fmt.Sprintf(" for the reason %q", w.Reason)
	}
	return text
}

// LostVersionError reports that nodes have a newer version in force than the store has, and
// that the operator did not expect it.
type LostVersionError struct{ Expected, Stored, OnNodes model.Version }

// Error tells how to sign off a version that nodes accept.
func (e *LostVersionError) Error() string {
	return fmt.Sprintf("expected version %d, but nodes have version %d in force and the store has version %d: the store was restored from an older copy; "+
		"with --expect-version %d the bundle becomes version %d", e.Expected, e.OnNodes, e.Stored, e.OnNodes, e.OnNodes+1)
}

// UnknownOutcomeError reports that it could not be determined whether a sign-off took effect.
type UnknownOutcomeError struct {
	Operation string
	// Version is the version that the bundle has if the sign-off took effect.
	Version model.Version
	Cause   error
}

// Error includes the command with which the operator can query the outcome.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the store did not say whether version %d was accepted; run \"tarragondrum bundle status --operation %s --expect-version %d\" before signing off again: %v",
		e.Version, e.Operation, e.Version-1, e.Cause)
}

// Unwrap returns the last error of the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Accept puts a prepared bundle in force as the version after r.ExpectedVersion. It claims the
// bundle, signs the acceptance and updates the object that nodes follow. It returns a
// *ConflictError if the version in force is not the expected one, and an *UnknownOutcomeError if
// the outcome of the update could not be determined. Any other error means that no
// version was accepted.
func Accept(ctx context.Context, store objects.Store, r Request) (bundle.Acceptance, error) {
	head, revision, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	stored := head.Acceptance.Version
	switch {
	case r.NodeVersion > stored && r.NodeVersion != r.ExpectedVersion:
		return bundle.Acceptance{}, &LostVersionError{Expected: r.ExpectedVersion, Stored: stored, OnNodes: r.NodeVersion}
	case r.NodeVersion <= stored && stored != r.ExpectedVersion:
		return bundle.Acceptance{}, &ConflictError{Expected: r.ExpectedVersion, Winner: head.Acceptance}
	}
	a, err := r.sign(&head)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	m, err := bundlestore.Claim(ctx, store, r.Bundle, a.Version, r.AllowInForce)
	if err != nil {
		return bundle.Acceptance{}, r.claimError(ctx, store, stored, err)
	}
	b, err := loadValid(ctx, store, r.Bundle)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	config := b.Config(a.Version)
	if a.Config, err = config.Digest(); err != nil {
		return bundle.Acceptance{}, err
	}
	a.Preparer = m.Meta.Preparer
	if err := a.Sign(r.KeyID, r.Key); err != nil {
		return bundle.Acceptance{}, err
	}
	record, err := json.Marshal(head.Next(a))
	if err != nil {
		return bundle.Acceptance{}, fmt.Errorf("encode record of version %d: %w", a.Version, err)
	}
	next := objects.InForce{Config: config, Record: record, Revision: revision}
	a, err = commit(ctx, store, update{acceptance: a, next: next, expect: r.ExpectedVersion})
	// A failure to settle is only a warning: readers can derive the bundle's state from
	// the head.
	if settleErr := bundlestore.ResolveClaim(ctx, store, r.Bundle); settleErr != nil && r.Warn != nil {
		r.Warn(fmt.Errorf("record the end of the sign-off with bundle %.12s: %w", r.Bundle, settleErr))
	}
	return a, err
}

// claimError returns the error to report when a bundle could not be claimed. If another
// version than stored has come into force since the head was read, that explains the
// failure and claimError returns a *ConflictError; otherwise it returns the error of the
// claim.
func (r *Request) claimError(ctx context.Context, store objects.Store, stored model.Version, claim error) error {
	if !errors.Is(claim, bundlestore.ErrInvalidTransition) {
		return claim
	}
	head, _, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return errors.Join(claim, err)
	}
	if head.Acceptance.Version != stored {
		return &ConflictError{Expected: r.ExpectedVersion, Winner: head.Acceptance}
	}
	return claim
}

// loadValid reads a whole bundle from the store and validates it.
func loadValid(ctx context.Context, store objects.Store, id bundle.ID) (bundle.Bundle, error) {
	b, err := bundlestore.Load(ctx, store, id)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if err := bundle.Check(&b); err != nil {
		return bundle.Bundle{}, fmt.Errorf("bundle %.12s: %w", id, err)
	}
	return b, nil
}

// sign checks the reason, and the key against r.Keyring, and returns a signed acceptance
// for the version that follows those of the head and of nodes. Its preparer and config digest
// are not known before the bundle is read, so Accept sets them and signs again.
func (r *Request) sign(head *bundle.Head) (bundle.Acceptance, error) {
	if len(r.Reason) > maxReasonBytes {
		return bundle.Acceptance{}, fmt.Errorf("reason has %d bytes, but at most %d are allowed", len(r.Reason), maxReasonBytes)
	}
	a := bundle.Acceptance{
		Version:   max(head.Acceptance.Version, r.NodeVersion) + 1,
		Bundle:    r.Bundle,
		Parent:    head.Acceptance.Bundle,
		Acceptor:  r.Acceptor,
		Time:      r.Time,
		Reason:    r.Reason,
		Operation: r.Operation,
	}
	if err := a.Sign(r.KeyID, r.Key); err != nil {
		return bundle.Acceptance{}, err
	}
	if r.Keyring == nil {
		return a, nil
	}
	return a, r.Keyring.Verify(&a)
}

// update is one conditional update of the object that nodes follow.
type update struct {
	acceptance bundle.Acceptance
	// next is the new value, with the revision of the head that it replaces.
	next objects.InForce
	// expect is the version that the operator saw in force.
	expect model.Version
}

// commit sends the update and determines its outcome. If the response was lost, it reads
// the head before each further attempt: the update took effect if the head lists its
// operation id. It sends the identical update again only while the head still has the
// expected revision; both updates are conditional on that revision, so at most one of
// them can succeed. The acceptance is returned with an error too.
func commit(ctx context.Context, store objects.Store, u update) (bundle.Acceptance, error) {
	_, err := store.Accept(ctx, u.next)
	if err == nil {
		return u.acceptance, nil
	}
	mayHaveApplied := errors.Is(err, objects.ErrUnknownOutcome)
	if !mayHaveApplied && !errors.Is(err, objects.ErrConflict) {
		return u.acceptance, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, err)
	}
	delay := initialResolveDelay
	for range maxResolveAttempts {
		var done bool
		done, err = resolve(ctx, store, u, mayHaveApplied)
		if done && err == nil {
			return u.acceptance, nil
		}
		if done {
			return u.acceptance, err
		}
		if sleep(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	if !mayHaveApplied {
		return u.acceptance, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, err)
	}
	return u.acceptance, &UnknownOutcomeError{Operation: u.acceptance.Operation, Version: u.acceptance.Version, Cause: err}
}

// resolve reads the head to determine the outcome of an update that failed. The parameter
// mayHaveApplied says whether the response was lost; only then is the update repeated
// while the revision is unchanged. If done is true, the outcome is certain and err is the
// outcome. If done is false, err says why the outcome is still unknown.
func resolve(ctx context.Context, store objects.Store, u update, mayHaveApplied bool) (done bool, err error) {
	head, revision, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return false, err
	}
	if _, ok := head.Find(u.acceptance.Operation); ok {
		return true, nil
	}
	if revision != u.next.Revision {
		winner, ok := acceptanceOf(head, u.acceptance.Version)
		if !ok {
			return false, fmt.Errorf("head is at version %d and no longer lists version %d", head.Acceptance.Version, u.acceptance.Version)
		}
		return true, &ConflictError{Expected: u.expect, Winner: winner}
	}
	if !mayHaveApplied {
		return true, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, objects.ErrConflict)
	}
	if _, err := store.Accept(ctx, u.next); err != nil {
		return false, err
	}
	return true, nil
}

// acceptanceOf returns the acceptance of the given version, if the head lists it.
func acceptanceOf(head bundle.Head, v model.Version) (bundle.Acceptance, bool) {
	for _, a := range head.All() {
		if a.Version == v {
			return a, true
		}
	}
	return bundle.Acceptance{}, false
}

// sleep waits for d, or returns the context's error if it is cancelled earlier.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

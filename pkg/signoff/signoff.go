// Package signoff accepts bundles: it signs the acceptance and puts it in force
// by one conditional update of the object that nodes follow. Of two racing operators one wins; a
// lost answer is resolved by the operation id inside the acceptance.
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
	// resolveAttempts bounds the reads and repeated updates after a lost answer.
	resolveAttempts = 6
	// resolveDelay is the first pause between them; it doubles each time.
	resolveDelay = 100 * time.Millisecond
	// maxReasonBytes bounds the reason, so that the head and the history stay small.
	maxReasonBytes = 512
)

// Request asks for a bundle to be put in force.
type Request struct {
	Bundle bundle.ID
	// Again permits to sign off the bundle that is in force, for example with
	// another key before the one that signed it is withdrawn.
	Again bool
	// Expect is the version that the operator saw in force.
	Expect   model.Version
	Acceptor string
	KeyID    string
	Key      ed25519.PrivateKey
	Reason   string
	// Operation is unique to this sign-off.
	Operation string
	// Time is the time of the sign-off; it is kept in whole seconds.
	Time time.Time
	// Keyring, if not nil, must verify the signature before anything is written.
	Keyring *bundle.Keyring
	// Warn is told of what could not be tidied after the sign-off; nil leaves it out.
	Warn func(error)
}

// ConflictError says that another version is in force than the operator expected.
type ConflictError struct {
	Expected model.Version
	// Winner is the acceptance that is in force instead.
	Winner bundle.Acceptance
}

// Error names the winner, the version and the time.
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

// UnknownError says that the outcome of a sign-off could not be learned.
type UnknownError struct {
	Operation string
	// Version is the version that the sign-off would have.
	Version model.Version
	Cause   error
}

// Error tells the operator how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the store did not say whether version %d was accepted; run \"tarragondrum bundle status --operation %s --expect-version %d\" before signing off again: %v",
		e.Version, e.Operation, e.Version-1, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Accept puts a prepared bundle in force. It returns a *ConflictError if
// another version is in force than expected and an *UnknownError if the
// platform did not tell the outcome; any other error means that no version was
// accepted.
func Accept(ctx context.Context, store objects.Store, r Request) (bundle.Acceptance, error) {
	head, revision, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	if head.Acceptance.Version != r.Expect {
		return bundle.Acceptance{}, &ConflictError{Expected: r.Expect, Winner: head.Acceptance}
	}
	a, err := r.sign(&head)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	m, err := bundlestore.Claim(ctx, store, r.Bundle, a.Version, r.Again)
	if err != nil {
		return bundle.Acceptance{}, claimError(ctx, store, r.Expect, err)
	}
	b, err := load(ctx, store, r.Bundle)
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
	a, err = commit(ctx, store, update{acceptance: a, next: next, expect: r.Expect})
	// Readers find out without the bundle's own record.
	if settleErr := bundlestore.Settle(ctx, store, r.Bundle); settleErr != nil && r.Warn != nil {
		r.Warn(fmt.Errorf("record the end of the sign-off with bundle %.12s: %w", r.Bundle, settleErr))
	}
	return a, err
}

// claimError says why a bundle could not be claimed. Where another version has come
// into force since the head was read, that is the reason.
func claimError(ctx context.Context, store objects.Store, expect model.Version, claim error) error {
	if !errors.Is(claim, bundlestore.ErrState) {
		return claim
	}
	head, _, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return errors.Join(claim, err)
	}
	if head.Acceptance.Version != expect {
		return &ConflictError{Expected: expect, Winner: head.Acceptance}
	}
	return claim
}

// load reads the whole bundle and applies the rules that hold for it.
func load(ctx context.Context, store objects.Store, id bundle.ID) (bundle.Bundle, error) {
	b, err := bundlestore.Load(ctx, store, id)
	if err != nil {
		return bundle.Bundle{}, err
	}
	if err := bundle.Check(&b); err != nil {
		return bundle.Bundle{}, fmt.Errorf("bundle %.12s: %w", id, err)
	}
	return b, nil
}

// sign returns the signed acceptance, but for its preparer, after checking the
// request and the key.
func (r *Request) sign(head *bundle.Head) (bundle.Acceptance, error) {
	if len(r.Reason) > maxReasonBytes {
		return bundle.Acceptance{}, fmt.Errorf("reason has %d bytes, at most %d are allowed", len(r.Reason), maxReasonBytes)
	}
	a := bundle.Acceptance{
		Version:   head.Acceptance.Version + 1,
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

// update is one conditional update of what is in force.
type update struct {
	acceptance bundle.Acceptance
	next       objects.InForce
	expect     model.Version
}

// commit makes the update. Once an answer was lost it reads the head before
// every further step: the operation id tells whether the update took effect.
// Only while the head still has the expected revision is the identical update
// sent again, which at most one of the two can win. It returns the acceptance
// with every error too.
func commit(ctx context.Context, store objects.Store, u update) (bundle.Acceptance, error) {
	_, err := store.Accept(ctx, u.next)
	if err == nil {
		return u.acceptance, nil
	}
	sent := errors.Is(err, objects.ErrUnknownOutcome)
	if !sent && !errors.Is(err, objects.ErrConflict) {
		return u.acceptance, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, err)
	}
	delay := resolveDelay
	for range resolveAttempts {
		var done bool
		done, err = resolve(ctx, store, u, sent)
		if done && err == nil {
			return u.acceptance, nil
		}
		if done {
			return u.acceptance, err
		}
		if pause(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	if !sent {
		return u.acceptance, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, err)
	}
	return u.acceptance, &UnknownError{Operation: u.acceptance.Operation, Version: u.acceptance.Version, Cause: err}
}

// resolve reads the head back and decides. It reports done when the outcome is
// certain; the error is then the outcome.
func resolve(ctx context.Context, store objects.Store, u update, sent bool) (done bool, err error) {
	head, revision, err := bundlestore.ReadHead(ctx, store)
	if err != nil {
		return false, err
	}
	if _, ok := head.Find(u.acceptance.Operation); ok {
		return true, nil
	}
	if revision != u.next.Revision {
		winner, ok := successor(head, u.acceptance.Version)
		if !ok {
			return false, fmt.Errorf("head is at version %d and no longer lists version %d", head.Acceptance.Version, u.acceptance.Version)
		}
		return true, &ConflictError{Expected: u.expect, Winner: winner}
	}
	if !sent {
		return true, fmt.Errorf("sign off version %d: nothing was changed: %w", u.acceptance.Version, objects.ErrConflict)
	}
	if _, err := store.Accept(ctx, u.next); err != nil {
		return false, err
	}
	return true, nil
}

// successor returns the acceptance that took the given version.
func successor(head bundle.Head, v model.Version) (bundle.Acceptance, bool) {
	for _, a := range head.All() {
		if a.Version == v {
			return a, true
		}
	}
	return bundle.Acceptance{}, false
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

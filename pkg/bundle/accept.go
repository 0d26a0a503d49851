package bundle

import (
	"crypto/ed25519"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// signatureContext is prepended to every signed message, so that a signature made with
// the same key for another purpose is not valid as an acceptance.
const signatureContext = "tarragondrum acceptance 1\n"

// Keyring holds the public keys of the operators, indexed by key id, and verifies
// acceptances with them. It is safe for concurrent use.
type Keyring struct {
	keys atomic.Pointer[map[string]TrustedKey]
}

// TrustedKey is the public key of one operator.
type TrustedKey struct {
	ID       string
	Operator string
	Public   ed25519.PublicKey
	// Withdrawn marks a revoked key: Verify rejects acceptances that are signed with it.
	Withdrawn bool
}

// NewKeyring returns a keyring with the given keys.
func NewKeyring(keys ...TrustedKey) *Keyring {
	k := &Keyring{}
	k.set(keys)
	return k
}

// Replace replaces the keys of k by those of next. Acceptances that k verified
// before are not verified again.
func (k *Keyring) Replace(next *Keyring) { k.keys.Store(next.keys.Load()) }

func (k *Keyring) set(keys []TrustedKey) {
	byID := make(map[string]TrustedKey, len(keys))
	for _, key := range keys {
		byID[key.ID] = key
	}
	k.keys.Store(&byID)
}

// Sign sets the key id and signature of a. It converts the time to UTC and truncates
// it to whole seconds, which JSON and CBOR both encode without loss; otherwise the
// signature would not match after decoding.
func (a *Acceptance) Sign(keyID string, key ed25519.PrivateKey) error {
	a.KeyID = keyID
	a.Time = a.Time.UTC().Truncate(time.Second)
	message, err := a.signedBytes()
	if err != nil {
		return err
	}
	a.Signature = ed25519.Sign(key, message)
	return nil
}

// Verify checks that a is signed with a trusted key, that the key is not withdrawn and
// that it belongs to the operator named as acceptor.
func (k *Keyring) Verify(a *Acceptance) error {
	key, ok := (*k.keys.Load())[a.KeyID]
	if !ok {
		return fmt.Errorf("version %d: key %q is not trusted: %w", a.Version, a.KeyID, ErrSignature)
	}
	if key.Withdrawn {
		return fmt.Errorf("version %d: key %q is withdrawn: %w", a.Version, a.KeyID, ErrSignature)
	}
	if key.Operator != a.Acceptor {
		return fmt.Errorf("version %d: key %q belongs to %q, not to %q: %w", a.Version, a.KeyID, key.Operator, a.Acceptor, ErrSignature)
	}
	message, err := a.signedBytes()
	if err != nil {
		return err
	}
	if !ed25519.Verify(key.Public, message, a.Signature) {
		return fmt.Errorf("version %d: signature of key %q does not match: %w", a.Version, a.KeyID, ErrSignature)
	}
	return nil
}

// VerifyConfig decodes the record that is stored with a configuration, and checks that
// its acceptance has the version and digest of c and is signed with a trusted key.
func (k *Keyring) VerifyConfig(c *meshconf.Config, record []byte) error {
	if len(record) == 0 {
		return fmt.Errorf("version %d was not signed off: %w", c.Version, ErrSignature)
	}
	h, err := DecodeHead(record)
	if err != nil {
		return err
	}
	a := &h.Acceptance
	digest, err := c.Digest()
	if err != nil {
		return err
	}
	if uint64(a.Version) != c.Version || a.Config != digest {
		return fmt.Errorf("configuration has version %d and digest %.12s, but its acceptance has version %d and digest %.12s: %w", c.Version, digest, a.Version, a.Config, ErrContent)
	}
	return k.Verify(a)
}

// signedBytes returns the message that is signed: the context and the encoding of the
// acceptance without its signature.
func (a *Acceptance) signedBytes() ([]byte, error) {
	unsigned := *a
	unsigned.Signature = nil
	unsigned.Time = a.Time.UTC()
	raw, err := encMode.Marshal(unsigned)
	if err != nil {
		return nil, fmt.Errorf("encode acceptance: %w", err)
	}
	return append([]byte(signatureContext), raw...), nil
}

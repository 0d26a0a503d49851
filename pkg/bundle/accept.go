package bundle

import (
	"crypto/ed25519"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// signatureContext separates these signatures from any other use of a key.
const signatureContext = "tarragondrum acceptance 1\n"

// Keyring verifies acceptances. Keys are found by their id. It is safe for
// concurrent use.
type Keyring struct {
	keys atomic.Pointer[map[string]TrustedKey]
}

// TrustedKey is the public key of one operator.
type TrustedKey struct {
	ID       string
	Operator string
	Public   ed25519.PublicKey
	// Withdrawn keys no longer verify new versions.
	Withdrawn bool
}

// NewKeyring returns a keyring with the given keys.
func NewKeyring(keys ...TrustedKey) *Keyring {
	k := &Keyring{}
	k.set(keys)
	return k
}

// Replace puts the keys of another keyring in place of those of k. Acceptances
// that k has verified before are not looked at again.
func (k *Keyring) Replace(next *Keyring) { k.keys.Store(next.keys.Load()) }

func (k *Keyring) set(keys []TrustedKey) {
	byID := make(map[string]TrustedKey, len(keys))
	for _, key := range keys {
		byID[key.ID] = key
	}
	k.keys.Store(&byID)
}

// Sign fills in the key id and signature of a. The time is cut to whole seconds
// in UTC, which every codec carries without loss.
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

// Verify checks that a is signed by a trusted key of the operator it names.
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

// VerifyConfig checks that the record of a configuration names that version and
// content, and is signed by a trusted key.
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
		return fmt.Errorf("version %d with digest %.12s, accepted were version %d with %.12s: %w", c.Version, digest, a.Version, a.Config, ErrContent)
	}
	return k.Verify(a)
}

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

package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
)

// Operator is a public key that may sign off bundles.
type Operator struct {
	Name      string `json:"name"`
	KeyID     string `json:"keyID"`
	PublicKey string `json:"publicKey"` // ed25519, in base64
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// CheckNames returns an error for the first text that is no name.
func CheckNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameLength || !namePattern.MatchString(name) {
			return fmt.Errorf("name %q must be 1 to %d lower-case letters, digits and inner hyphens: %w", name, maxNameLength, ErrInvalid)
		}
	}
	return nil
}

// OperatorKeys returns the keyring of a list of operators. Every fault of the
// list is reported, with its place.
func OperatorKeys(operators []Operator) (*Keyring, error) {
	var faults []error
	fault := func(i int, err error) { faults = append(faults, fmt.Errorf("operators[%d]: %w", i, err)) }
	keys := make([]TrustedKey, 0, len(operators))
	ids, public := make(map[string]bool), make(map[string]bool)
	usable := 0
	for i, o := range operators {
		if err := CheckNames(o.Name, o.KeyID); err != nil {
			fault(i, err)
		}
		if ids[o.KeyID] {
			fault(i, fmt.Errorf("key id %q is given twice: %w", o.KeyID, ErrInvalid))
		}
		key, err := parsePublicKey(o.PublicKey)
		switch {
		case err != nil:
			fault(i, err)
		case public[o.PublicKey]:
			fault(i, fmt.Errorf("public key of %q is given twice: %w", o.KeyID, ErrInvalid))
		}
		ids[o.KeyID], public[o.PublicKey] = true, true
		if !o.Withdrawn {
			usable++
		}
		keys = append(keys, TrustedKey{ID: o.KeyID, Operator: o.Name, Public: key, Withdrawn: o.Withdrawn})
	}
	if usable == 0 {
		faults = append(faults, fmt.Errorf("operators: no key is in use, so that no version could come into force: %w", ErrInvalid))
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return NewKeyring(keys...), nil
}

func parsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("public key %q is not base64: %w: %w", text, ErrInvalid, err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key has %d bytes, an ed25519 key has %d: %w", len(raw), ed25519.PublicKeySize, ErrInvalid)
	}
	return ed25519.PublicKey(raw), nil
}

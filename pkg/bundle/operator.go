package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
)

// Operator is one entry of the list of operators in the settings: a public key that may
// sign off bundles, and its owner. An operator with several keys has several entries.
type Operator struct {
	Name      string `json:"name"`
	KeyID     string `json:"keyID"`
	PublicKey string `json:"publicKey"` // ed25519, in base64
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// ValidateNames returns an error for the first argument that is not a valid name.
func ValidateNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameLength || !namePattern.MatchString(name) {
			return fmt.Errorf("name %q must be 1 to %d lower-case letters, digits and inner hyphens: %w", name, maxNameLength, ErrInvalid)
		}
	}
	return nil
}

// OperatorKeys returns a keyring with the keys of the operators. The error joins all
// faults of the list, each with the index of its entry.
func OperatorKeys(operators []Operator) (*Keyring, error) {
	var faults []error
	addFault := func(i int, err error) { faults = append(faults, fmt.Errorf("operators[%d]: %w", i, err)) }
	keys := make([]TrustedKey, 0, len(operators))
	ids, publicKeys := make(map[string]bool), make(map[string]bool)
	active := 0
	for i, o := range operators {
		if err := ValidateNames(o.Name, o.KeyID); err != nil {
			addFault(i, err)
		}
		if ids[o.KeyID] {
			addFault(i, fmt.Errorf("key id %q is given twice: %w", o.KeyID, ErrInvalid))
		}
		key, err := parsePublicKey(o.PublicKey)
		switch {
		case err != nil:
			addFault(i, err)
		case publicKeys[o.PublicKey]:
			addFault(i, fmt.Errorf("public key of %q is given twice: %w", o.KeyID, ErrInvalid))
		}
		ids[o.KeyID], publicKeys[o.PublicKey] = true, true
		if !o.Withdrawn {
			active++
		}
		keys = append(keys, TrustedKey{ID: o.KeyID, Operator: o.Name, Public: key, Withdrawn: o.Withdrawn})
	}
	if active == 0 {
		faults = append(faults, fmt.Errorf("operators: list is empty or has only withdrawn keys, so no version could be accepted: %w", ErrInvalid))
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return NewKeyring(keys...), nil
}

// parsePublicKey decodes an ed25519 public key from base64.
func parsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("public key %q is not base64: %w: %w", text, ErrInvalid, err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key has %d bytes, but an ed25519 key has %d: %w", len(raw), ed25519.PublicKeySize, ErrInvalid)
	}
	return ed25519.PublicKey(raw), nil
}

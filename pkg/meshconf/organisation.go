package meshconf

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
)

// KeyHash is the SHA-256 hash of an organisation's key. A Config has only hashes, so that a log line or
// a page made of it shows no key. Snapshot.Raw has the keys if the document that it holds has them.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the hash of a key in hexadecimal. The error does not contain the text, which
// may be a key by mistake.
func ParseKeyHash(text string) (KeyHash, error) {
	var k KeyHash
	if len(text) != hex.EncodedLen(len(k)) {
		return k, fmt.Errorf("hash of a key has %d characters, want %d: %w", len(text), hex.EncodedLen(len(k)), ErrInvalid)
	}
	if _, err := hex.Decode(k[:], []byte(text)); err != nil {
		return KeyHash{}, fmt.Errorf("hash of a key is not hexadecimal: %w", ErrInvalid)
	}
	return k, nil
}

// String returns the hash in hexadecimal.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// MarshalText returns the hash in hexadecimal.
func (k KeyHash) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Organisation is a customer whose callers identify themselves with keys.
type Organisation struct {
	Name      string
	KeyHashes []KeyHash
	// Priority replaces the priority of the route if it is set.
	Priority *int `json:",omitempty"`
	// RatePerS is the number of requests a second that the organisation may make on all nodes
	// together, and Burst the number of requests that it may make beyond that. A RatePerS of 0
	// means no limit.
	RatePerS float64 `json:",omitempty"`
	Burst    float64 `json:",omitempty"`
}

// check validates an organisation.
func (o *Organisation) check() error {
	switch {
	case o.Name == "":
		return fmt.Errorf("an organisation has no name: %w", ErrInvalid)
	case o.Priority != nil && *o.Priority < 0:
		return fmt.Errorf("organisation %q has the priority %d: %w", o.Name, *o.Priority, ErrInvalid)
	case !isAmount(o.RatePerS):
		return fmt.Errorf("organisation %q has the rate limit %g: %w", o.Name, o.RatePerS, ErrInvalid)
	case !isAmount(o.Burst):
		return fmt.Errorf("organisation %q has the burst %g: %w", o.Name, o.Burst, ErrInvalid)
	}
	return nil
}

// isAmount reports whether v is a finite number that is not negative.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// indexKeys validates organisations and returns them by the hashes of their keys.
func indexKeys(organisations []Organisation) (map[KeyHash]*Organisation, error) {
	keys := make(map[KeyHash]*Organisation)
	names := make(map[string]bool, len(organisations))
	empty := HashKey("")
	for i := range organisations {
		o := &organisations[i]
		if err := o.check(); err != nil {
			return nil, err
		}
		if names[o.Name] {
			return nil, fmt.Errorf("organisation %q is defined twice: %w", o.Name, ErrInvalid)
		}
		names[o.Name] = true
		for j, k := range o.KeyHashes {
			if k == empty {
				return nil, fmt.Errorf("key %d of organisation %q is empty: %w", j, o.Name, ErrInvalid)
			}
			if other := keys[k]; other != nil && other != o {
				return nil, fmt.Errorf("key %d of organisation %q belongs to organisation %q as well: %w", j, o.Name, other.Name, ErrInvalid)
			}
			keys[k] = o
		}
	}
	return keys, nil
}

// Organisation returns the organisation with the given key.
func (s *Snapshot) Organisation(key string) (*Organisation, bool) {
	o, ok := s.keys[HashKey(key)]
	return o, ok
}

// RequiresKey reports whether requests of a route need the key of an organisation.
func (s *Snapshot) RequiresKey(r *Route) bool { return len(s.Organisations) > 0 && !r.Public }

// sortOrganisations returns a copy that is sorted by name, with sorted keys.
func sortOrganisations(organisations []Organisation) []Organisation {
	sorted := slices.SortedFunc(slices.Values(organisations), func(x, y Organisation) int { return cmp.Compare(x.Name, y.Name) })
	for i := range sorted {
		sorted[i].KeyHashes = slices.SortedFunc(slices.Values(sorted[i].KeyHashes), func(x, y KeyHash) int { return bytes.Compare(x[:], y[:]) })
	}
	return sorted
}

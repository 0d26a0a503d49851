package order

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
)

// ErrMalformed is returned for a key that cannot name an order.
var ErrMalformed = errors.New("order: malformed key")

const (
	// MaxKeyBytes bounds the length of an Idempotency-Key.
	MaxKeyBytes = 255
	// Shards is the number of shards into which the keys of a service fall.
	Shards = 32
)

// The births that make a key a birth-timed one. A text of the same form with a
// birth outside of these years is treated as opaque.
var (
	minBirth = BirthOf(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
	maxBirth = BirthOf(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))
)

// Birth is the time at which a caller made a key, in milliseconds since 1970.
type Birth int64

// BirthOf returns t as a birth.
func BirthOf(t time.Time) Birth { return Birth(t.UnixMilli()) }

// Add returns b moved by d.
func (b Birth) Add(d time.Duration) Birth { return b + Birth(d/time.Millisecond) }

// Sub returns the time from a to b.
func (b Birth) Sub(a Birth) time.Duration { return time.Duration(b-a) * time.Millisecond }

// ID is the canonical form of a key. Spellings of the same UUID or ULID share it.
type ID [16]byte

// Key is a parsed Idempotency-Key.
type Key struct {
	ID ID
	// Timed tells that the key carries its birth: a UUID of version 7 or a ULID.
	Timed bool
	Birth Birth
	Shard int
}

// ParseKey reads the text of an Idempotency-Key. It returns ErrMalformed for an
// empty or overlong text and for bytes outside printable ASCII.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, fmt.Errorf("key is empty: %w", ErrMalformed)
	}
	if len(text) > MaxKeyBytes {
		return Key{}, fmt.Errorf("key has %d bytes, at most %d are taken: %w", len(text), MaxKeyBytes, ErrMalformed)
	}
	for i := range len(text) {
		if text[i] < 0x20 || text[i] > 0x7e {
			return Key{}, fmt.Errorf("key has byte %#x at %d: %w", text[i], i, ErrMalformed)
		}
	}
	if k, ok := parseTimed(text); ok {
		return k, nil
	}
	sum := sha256.Sum256([]byte(text))
	return newKey(ID(sum[:16])), nil
}

// uuidTextBytes is the length of a UUID in its usual form with hyphens.
const uuidTextBytes = 36

func parseTimed(text string) (Key, bool) {
	var id ID
	switch len(text) {
	case uuidTextBytes:
		u, err := uuid.Parse(text)
		if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
			return Key{}, false
		}
		id = ID(u)
	case ulid.EncodedSize:
		u, err := ulid.ParseStrict(text)
		if err != nil {
			return Key{}, false
		}
		id = ID(u)
	default:
		return Key{}, false
	}
	k := newKey(id)
	k.Birth = Birth(ulid.ULID(id).Time()) // Both forms start with 48 bits of milliseconds.
	k.Timed = true
	return k, k.Birth >= minBirth && k.Birth < maxBirth
}

func newKey(id ID) Key {
	return Key{ID: id, Shard: int(xxhash.Sum64(id[:]) % Shards)}
}

package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

// MaxContentBytes limits the uncompressed CBOR encoding of a whole bundle. The
// configuration compiled from a bundle must fit into one stored object of 1 MiB.
const MaxContentBytes = 700 << 10

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode returns a deterministic CBOR encoder: content ids and signatures are
// computed over its output, so equal values must have equal encodings.
func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	opts.NilContainers = cbor.NilContainerAsEmpty
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecMode returns a strict CBOR decoder: it rejects duplicate keys and unknown
// fields, and limits the size of arrays and maps.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Normalize sorts the services, routes, parts and organisations by name, sorts the hashes of keys, and replaces empty lists
// by nil, so that bundles of equal content have the same encoding and content id.
func (b *Bundle) Normalize() {
	b.Services = nilIfEmpty(b.Services)
	b.Routes = nilIfEmpty(b.Routes)
	for i := range b.Routes {
		r := &b.Routes[i]
		r.Parts = nilIfEmpty(slices.Clone(r.Parts))
		slices.SortFunc(r.Parts, func(x, y Part) int { return cmp.Compare(x.Service, y.Service) })
	}
	b.Organisations = nilIfEmpty(b.Organisations)
	for i := range b.Organisations {
		o := &b.Organisations[i]
		o.KeyHashes = nilIfEmpty(slices.Clone(o.KeyHashes))
		slices.Sort(o.KeyHashes)
	}
	slices.SortFunc(b.Organisations, func(x, y Organisation) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Services, func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routes, func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// ContentID returns the SHA-256 hash of the uncompressed encoding. The bundle must be
// normalized.
func (b *Bundle) ContentID() (ID, error) {
	raw, err := encMode.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("encode bundle: %w", err)
	}
	sum := sha256.Sum256(raw)
	return ID(hex.EncodeToString(sum[:])), nil
}

// Encode returns the compressed CBOR encoding. The bundle must be normalized.
func (b *Bundle) Encode() ([]byte, error) {
	raw, err := encMode.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return pack.Compress(raw), nil
}

// Decode decompresses and decodes a bundle and normalizes it. It does not validate the
// content; see Validate.
func Decode(data []byte) (Bundle, error) {
	raw, err := pack.Decompress(data)
	if err != nil {
		return Bundle{}, fmt.Errorf("%w: %w", ErrContent, err)
	}
	var b Bundle
	if err := decMode.Unmarshal(raw, &b); err != nil {
		return Bundle{}, fmt.Errorf("decode bundle: %w: %w", ErrContent, err)
	}
	b.Normalize()
	return b, nil
}

package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxContentBytes bounds the uncompressed encoding of a whole bundle.
const MaxContentBytes = 16 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
	packer  = mustPacker()
	unpack  = mustUnpacker()
)

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

func mustPacker() *zstd.Encoder {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err)
	}
	// The encoder is set up on first use; doing it here keeps its channels out
	// of the synctest bubbles of tests.
	w.EncodeAll(nil, nil)
	return w
}

func mustUnpacker() *zstd.Decoder {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(MaxContentBytes))
	if err != nil {
		panic(err)
	}
	return r
}

// Normalize sorts the services and routes by name and the methods of each
// route, and turns empty lists into nil, which gives equal content equal forms.
func (b *Bundle) Normalize() {
	b.Services = nilIfEmpty(b.Services)
	b.Routes = nilIfEmpty(b.Routes)
	for i := range b.Routes {
		r := &b.Routes[i]
		r.Methods = nilIfEmpty(slices.Clone(r.Methods))
		slices.Sort(r.Methods)
	}
	sort.Slice(b.Services, func(i, j int) bool { return b.Services[i].Name < b.Services[j].Name })
	sort.Slice(b.Routes, func(i, j int) bool { return b.Routes[i].Name < b.Routes[j].Name })
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// ContentID returns the hash of a normalized bundle's content.
func (b *Bundle) ContentID() (ID, error) {
	raw, err := encMode.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("encode bundle: %w", err)
	}
	sum := sha256.Sum256(raw)
	return ID(hex.EncodeToString(sum[:])), nil
}

// Encode returns the compressed encoding of a normalized bundle.
func (b *Bundle) Encode() ([]byte, error) { return pack(b) }

// Decode reads the encoding of a bundle. It checks the form, not the rules.
func Decode(data []byte) (Bundle, error) {
	var b Bundle
	if err := unpackInto(data, &b); err != nil {
		return Bundle{}, err
	}
	b.Normalize()
	return b, nil
}

func pack(v any) ([]byte, error) {
	raw, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return packer.EncodeAll(raw, nil), nil
}

func unpackInto(data []byte, v any) error {
	raw, err := unpack.DecodeAll(data, nil)
	if err != nil {
		return fmt.Errorf("decompress: %w: %w", ErrContent, err)
	}
	if err := decMode.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode: %w: %w", ErrContent, err)
	}
	return nil
}

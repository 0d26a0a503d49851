// Package codec is the encoding of messages between nodes: CBOR values, the
// envelope of a request or reply on a stream, and the sealed datagram.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
)

// ProtocolVersion is the version of the protocol between nodes. A peer that
// speaks another version is refused.
const ProtocolVersion = 1

// ErrVersion is returned when the peer speaks another version of the protocol.
var ErrVersion = errors.New("codec: unknown protocol version")

// Bounds on the structure of a decoded value, beside its size in bytes.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 13
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic,
		Time: cbor.TimeUnixDynamic,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecMode accepts unknown fields, so that nodes of two releases can talk
// while a host after the other is replaced.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes data into v. Every error is mesh.ErrMalformed.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w: %w", v, mesh.ErrMalformed, err)
	}
	return nil
}

// Package pack compresses configurations and bundles.
package pack

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// MaxBytes bounds what is unpacked; the store holds values of up to a megabyte.
const MaxBytes = 8 << 20

// window bounds the memory that packing takes.
const window = 128 << 10

// One worker each keeps the memory of small machines.
var (
	packer, packerErr     = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(window))
	unpacker, unpackerErr = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBytes))
)

func init() {
	if packerErr != nil {
		panic(packerErr)
	}
	if unpackerErr != nil {
		panic(unpackerErr)
	}
}

// Pack compresses data.
func Pack(data []byte) []byte { return packer.EncodeAll(data, nil) }

// Unpack returns what Pack was given.
func Unpack(data []byte) ([]byte, error) {
	raw, err := unpacker.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return raw, nil
}

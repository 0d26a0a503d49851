// Package pack compresses and decompresses configurations, bundles and host tables with
// zstd.
package pack

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// MaxDecompressedBytes is the largest decompressed size that Decompress accepts. The store holds values of
// up to a megabyte.
const MaxDecompressedBytes = 8 << 20

// windowBytes is the zstd window, which bounds the memory that compression takes.
const windowBytes = 128 << 10

// A single worker each keeps memory use low on small hosts.
var (
	encoder, encoderErr = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(windowBytes))
	decoder, decoderErr = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDecompressedBytes))
)

func init() {
	if encoderErr != nil {
		panic(encoderErr)
	}
	if decoderErr != nil {
		panic(decoderErr)
	}
}

// Compress compresses data.
func Compress(data []byte) []byte { return encoder.EncodeAll(data, nil) }

// Decompress decompresses data that Compress returned. It fails if the result is larger than
// MaxDecompressedBytes.
func Decompress(data []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return raw, nil
}

package link

import (
	"testing"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// Arbitrary bytes don't crash the decoder, and every frame that decodes can be encoded
// again.
func FuzzDecodeFrame(f *testing.F) {
	data, err := encode(&frame{Kind: kindCall, ID: 7, Call: &Call{Service: "s", Body: []byte("x")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xbf, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := decode(data)
		if err != nil {
			return
		}
		if _, err := encode(read); err != nil {
			t.Fatalf("%x decodes, but cannot be encoded again: %v", data, err)
		}
	})
}

// Arbitrary bytes don't crash UnpackHosts, and every table that it accepts can be encoded
// again, as it is when a node forwards it.
func FuzzUnpackHosts(f *testing.F) {
	packed, err := PackHosts([]fleet.Host{{Node: "a", PeerAddress: "x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		hosts, err := UnpackHosts(data)
		if err != nil {
			return
		}
		if _, err := PackHosts(hosts); err != nil {
			t.Fatal(err)
		}
	})
}

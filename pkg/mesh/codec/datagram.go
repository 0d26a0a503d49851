package codec

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// ErrSeal is returned when the authentication code of a datagram does not match.
var ErrSeal = errors.New("codec: bad datagram authentication code")

// sealBytes is the length of the truncated HMAC-SHA256 before the datagram.
const sealBytes = 16

// Datagram is one UDP message.
type Datagram struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    mesh.Kind
	From    model.NodeID
	Body    cbor.RawMessage
}

// SealDatagram encodes d behind an authentication code made with secret. It
// returns mesh.ErrTooLarge if the result is over mesh.MaxDatagramBytes.
func SealDatagram(d *Datagram, secret []byte) ([]byte, error) {
	d.Version = ProtocolVersion
	if len(d.Body) == 0 {
		d.Body = cbor.RawMessage{0xf6}
	}
	data, err := Marshal(d)
	if err != nil {
		return nil, err
	}
	if sealBytes+len(data) > mesh.MaxDatagramBytes {
		return nil, fmt.Errorf("datagram of kind %d has %d bytes: %w", d.Kind, sealBytes+len(data), mesh.ErrTooLarge)
	}
	sealed := make([]byte, 0, sealBytes+len(data))
	sealed = append(sealed, seal(data, secret)...)
	return append(sealed, data...), nil
}

// OpenDatagram checks the authentication code and decodes the datagram. It
// returns mesh.ErrTooLarge, ErrSeal, mesh.ErrMalformed or ErrVersion.
func OpenDatagram(sealed, secret []byte) (Datagram, error) {
	if len(sealed) > mesh.MaxDatagramBytes {
		return Datagram{}, fmt.Errorf("datagram has %d bytes: %w", len(sealed), mesh.ErrTooLarge)
	}
	if len(sealed) < sealBytes {
		return Datagram{}, fmt.Errorf("datagram has only %d bytes: %w", len(sealed), mesh.ErrMalformed)
	}
	data := sealed[sealBytes:]
	if !hmac.Equal(sealed[:sealBytes], seal(data, secret)) {
		return Datagram{}, ErrSeal
	}
	var d Datagram
	if err := Unmarshal(data, &d); err != nil {
		return Datagram{}, err
	}
	if d.Version != ProtocolVersion {
		return Datagram{}, fmt.Errorf("datagram has version %d: %w", d.Version, ErrVersion)
	}
	return d, nil
}

func seal(data, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(data)
	return mac.Sum(nil)[:sealBytes]
}

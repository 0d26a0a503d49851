package bundle

import "fmt"

// Update is an acceptance with the content that it accepts, either as a delta
// or whole. It is what nodes send each other.
type Update struct {
	Acceptance Acceptance `cbor:"1,keyasint"`
	Delta      *Delta     `cbor:"2,keyasint,omitempty"`
	Full       *Bundle    `cbor:"3,keyasint,omitempty"`
}

// Encode returns the compressed encoding of the update. The ids of a delta that
// equal those of the acceptance are left out.
func (u *Update) Encode() ([]byte, error) {
	short := *u
	if u.Delta != nil {
		d := *u.Delta
		if d.Base == u.Acceptance.Parent {
			d.Base = ""
		}
		if d.Target == u.Acceptance.Bundle {
			d.Target = ""
		}
		short.Delta = &d
	}
	return pack(short)
}

// DecodeUpdate reads the encoding of an update. It checks the form only: the
// caller verifies the acceptance and the content.
func DecodeUpdate(data []byte) (Update, error) {
	var u Update
	if err := unpackInto(data, &u); err != nil {
		return Update{}, err
	}
	if (u.Delta == nil) == (u.Full == nil) {
		return Update{}, fmt.Errorf("update holds neither or both of delta and whole content: %w", ErrContent)
	}
	if u.Delta != nil && u.Delta.Base == "" {
		u.Delta.Base = u.Acceptance.Parent
	}
	if u.Delta != nil && u.Delta.Target == "" {
		u.Delta.Target = u.Acceptance.Bundle
	}
	return u, nil
}

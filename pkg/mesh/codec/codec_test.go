package codec_test

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
)

var secret = []byte("secret")

func TestDatagramIsSealed(t *testing.T) {
	is := is.New(t)
	sealed, err := codec.SealDatagram(&codec.Datagram{Kind: mesh.KindPing, From: "n1"}, secret)
	is.NoErr(err)
	d, err := codec.OpenDatagram(sealed, secret)
	is.NoErr(err)
	is.Equal(string(d.From), "n1")
	for i := range sealed { // no byte can be changed
		forged := bytes.Clone(sealed)
		forged[i] ^= 1
		_, err := codec.OpenDatagram(forged, secret)
		is.True(errors.Is(err, codec.ErrSeal))
	}
	_, err = codec.OpenDatagram(sealed, []byte("other"))
	is.True(errors.Is(err, codec.ErrSeal))
	_, err = codec.OpenDatagram(make([]byte, mesh.MaxDatagramBytes+1), secret)
	is.True(errors.Is(err, mesh.ErrTooLarge))
}

func TestReplyCarriesErrors(t *testing.T) {
	is := is.New(t)
	for _, want := range []error{mesh.ErrBusy, mesh.ErrUnknownKind, mesh.ErrMalformed, mesh.ErrRefused} {
		data, err := codec.EncodeEnvelope(codec.Reply(&codec.Envelope{ID: 7}, nil, want))
		is.NoErr(err)
		e, err := codec.DecodeEnvelope(data)
		is.NoErr(err)
		is.Equal(e.ID, uint64(7))
		is.True(errors.Is(codec.Result(&e, nil), want))
	}
}

func FuzzEnvelope(f *testing.F) {
	good, err := codec.EncodeEnvelope(&codec.Envelope{ID: 1, Kind: mesh.KindPush})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:3])
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := codec.DecodeEnvelope(data)
		if err != nil {
			if !errors.Is(err, mesh.ErrMalformed) && !errors.Is(err, mesh.ErrTooLarge) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if _, err := codec.EncodeEnvelope(&e); err != nil {
			t.Fatalf("decoded envelope cannot be encoded: %v", err)
		}
	})
}

func FuzzDatagram(f *testing.F) {
	good, err := codec.SealDatagram(&codec.Datagram{Kind: mesh.KindPing, From: "n1"}, secret)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good[16:])
	f.Add(good[16:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		mac := hmac.New(sha256.New, secret) // a peer that knows the secret
		mac.Write(data)
		_, err := codec.OpenDatagram(append(mac.Sum(nil)[:16], data...), secret)
		for _, known := range []error{nil, mesh.ErrMalformed, mesh.ErrTooLarge, codec.ErrSeal, codec.ErrVersion} {
			if errors.Is(err, known) {
				return
			}
		}
		t.Fatalf("untyped error: %v", err)
	})
}

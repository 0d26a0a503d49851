package distributor

import (
	"testing"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

func seed(f *testing.F, message any) {
	data, err := codec.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
}

func FuzzPush(f *testing.F) {
	one := content(1)
	u := bundle.Update{Acceptance: bundle.Acceptance{Version: 1}, Full: &one}
	bytes, err := u.Encode()
	if err != nil {
		f.Fatal(err)
	}
	seed(f, pushRequest{Version: 1, Span: rollout.Span{First: "a", Last: "b"}, Update: bytes})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodePush(data)
		if err != nil {
			return
		}
		if r.Version == 0 || len(r.Update) > maxUpdateBytes || r.Span.First > r.Span.Last {
			t.Fatalf("%+v was taken", r)
		}
	})
}

func FuzzUpdate(f *testing.F) {
	one, two := content(1), content(2)
	d, err := bundle.Diff(&one, &two)
	if err != nil {
		f.Fatal(err)
	}
	for _, u := range []bundle.Update{{Full: &one}, {Delta: &d}} {
		bytes, err := u.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := bundle.DecodeUpdate(data)
		if err != nil {
			return
		}
		if (u.Delta == nil) == (u.Full == nil) {
			t.Fatal("an update without one content was taken")
		}
		if keyring.Verify(&u.Acceptance) == nil {
			t.Fatal("a forged acceptance was taken")
		}
	})
}

func FuzzPull(f *testing.F) {
	seed(f, pullRequest{Version: 3, Base: "abc"})
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodePull(data); err == nil && len(r.Base) > maxNameBytes {
			t.Fatalf("%+v was taken", r)
		}
	})
}

func FuzzReport(f *testing.F) {
	seed(f, reportRequest{Summary: rollout.Summary{Version: 1, Applied: 2, Laggards: []rollout.Laggard{{Node: "a", Reason: "behind"}}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeReport(data)
		if err != nil {
			return
		}
		if r.Summary.Applied < 0 || len(r.Summary.Laggards) > rollout.MaxLaggards {
			t.Fatalf("%+v was taken", r)
		}
	})
}

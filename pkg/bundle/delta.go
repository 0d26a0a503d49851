package bundle

import (
	"fmt"
	"reflect"
)

// Delta is the difference between two bundles.
type Delta struct {
	Base           ID        `cbor:"1,keyasint"`
	Target         ID        `cbor:"2,keyasint"`
	PutServices    []Service `cbor:"3,keyasint,omitempty"`
	PutRoutes      []Route   `cbor:"4,keyasint,omitempty"`
	DeleteServices []string  `cbor:"5,keyasint,omitempty"`
	DeleteRoutes   []string  `cbor:"6,keyasint,omitempty"`
}

// Diff returns the delta that leads from one normalized bundle to another.
func Diff(from, to *Bundle) (Delta, error) {
	base, err := from.ContentID()
	if err != nil {
		return Delta{}, err
	}
	target, err := to.ContentID()
	if err != nil {
		return Delta{}, err
	}
	d := Delta{Base: base, Target: target}
	d.PutServices, d.DeleteServices = diff(from.Services, to.Services, serviceName)
	d.PutRoutes, d.DeleteRoutes = diff(from.Routes, to.Routes, routeName)
	return d, nil
}

// Apply returns the bundle that d leads to. It returns ErrBase if b is not the
// base of the delta and ErrContent if the result is not the delta's target; b
// is never changed.
func (d *Delta) Apply(b *Bundle) (Bundle, error) {
	base, err := b.ContentID()
	if err != nil {
		return Bundle{}, err
	}
	return d.ApplyTo(base, b)
}

// ApplyTo is Apply for a bundle whose content id the caller has verified.
func (d *Delta) ApplyTo(base ID, b *Bundle) (Bundle, error) {
	if base != d.Base {
		return Bundle{}, fmt.Errorf("delta starts at %.12s, content is %.12s: %w", d.Base, base, ErrBase)
	}
	next := Bundle{
		Services: patch(b.Services, d.PutServices, d.DeleteServices, serviceName),
		Routes:   patch(b.Routes, d.PutRoutes, d.DeleteRoutes, routeName),
	}
	next.Normalize()
	id, err := next.ContentID()
	if err != nil {
		return Bundle{}, err
	}
	if id != d.Target {
		return Bundle{}, fmt.Errorf("delta leads to %.12s, not to %.12s: %w", id, d.Target, ErrContent)
	}
	return next, nil
}

// Encode returns the compressed encoding of the delta.
func (d *Delta) Encode() ([]byte, error) { return pack(d) }

// DecodeDelta reads the encoding of a delta.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := unpackInto(data, &d); err != nil {
		return Delta{}, err
	}
	return d, nil
}

func serviceName(s Service) string { return s.Name }
func routeName(r Route) string     { return r.Name }

// diff returns the elements of to that are new or changed, and the names of
// the elements of from that are gone.
func diff[T any](from, to []T, name func(T) string) (put []T, gone []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	for _, v := range to {
		was, ok := old[name(v)]
		if !ok || !reflect.DeepEqual(was, v) {
			put = append(put, v)
		}
		delete(old, name(v))
	}
	for _, v := range from {
		if _, ok := old[name(v)]; ok {
			gone = append(gone, name(v))
		}
	}
	return put, gone
}

// patch returns a copy of list with elements replaced, added and removed.
func patch[T any](list, put []T, gone []string, name func(T) string) []T {
	replaced := make(map[string]bool, len(put)+len(gone))
	for _, v := range put {
		replaced[name(v)] = true
	}
	for _, n := range gone {
		replaced[n] = true
	}
	var next []T
	for _, v := range list {
		if !replaced[name(v)] {
			next = append(next, v)
		}
	}
	return append(next, put...)
}

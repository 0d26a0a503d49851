package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// MaxRecent bounds the acceptances that a record keeps beside the newest one:
// every node holds it and gets it with each version.
const MaxRecent = 8

// Head is the record of who put the configuration in force. It lies beside the
// configuration, in the same object.
type Head struct {
	Acceptance Acceptance `json:"acceptance"`
	// Recent holds the acceptances before it, newest first.
	Recent []Acceptance `json:"recent"`
}

// DecodeHead reads a record.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if h.Acceptance.Version == 0 {
		return Head{}, fmt.Errorf("record has no version: %w", ErrMalformed)
	}
	return h, nil
}

// Find returns the acceptance that the operation led to, if the head knows it.
func (h *Head) Find(operation string) (Acceptance, bool) {
	for _, a := range h.All() {
		if a.Operation == operation {
			return a, true
		}
	}
	return Acceptance{}, false
}

// All returns every acceptance that the head knows, newest first.
func (h *Head) All() []Acceptance {
	if h.Acceptance.Version == 0 {
		return nil
	}
	return append([]Acceptance{h.Acceptance}, h.Recent...)
}

// Next returns the head that follows h with a in force.
func (h *Head) Next(a Acceptance) Head {
	recent := h.All()
	if len(recent) > MaxRecent {
		recent = recent[:MaxRecent]
	}
	return Head{Acceptance: a, Recent: recent}
}

// BundleOf returns the bundle that a version put in force, if the head lists it.
func (h *Head) BundleOf(v model.Version) (ID, bool) {
	for _, a := range h.All() {
		if a.Version == v {
			return a.Bundle, true
		}
	}
	return "", false
}

package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// MaxRecentAcceptances is the number of earlier acceptances that a head keeps besides the newest
// one. It is small because every node receives the head with each version and stores it.
const MaxRecentAcceptances = 8

// Head is the record of the acceptance that put the current configuration in force, and
// of the acceptances before it. It is stored in the same object as the configuration.
type Head struct {
	Acceptance Acceptance `json:"acceptance"`
	// Recent holds up to MaxRecentAcceptances earlier acceptances, newest first.
	Recent []Acceptance `json:"recent"`
}

// DecodeHead decodes a head from JSON. It returns ErrMalformed if the head has no
// version.
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

// Find returns the acceptance with the given operation id, if the head lists it.
func (h *Head) Find(operation string) (Acceptance, bool) {
	for _, a := range h.All() {
		if a.Operation == operation {
			return a, true
		}
	}
	return Acceptance{}, false
}

// All returns every acceptance that the head lists, newest first.
func (h *Head) All() []Acceptance {
	if h.Acceptance.Version == 0 {
		return nil
	}
	return append([]Acceptance{h.Acceptance}, h.Recent...)
}

// Next returns the head that replaces h once a is in force. It drops the oldest
// acceptance if there are more than MaxRecentAcceptances earlier ones.
func (h *Head) Next(a Acceptance) Head {
	recent := h.All()
	if len(recent) > MaxRecentAcceptances {
		recent = recent[:MaxRecentAcceptances]
	}
	return Head{Acceptance: a, Recent: recent}
}

// BundleOf returns the id of the bundle that was accepted as version v, if the head
// lists that version.
func (h *Head) BundleOf(v model.Version) (ID, bool) {
	for _, a := range h.All() {
		if a.Version == v {
			return a.Bundle, true
		}
	}
	return "", false
}

package fleet_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// A record that no node can have written is invalid, and a table does not take it.
func TestInvalidRecordsAreNotTaken(t *testing.T) {
	for name, change := range map[string]func(h *fleet.Host){
		"no name":               func(h *fleet.Host) { h.Node = "" },
		"name with a line":      func(h *fleet.Host) { h.Node = "a\nb" },
		"no address":            func(h *fleet.Host) { h.PeerAddress = "" },
		"address without port":  func(h *fleet.Host) { h.PeerAddress = "127.0.0.1" },
		"port too large":        func(h *fleet.Host) { h.PeerAddress = "127.0.0.1:70000" },
		"port 0":                func(h *fleet.Host) { h.PeerAddress = "127.0.0.1:0" },
		"incarnation too large": func(h *fleet.Host) { h.Incarnation = math.MaxInt64 },
		"incarnation below 0":   func(h *fleet.Host) { h.Incarnation = -1 },
		"change too large":      func(h *fleet.Host) { h.Change = math.MaxInt64 },
		"size too large":        func(h *fleet.Host) { h.Size = math.MaxInt },
		"size below 0":          func(h *fleet.Host) { h.Size = -1 },
		"unknown state":         func(h *fleet.Host) { h.Upstream.State = "resting" },
		"no upstream id":        func(h *fleet.Host) { h.Upstream.ID = "" },
		"id not UTF-8":          func(h *fleet.Host) { h.Upstream.ID = "\xff" },
		"id too long":           func(h *fleet.Host) { h.Upstream.ID = strings.Repeat("i", 257) },
		"start too large":       func(h *fleet.Host) { h.Upstream.Born = math.MaxInt64 },
		"sequence too large":    func(h *fleet.Host) { h.Upstream.Sequence = math.MaxInt64 },
		"slots too large":       func(h *fleet.Host) { h.Upstream.Slots = math.MaxInt },
		"warm too late":         func(h *fleet.Host) { h.Upstream.WarmAtUnixMs = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := ready("a", 5, 3)
			is.NoErr(h.Validate())
			change(&h)
			is.True(errors.Is(h.Validate(), fleet.ErrInvalidRecord))
			is.True(!fleet.NewTable().Merge(h))
		})
	}
}

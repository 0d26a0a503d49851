package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// maxUnixMs is the last millisecond of the year 9999, the largest start time and
	// incarnation.
	maxUnixMs = 253402300799999
	// maxCount is the largest count of changes or heartbeats. Larger numbers are not exact in
	// all JSON decoders.
	maxCount = 1 << 53
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 1_000_000
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 256
)

// ErrInvalidRecord is returned for a record that no node writes.
var ErrInvalidRecord = errors.New("fleet: invalid host record")

// Validate returns an error unless a node can have written the record. Records are ordered by
// their numbers, so that one that is too large could never be superseded.
func (h *Host) Validate() error {
	u := &h.Upstream
	address, err := netip.ParseAddrPort(h.PeerAddress)
	switch {
	case !IsValidName(h.Node):
		return fmt.Errorf("name %.40q: %w", h.Node, ErrInvalidRecord)
	case err != nil || address.Port() == 0:
		return fmt.Errorf("host %q has the peer address %.40q, want IP:port: %w", h.Node, h.PeerAddress, ErrInvalidRecord)
	case h.Incarnation < 0 || h.Incarnation > maxUnixMs || h.Change < 0 || h.Change > maxCount || h.Size < 0 || h.Size > maxSize:
		return fmt.Errorf("host %q has incarnation %d, change %d, size %d: %w", h.Node, h.Incarnation, h.Change, h.Size, ErrInvalidRecord)
	case u.State == StateNone:
		return nil
	case lifecycleOrder(u.State) == 0 || !IsValidName(u.ID):
		return fmt.Errorf("host %q has upstream %.40q with state %.40q: %w", h.Node, u.ID, u.State, ErrInvalidRecord)
	case u.Born < 0 || u.Born > maxUnixMs || u.WarmAtUnixMs < 0 || u.WarmAtUnixMs > maxUnixMs ||
		u.Sequence < 0 || u.Sequence > maxCount || u.Slots < 0 || u.Slots > MaxSlots:
		return fmt.Errorf("host %q has an upstream with start time %d, sequence %d, %d slots, warm at %d: %w",
			h.Node, u.Born, u.Sequence, u.Slots, u.WarmAtUnixMs, ErrInvalidRecord)
	}
	return nil
}

// IsValidName reports whether text can be the name of a node or the id of an upstream: 1 to
// 256 bytes of text without control characters, which can be sent in headers and messages.
func IsValidName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// IsValidStartTime reports whether ms can be the start time of a process, in Unix milliseconds.
func IsValidStartTime(ms int64) bool { return ms > 0 && ms <= maxUnixMs }

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
	// maxSlots is the largest number of slots of an upstream.
	maxSlots = 1_000_000
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 256
)

// ErrInvalidRecord is returned for a record that no node writes.
var ErrInvalidRecord = errors.New("fleet: invalid host record")

// Validate returns an error unless a node can have written the record. Records are ordered by
// their numbers, so that one that is too large could never be superseded.
func (h *Host) Validate() error {
	switch {
	case !IsValidName(h.Node):
		return fmt.Errorf("name %.40q: %w", h.Node, ErrInvalidRecord)
	case !isPeerAddress(h.PeerAddress):
		return fmt.Errorf("host %q has the peer address %.40q, want IP:port: %w", h.Node, h.PeerAddress, ErrInvalidRecord)
	case h.Incarnation < 0 || h.Incarnation > maxUnixMs || h.Change < 0 || h.Change > maxCount || h.Size < 0 || h.Size > maxSize:
		return fmt.Errorf("host %q has incarnation %d, change %d, size %d: %w", h.Node, h.Incarnation, h.Change, h.Size, ErrInvalidRecord)
	case h.Upstream.State == StateNone:
		return nil
	}
	if err := h.Upstream.Validate(); err != nil {
		return fmt.Errorf("host %q: %w", h.Node, err)
	}
	return nil
}

// isPeerAddress reports whether text can be the address at which a node accepts connections.
func isPeerAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// Validate returns an error unless u can be the state of an upstream that a node knows.
func (u *Upstream) Validate() error {
	switch {
	case !IsValidName(u.ID):
		return fmt.Errorf("upstream %.40q: %w", u.ID, ErrInvalidRecord)
	case lifecycleOrder(u.State) == 0:
		return fmt.Errorf("upstream %q has the state %.40q: %w", u.ID, u.State, ErrInvalidRecord)
	case u.Version != "" && !IsValidName(u.Version):
		return fmt.Errorf("upstream %q has the version %.40q: %w", u.ID, u.Version, ErrInvalidRecord)
	case u.Slots < 0 || u.Slots > maxSlots:
		return fmt.Errorf("upstream %q has %d slots, want at most %d: %w", u.ID, u.Slots, maxSlots, ErrInvalidRecord)
	case u.Born < 0 || u.Born > maxUnixMs || u.WarmAtUnixMs < 0 || u.WarmAtUnixMs > maxUnixMs || u.Sequence < 0 || u.Sequence > maxCount:
		return fmt.Errorf("upstream %q has the start time %d, sequence %d and warm time %d: %w", u.ID, u.Born, u.Sequence, u.WarmAtUnixMs, ErrInvalidRecord)
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

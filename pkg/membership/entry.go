package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid is returned for a message or record that breaks a bound.
var ErrInvalid = errors.New("membership: invalid message")

// Bounds of one record. A record that breaks one is refused whole.
const (
	maxNameBytes   = 128
	maxUpstreams   = 64
	maxSuspects    = 64
	maxUnreachable = 64
	maxClasses     = 8 // of one upstream
)

// Entry is a record on its way between nodes with the sender's belief about it.
type Entry struct {
	Record Record `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint"`
	// AgeSeconds is the time since the member failed or left.
	AgeSeconds uint32 `cbor:"3,keyasint,omitempty"`
}

// rank orders the statuses of one incarnation; the higher rank wins.
func rank(s Status) int {
	switch s {
	case StatusAlive:
		return 0
	case StatusSuspect:
		return 1
	case StatusFailed:
		return 2
	case StatusLeft:
		return 3
	}
	return -1
}

// gone reports whether a member with this status no longer takes part.
func gone(s Status) bool { return s == StatusFailed || s == StatusLeft }

// stamp is the order of what is known about one member.
type stamp struct {
	incarnation uint64
	rank        int
	revision    uint64
}

func (e *Entry) stamp() stamp {
	return stamp{e.Record.Incarnation, rank(e.Status), e.Record.Revision}
}

// adds reports whether s holds anything that other does not.
func (s stamp) adds(other stamp) bool {
	if s.incarnation != other.incarnation {
		return s.incarnation > other.incarnation
	}
	return s.rank > other.rank || s.revision > other.revision
}

// hash returns the part of a digest that one member contributes.
func (e *Entry) hash() uint64 {
	var stampBytes [17]byte
	binary.LittleEndian.PutUint64(stampBytes[:8], e.Record.Incarnation)
	binary.LittleEndian.PutUint64(stampBytes[8:16], e.Record.Revision)
	stampBytes[16] = byte(rank(e.Status))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.Record.ID))
	_, _ = d.Write(stampBytes[:])
	return d.Sum64()
}

// Validate checks the bounds of an entry. Every error is ErrInvalid.
func (e *Entry) Validate() error {
	if rank(e.Status) < 0 {
		return fmt.Errorf("status %q of %q does not travel: %w", e.Status, e.Record.ID, ErrInvalid)
	}
	return e.Record.Validate()
}

// Validate checks the bounds of a record. Every error is ErrInvalid.
func (r *Record) Validate() error {
	switch {
	case r.ID == "" || len(r.ID) > maxNameBytes:
		return fmt.Errorf("node id has %d bytes: %w", len(r.ID), ErrInvalid)
	case r.DataCentre == "" || len(r.DataCentre) > maxNameBytes:
		return fmt.Errorf("data centre of %q has %d bytes: %w", r.ID, len(r.DataCentre), ErrInvalid)
	case len(r.Region) > maxNameBytes:
		return fmt.Errorf("region of %q has %d bytes: %w", r.ID, len(r.Region), ErrInvalid)
	case len(r.Upstreams) > maxUpstreams:
		return fmt.Errorf("%q has %d upstreams: %w", r.ID, len(r.Upstreams), ErrInvalid)
	case len(r.Suspects) > maxSuspects:
		return fmt.Errorf("%q has %d suspects: %w", r.ID, len(r.Suspects), ErrInvalid)
	case len(r.Unreachable) > maxUnreachable:
		return fmt.Errorf("%q has %d unreachable data centres: %w", r.ID, len(r.Unreachable), ErrInvalid)
	}
	if err := validateAddr(r.MeshAddr); err != nil {
		return fmt.Errorf("mesh address of %q: %w", r.ID, err)
	}
	if r.InboundAddr != "" {
		if err := validateAddr(r.InboundAddr); err != nil {
			return fmt.Errorf("inbound address of %q: %w", r.ID, err)
		}
	}
	return r.validateUpstreams()
}

func (r *Record) validateUpstreams() error {
	for _, u := range r.Upstreams {
		if len(u.Name) > maxNameBytes || len(u.Service) > maxNameBytes || len(u.Address) > maxNameBytes {
			return fmt.Errorf("upstream %.32q of %q has a long name: %w", u.Name, r.ID, ErrInvalid)
		}
		if len(u.Classes) > maxClasses {
			return fmt.Errorf("upstream %q of %q has %d classes: %w", u.Name, r.ID, len(u.Classes), ErrInvalid)
		}
	}
	return nil
}

func validateAddr(addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("address %.64q: %w: %w", addr, ErrInvalid, err)
	}
	return nil
}

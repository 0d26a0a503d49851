package distributor

import (
	"errors"
	"fmt"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// errNoVersion is returned when no version is in force yet.
var errNoVersion = errors.New("rollout: no version is in force")

// smallDelta is the size in bytes below which a delta is sent without looking
// whether the whole content is smaller.
const smallDelta = 8 << 10

// encoded is an update ready to be sent.
type encoded struct {
	version model.Version
	bytes   []byte
	// base is the content that the update starts from; empty when it is whole.
	base bundle.ID
}

// updates encodes the version in force for receivers with different bases and
// keeps the encodings until the next version.
type updates struct {
	applier *applier

	mu      sync.Mutex
	version model.Version
	full    []byte
	deltas  map[bundle.ID][]byte
}

func newUpdates(a *applier) *updates { return &updates{applier: a} }

// keep stores the encoding in which the version in force arrived, so that it is
// passed on as it is.
func (c *updates) keep(u bundle.Update, bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applier.applied() != u.Acceptance.Version {
		return
	}
	c.reset(u.Acceptance.Version)
	if u.Full != nil {
		c.full = bytes
		return
	}
	c.deltas[u.Delta.Base] = bytes
}

// from returns the smallest update that leads from base to the version in force.
func (c *updates) from(base bundle.ID) (encoded, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.applier.holder.Current()
	if s == nil {
		return encoded{}, errNoVersion
	}
	c.reset(s.Version())
	delta, err := c.delta(base, s.Acceptance, &s.Bundle)
	if err != nil {
		return encoded{}, err
	}
	if delta != nil && len(delta) <= smallDelta {
		return encoded{version: s.Version(), bytes: delta, base: base}, nil
	}
	if c.full == nil {
		u := bundle.Update{Acceptance: s.Acceptance, Full: &s.Bundle}
		if c.full, err = u.Encode(); err != nil {
			return encoded{}, err
		}
	}
	if delta != nil && len(delta) <= len(c.full) {
		return encoded{version: s.Version(), bytes: delta, base: base}, nil
	}
	if len(c.full) > maxUpdateBytes {
		return encoded{}, fmt.Errorf("version %d has %d bytes, at most %d are sent", s.Version(), len(c.full), maxUpdateBytes)
	}
	return encoded{version: s.Version(), bytes: c.full}, nil
}

// delta returns the encoded delta, or nil if the base is not kept.
func (c *updates) delta(base bundle.ID, acc bundle.Acceptance, target *bundle.Bundle) ([]byte, error) {
	if bytes, ok := c.deltas[base]; ok {
		return bytes, nil
	}
	from, ok := c.applier.bases.get(base)
	if !ok {
		return nil, nil
	}
	d, err := bundle.Diff(from, target)
	if err != nil {
		return nil, err
	}
	u := bundle.Update{Acceptance: acc, Delta: &d}
	bytes, err := u.Encode()
	if err != nil {
		return nil, err
	}
	c.deltas[base] = bytes
	return bytes, nil
}

func (c *updates) reset(v model.Version) {
	if c.version == v {
		return
	}
	c.version = v
	c.full = nil
	c.deltas = make(map[bundle.ID][]byte)
}

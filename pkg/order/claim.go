package order

import (
	"encoding/base64"
	"time"
)

// MaxClaims bounds the claims that one object holds.
const MaxClaims = 8192

// Claims is the value of one object in platform.CollectionClaims: the owner of
// each opaque key of a shard. Claims are kept for at least the length of one
// epoch and at most two; an epoch ends by an update that all writers see.
type Claims struct {
	Operation string `json:"operation"`
	// Owners are referred to by their place in the list.
	Owners []Owner `json:"owners"`
	// Since is the start of the newest epoch.
	Since    Birth          `json:"since"`
	Newest   map[string]int `json:"newest"`
	Previous map[string]int `json:"previous"`
}

// claimText returns the form of an id in the object.
func claimText(id ID) string { return base64.RawURLEncoding.EncodeToString(id[:]) }

// Owner returns the owner that claimed the key.
func (c Claims) Owner(id ID) (o Owner, ok bool) {
	text := claimText(id)
	i, ok := c.Newest[text]
	if !ok {
		i, ok = c.Previous[text]
	}
	if !ok || i < 0 || i >= len(c.Owners) {
		return Owner{}, ok
	}
	return c.Owners[i], true
}

// Add returns c with the keys that nobody has claimed yet claimed by owner, and
// the ids that no longer fit. changed is false if nothing has to be written.
func (c Claims) Add(now Birth, epoch time.Duration, owner Owner, ids []ID) (next Claims, full map[ID]bool, changed bool) {
	next = c.rotate(now, epoch)
	place := next.place(owner)
	full = make(map[ID]bool)
	for _, id := range ids {
		if _, ok := next.Owner(id); ok {
			continue
		}
		if len(next.Newest)+len(next.Previous) >= MaxClaims {
			full[id] = true
			continue
		}
		next.Newest[claimText(id)] = place
		changed = true
	}
	return next, full, changed
}

// rotate returns a copy of c; it starts a new epoch if the newest one is over.
func (c Claims) rotate(now Birth, epoch time.Duration) Claims {
	next := Claims{Since: c.Since, Owners: append([]Owner(nil), c.Owners...), Newest: make(map[string]int), Previous: c.Previous}
	if now.Sub(c.Since) >= epoch {
		next.Since = now
		next.Previous = c.Newest
		next.compact()
		return next
	}
	for text, i := range c.Newest {
		next.Newest[text] = i
	}
	return next
}

// compact forgets owners without a claim.
func (c *Claims) compact() {
	old := c.Owners
	c.Owners = nil
	places := make(map[int]int)
	previous := make(map[string]int, len(c.Previous))
	for text, i := range c.Previous {
		if i < 0 || i >= len(old) {
			continue
		}
		if _, ok := places[i]; !ok {
			places[i] = len(c.Owners)
			c.Owners = append(c.Owners, old[i])
		}
		previous[text] = places[i]
	}
	c.Previous = previous
}

// place returns the place of an owner in the list and adds it if needed.
func (c *Claims) place(o Owner) int {
	for i, known := range c.Owners {
		if known == o {
			return i
		}
	}
	c.Owners = append(c.Owners, o)
	return len(c.Owners) - 1
}

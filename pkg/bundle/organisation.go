package bundle

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// Limits of an organisation.
const (
	maxPriority = 100
	maxRatePerS = 1_000_000 // requests a second
	// hashDigits is the number of digits of a hash that a change shows.
	hashDigits = 8
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Organisation is a customer whose callers identify themselves with keys. A bundle has the hashes of
// the keys only, so that neither its files nor the store has a key.
type Organisation struct {
	Name      string    `json:"name" cbor:"1,keyasint" help:"unique name, like that of a service; upstreams get it with each request; required"`
	KeyHashes KeyHashes `json:"keyHashes" cbor:"2,keyasint" help:"SHA-256 of a key as 64 lower-case hexadecimal digits, as sha256sum prints it; never the key itself; no two organisations have the same key"`
	Priority  *int      `json:"priority" cbor:"3,keyasint" help:"priority of the requests, 0 (the most urgent) to 100; the classes of routes have 0 to 3; without it that of the route"`
	RatePerS  int       `json:"limitPerS" cbor:"4,keyasint" help:"requests a second over all nodes together, up to 1000000; without it or with 0 there is no limit"`
	Burst     int       `json:"burst" cbor:"5,keyasint" help:"requests beyond the rate, up to 1000000"`
}

// KeyHashes are the hashes of the keys of an organisation, sorted.
type KeyHashes []string

// String returns the number of the hashes and their first digits.
func (k KeyHashes) String() string {
	var text []string
	for _, h := range k {
		text = append(text, h[:min(len(h), hashDigits)])
	}
	return fmt.Sprintf("%d keys %v", len(k), text)
}

// compile compiles one organisation, which must be valid.
func (o *Organisation) compile() meshconf.Organisation {
	c := meshconf.Organisation{Name: o.Name, Priority: o.Priority, RatePerS: float64(o.RatePerS), Burst: float64(o.Burst)}
	for _, text := range o.KeyHashes {
		if h, err := meshconf.ParseKeyHash(text); err == nil { // Validate rejects any other text
			c.KeyHashes = append(c.KeyHashes, h)
		}
	}
	return c
}

// checkOrganisations checks all organisations. Messages never contain what stands in the place of a
// hash: it may be a key by mistake.
func (v *validator) checkOrganisations(b *Bundle) {
	empty := meshconf.HashKey("").String()
	owners := make(map[string]string) // organisations by the hashes of their keys
	for i := range b.Organisations {
		o := &b.Organisations[i]
		key := KeyOrganisations + "/" + o.Name
		v.checkName(key, o.Name)
		if i > 0 && b.Organisations[i-1].Name == o.Name {
			v.addFault(key+".name", "organisation %q is defined twice", o.Name)
		}
		for j, h := range o.KeyHashes {
			hashKey := fmt.Sprintf("%s.keyHashes[%d]", key, j)
			owner, taken := owners[h]
			switch {
			case !hashPattern.MatchString(h):
				v.addFault(hashKey, "hash of a key must be 64 lower-case hexadecimal digits")
			case h == empty:
				v.addFault(hashKey, "hash is that of an empty key")
			case taken && owner == o.Name:
				v.addFault(hashKey, "hash is given twice")
			case taken:
				v.addFault(hashKey, "key belongs to organisation %q as well", owner)
			default:
				owners[h] = o.Name
			}
		}
		if o.Priority != nil {
			v.checkRange(key+".priority", *o.Priority, 0, maxPriority)
		}
		v.checkRange(key+".limitPerS", o.RatePerS, 0, maxRatePerS)
		v.checkRange(key+".burst", o.Burst, 0, maxRatePerS)
	}
}

// SortOrder returns the positions of the hashes in the order in which Normalize puts them.
func (k KeyHashes) SortOrder() []int {
	order := make([]int, len(k))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(k[a], k[b]) })
	return order
}

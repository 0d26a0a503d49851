// Package meshconf compiles versions of the mesh configuration into immutable snapshots and
// publishes the current one to the request path.
package meshconf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

// ErrInvalid is returned for a configuration that cannot be put in force. The one in force
// stays.
var ErrInvalid = errors.New("meshconf: configuration is invalid")

// Part is one service of a route and the weight of its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Route describes the handling of requests with a given host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Parts has one entry for a plain route and several for a split route.
	Parts []Part
	// Idempotent requests may run more than once.
	Idempotent bool
	// LargeAnswers marks a route whose answers may occupy a link for a while.
	LargeAnswers bool `json:",omitempty"` // keeps the digests of routes without it
	// MaxAttempts bounds the upstreams that may receive one request.
	MaxAttempts int
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full value for the caller.
	Target time.Duration
	// Priority is the rank of the requests. 0 is the most urgent.
	Priority int
	// Public requests need no key.
	Public bool `json:",omitempty"` // keeps the digests of routes without it
}

// RouteKind is the kind of a route in the document that it was decoded from.
type RouteKind struct {
	Route string
	Kind  string
}

// Service is a service that routes refer to. Nodes use only its name.
type Service struct {
	Name string
	// The remaining fields are used by other programs and are not part of the digest.
	HealthPath     string `json:"-"`
	MaxConnections int    `json:"-"`
}

// Limits bound the size and the duration of requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one decoded version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations may send requests to routes that are not public. If there are none, requests
	// need no key.
	Organisations []Organisation `json:",omitempty"`
	// UnknownKinds lists the routes whose kind the decoder does not know.
	UnknownKinds []RouteKind `json:",omitempty"`
}

// Digest returns a SHA-256 hash of the configuration. It does not depend on the order of
// routes, services and parts. It hashes the JSON encoding under the Go field names, so
// renaming a field changes the digest.
func (c *Config) Digest() (string, error) {
	sorted := *c
	sorted.Services = slices.SortedFunc(slices.Values(c.Services), func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	sorted.Organisations = sortOrganisations(c.Organisations)
	sorted.Routes = slices.SortedFunc(slices.Values(c.Routes), func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
	for i := range sorted.Routes {
		r := &sorted.Routes[i]
		r.Parts = slices.SortedFunc(slices.Values(r.Parts), func(x, y Part) int { return cmp.Compare(x.Service, y.Service) })
	}
	raw, err := json.Marshal(sorted)
	if err != nil {
		return "", fmt.Errorf("encode configuration: %w", err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}

// hash returns the first 64 bits of the digest without UnknownKinds, which have no fixed order.
func (c *Config) hash() (uint64, error) {
	known := *c
	known.UnknownKinds = nil
	digest, err := known.Digest()
	if err != nil {
		return 0, err
	}
	h, err := strconv.ParseUint(digest[:16], 16, 64)
	if err != nil {
		return 0, fmt.Errorf("digest %q: %w", digest, err)
	}
	return h, nil
}

// Snapshot is a compiled, immutable configuration. A request uses the snapshot that it
// started with until it ends.
type Snapshot struct {
	Config
	// Revision is the revision at which the store had the configuration when it was read.
	Revision model.Revision
	// Raw is the document that the snapshot was decoded from. Peers receive it unchanged.
	Raw []byte
	// Compressed returns Raw as it is sent to peers.
	Compressed func() []byte
	// Record is the record of who accepted the configuration. It may be empty.
	Record []byte
	// Content returns a hash of the configuration, the first 64 bits of a digest. It fails if the
	// configuration cannot be encoded.
	Content func() (uint64, error)
	// AppliedAt is the time since the machine was booted just before the snapshot was put in force.
	AppliedAt time.Duration
	services  map[string]*Service
	hosts     map[string][]*Route
	keys      map[KeyHash]*Organisation
}

// Compile validates a configuration and builds its snapshot. It returns an error that wraps
// ErrInvalid if the configuration is not valid.
func Compile(c Config, revision model.Revision, raw []byte) (*Snapshot, error) {
	keys, err := indexKeys(c.Organisations)
	if err != nil {
		return nil, err
	}
	compressed := sync.OnceValue(func() []byte { return pack.Compress(raw) })
	s := &Snapshot{Config: c, Revision: revision, Raw: raw, Compressed: compressed, services: make(map[string]*Service), hosts: make(map[string][]*Route), keys: keys}
	s.Content = sync.OnceValues(s.hash)
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		if err := s.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, routes := range s.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return s, nil
}

// check validates one route.
func (s *Snapshot) check(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host: %w", r.Name, ErrInvalid)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q of route %q does not begin and end with a slash: %w", r.PathPrefix, r.Name, ErrInvalid)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts: %w", r.Name, r.MaxAttempts, ErrInvalid)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q has a timeout of %s: %w", r.Name, r.Timeout, ErrInvalid)
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := s.services[p.Service]; !ok {
			return fmt.Errorf("route %q points at service %q, which does not exist: %w", r.Name, p.Service, ErrInvalid)
		}
		if p.Weight < 0 {
			return fmt.Errorf("route %q gives service %q the weight %d: %w", r.Name, p.Service, p.Weight, ErrInvalid)
		}
		total += p.Weight
	}
	if total == 0 {
		return fmt.Errorf("route %q has no weight: %w", r.Name, ErrInvalid)
	}
	return nil
}

// Match returns the route with the longest matching path prefix for a host, which may
// include a port.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := s.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = s.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Holder holds the snapshot in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts s in force if its version is newer than the current one, and reports whether
// it did.
func (h *Holder) Publish(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}

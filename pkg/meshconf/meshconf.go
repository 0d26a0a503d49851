// Package meshconf holds a version of the mesh configuration in its compiled,
// immutable form and the one pointer through which requests reach it.
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
	"strings"
	"sync/atomic"
	"time"
)

// ErrInvalid is returned for a configuration that cannot be put in force; the
// one in force stays.
var ErrInvalid = errors.New("meshconf: configuration is invalid")

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Parts has one entry for a plain route and several for a split one.
	Parts []Part
	// Idempotent requests may run more than once.
	Idempotent bool
	// LargeAnswers tells that answers may fill a link for a while.
	LargeAnswers bool `json:",omitempty"` // digests of routes without it stay
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is of full use to the caller.
	Target time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
}

// RouteKind is a route's kind in the document that it was decoded from.
type RouteKind struct {
	Route string
	Kind  string
}

// Service is one service that routes point at. The nodes use its name only.
type Service struct {
	Name string
	// What only others use does not count in the digest.
	HealthPath     string `json:"-"`
	MaxConnections int    `json:"-"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration as it was decoded.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// UnknownKinds are the routes whose kind the decoder does not know.
	UnknownKinds []RouteKind `json:",omitempty"`
}

// Digest returns a hash of the whole configuration, which does not depend on the
// order of its routes, services and parts.
func (c *Config) Digest() (string, error) {
	sorted := *c
	sorted.Services = slices.SortedFunc(slices.Values(c.Services), func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
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

// Snapshot is a compiled configuration. It never changes; a request uses the
// one that it began with until it ends.
type Snapshot struct {
	Config
	// Revision is the store's revision of the configuration.
	Revision uint64
	// Raw is the document that the snapshot was decoded from, for peers.
	Raw []byte
	// Record says who accepted the configuration; it may be empty.
	Record   []byte
	services map[string]*Service
	hosts    map[string][]*Route
}

// Compile checks a configuration and builds its snapshot.
func Compile(c Config, revision uint64, raw []byte) (*Snapshot, error) {
	s := &Snapshot{Config: c, Revision: revision, Raw: raw, services: make(map[string]*Service), hosts: make(map[string][]*Route)}
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

// Match returns the route of a request: of the routes of its host the one with
// the longest prefix.
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

// Service returns the named service.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Holder publishes the snapshot in force.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts s in force if its version is newer than the current one and
// reports whether it did. It is safe for concurrent use.
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

package snapshot

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// ErrCompile is returned when a bundle cannot be compiled; nothing is applied.
var ErrCompile = errors.New("snapshot: bundle does not compile")

// routeIndex finds the route of a request: by host, then longest path prefix.
type routeIndex struct {
	hosts map[string][]compiledRoute
}

type compiledRoute struct {
	route   *bundle.Route
	methods map[string]bool
}

// Compile builds the snapshot of an accepted bundle. It fails, without any
// effect, if a route points at a service that the bundle does not have.
func Compile(acc bundle.Acceptance, b bundle.Bundle) (*Snapshot, error) {
	s := &Snapshot{
		Acceptance: acc,
		Bundle:     b,
		services:   make(map[string]*bundle.Service, len(b.Services)),
	}
	for i := range s.Bundle.Services {
		svc := &s.Bundle.Services[i]
		if _, ok := s.services[svc.Name]; ok {
			return nil, fmt.Errorf("service %q is defined twice: %w", svc.Name, ErrCompile)
		}
		s.services[svc.Name] = svc
	}
	for i := range s.Bundle.Routes {
		r := &s.Bundle.Routes[i]
		if _, ok := s.services[r.Service]; !ok {
			return nil, fmt.Errorf("route %q points at service %q, which does not exist: %w", r.Name, r.Service, ErrCompile)
		}
		if !r.Class.Valid() {
			return nil, fmt.Errorf("route %q has unknown class %q: %w", r.Name, r.Class, ErrCompile)
		}
		s.outbound.add(r)
		if !r.Internal {
			s.inbound.add(r)
		}
	}
	s.inbound.sort()
	s.outbound.sort()
	return s, nil
}

// Match returns the route of a request from a caller outside the mesh.
func (s *Snapshot) Match(method, host, path string) (*bundle.Route, bool) {
	return s.inbound.match(method, host, path)
}

// MatchOutbound returns the route of a request from an upstream of the mesh.
func (s *Snapshot) MatchOutbound(method, host, path string) (*bundle.Route, bool) {
	return s.outbound.match(method, host, path)
}

func (x *routeIndex) add(r *bundle.Route) {
	if x.hosts == nil {
		x.hosts = make(map[string][]compiledRoute)
	}
	c := compiledRoute{route: r}
	if len(r.Methods) > 0 {
		c.methods = make(map[string]bool, len(r.Methods))
		for _, m := range r.Methods {
			c.methods[m] = true
		}
	}
	x.hosts[r.Host] = append(x.hosts[r.Host], c)
}

// sort puts longer prefixes first, and among equal prefixes the routes that
// name their methods.
func (x *routeIndex) sort() {
	for _, routes := range x.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			a, b := routes[i], routes[j]
			if len(a.route.PathPrefix) != len(b.route.PathPrefix) {
				return len(a.route.PathPrefix) > len(b.route.PathPrefix)
			}
			return len(a.methods) > 0 && len(b.methods) == 0
		})
	}
}

func (x *routeIndex) match(method, host, path string) (*bundle.Route, bool) {
	if r, ok := matchIn(x.hosts[host], method, path); ok {
		return r, true
	}
	if host == "" {
		return nil, false
	}
	return matchIn(x.hosts[""], method, path)
}

func matchIn(routes []compiledRoute, method, path string) (*bundle.Route, bool) {
	for _, c := range routes {
		if c.methods != nil && !c.methods[method] {
			continue
		}
		if hasSegmentPrefix(path, c.route.PathPrefix) {
			return c.route, true
		}
	}
	return nil, false
}

// hasSegmentPrefix reports whether prefix covers whole segments of path.
func hasSegmentPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if len(path) == len(prefix) || strings.HasSuffix(prefix, "/") {
		return true
	}
	return path[len(prefix)] == '/'
}

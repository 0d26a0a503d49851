// Package kernel starts, stops and looks up the services of one process.
//
// A service is a module with a dotted name that declares the names of the services it
// depends on. The kernel starts each service after its dependencies and stops the services
// in reverse order, all of them within one deadline.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Errors that the kernel returns, wrapped with the name of the service.
var (
	ErrDuplicate = errors.New("a service with this name is already registered")
	ErrMissing   = errors.New("service is not registered")
	ErrCycle     = errors.New("services depend on each other in a cycle")
	ErrWrongType = errors.New("service does not have the requested type")
)

// Service is one module of the process.
type Service interface {
	// Name returns the dotted name under which others look the service up.
	Name() string
	// Needs returns the names of the services that must be started before this one.
	Needs() []string
	// Start makes the service ready for use and returns within a bounded time. It may start
	// background work that runs until Stop is called.
	Start(ctx context.Context, k *Kernel) error
	// Stop shuts the service down gracefully. It returns once all background work has
	// ended or ctx is done.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
	started  []Service // in the order in which they were started
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds services. It returns ErrDuplicate if a name is already registered; the
// services before that one stay registered.
func (k *Kernel) Register(services ...Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range services {
		if _, ok := k.services[s.Name()]; ok {
			return fmt.Errorf("register %q: %w", s.Name(), ErrDuplicate)
		}
		k.services[s.Name()] = s
	}
	return nil
}

// Lookup returns the service registered under name as a T, which is usually a small
// interface that the calling package defines.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("look up %q: %w", name, ErrMissing)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("look up %q as %T: %w", name, &zero, ErrWrongType)
	}
	return t, nil
}

// Start starts every service after its dependencies. If one fails to start, Start stops
// those already started, within stopTimeout, and returns the error.
func (k *Kernel) Start(ctx context.Context, stopTimeout time.Duration) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			stopErr := k.Stop(stopTimeout)
			return errors.Join(fmt.Errorf("start %q: %w", s.Name(), err), stopErr)
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops the started services in reverse order. The timeout applies to all of them
// together. An error of one service doesn't keep the others from being stopped.
func (k *Kernel) Stop(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %q: %w", s.Name(), err))
		}
	}
	k.started = nil
	return errors.Join(errs...)
}

// startOrder returns the services sorted so that each follows its dependencies. Services
// that don't depend on each other are visited by name, so that the order is deterministic.
func (k *Kernel) startOrder() ([]Service, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	sort.Strings(names)
	s := sorter{services: k.services, state: make(map[string]visitState)}
	for _, name := range names {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// visitState is the progress of the depth-first search at one service.
type visitState int

const (
	visitNew    visitState = iota
	visitActive            // the dependencies are being visited; meeting it again is a cycle
	visitDone              // the service is in the order
)

// sorter sorts services topologically by depth-first search.
type sorter struct {
	services map[string]Service
	state    map[string]visitState
	order    []Service
}

// visit appends the named service to the order, after its dependencies. neededBy is the
// service that depends on it, for the error message.
func (s *sorter) visit(name, neededBy string) error {
	service, ok := s.services[name]
	if !ok {
		return fmt.Errorf("%q depends on %q: %w", neededBy, name, ErrMissing)
	}
	switch s.state[name] {
	case visitDone:
		return nil
	case visitActive:
		return fmt.Errorf("%q: %w", name, ErrCycle)
	}
	s.state[name] = visitActive
	for _, dependency := range service.Needs() {
		if err := s.visit(dependency, name); err != nil {
			return err
		}
	}
	s.state[name] = visitDone
	s.order = append(s.order, service)
	return nil
}

// Package kernel starts, stops and looks up the services of one process.
//
// A service is a module with a dotted name. It declares the names that it
// needs; the kernel starts services after their needs and stops them in the
// reverse order, each within a deadline.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Errors that the kernel reports. They are wrapped with the service's name.
var (
	ErrDuplicate = errors.New("service is registered twice")
	ErrMissing   = errors.New("service is not registered")
	ErrCycle     = errors.New("services need each other in a cycle")
	ErrType      = errors.New("service has another type")
)

// Service is one module of the process.
type Service interface {
	// Name returns the dotted name under which others look the service up.
	Name() string
	// Needs returns the names of services that must run before this one.
	Needs() []string
	// Start makes the service ready and returns within a bounded time. Background
	// work that it begins ends when Stop is called.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service gracefully. It returns once all background work has
	// ended or ctx is done.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]Service
	started  []Service
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds services. It returns ErrDuplicate if a name is taken.
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

// Lookup returns the service registered under name as a T, which is usually a
// small interface owned by the caller.
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
		return zero, fmt.Errorf("look up %q as %T: %w", name, &zero, ErrType)
	}
	return t, nil
}

// Start starts every service after the ones it needs. When one fails, those
// already started are stopped again and the error is returned.
func (k *Kernel) Start(ctx context.Context, stopTimeout time.Duration) error {
	order, err := k.order()
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

// Stop stops the started services in reverse order, all within the given timeout. All
// are stopped even if some report an error.
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

// order returns the services sorted so that each follows its needs; services
// that do not depend on each other are sorted by name.
func (k *Kernel) order() ([]Service, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	sort.Strings(names)
	v := visitor{services: k.services, state: make(map[string]visitState)}
	for _, name := range names {
		if err := v.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return v.order, nil
}

type visitState int

const (
	visitNew visitState = iota
	visitActive
	visitDone
)

// visitor sorts services topologically by depth-first search.
type visitor struct {
	services map[string]Service
	state    map[string]visitState
	order    []Service
}

func (v *visitor) visit(name, neededBy string) error {
	s, ok := v.services[name]
	if !ok {
		return fmt.Errorf("%q needs %q: %w", neededBy, name, ErrMissing)
	}
	switch v.state[name] {
	case visitDone:
		return nil
	case visitActive:
		return fmt.Errorf("%q: %w", name, ErrCycle)
	}
	v.state[name] = visitActive
	for _, need := range s.Needs() {
		if err := v.visit(need, name); err != nil {
			return err
		}
	}
	v.state[name] = visitDone
	v.order = append(v.order, s)
	return nil
}

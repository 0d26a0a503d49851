package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/kernel"
)

// fakeService records its starts and stops in calls.
type fakeService struct {
	name     string
	needs    []string
	startErr error
	calls    *[]string
}

func (f *fakeService) Name() string    { return f.name }
func (f *fakeService) Needs() []string { return f.needs }

func (f *fakeService) Start(context.Context, *kernel.Kernel) error {
	*f.calls = append(*f.calls, "start "+f.name)
	return f.startErr
}

func (f *fakeService) Stop(context.Context) error {
	*f.calls = append(*f.calls, "stop "+f.name)
	return nil
}

func TestStartOrderAndReverseStop(t *testing.T) {
	is := is.New(t)
	var calls []string
	k := kernel.New()
	is.NoErr(k.Register(
		&fakeService{name: "a", needs: []string{"c"}, calls: &calls},
		&fakeService{name: "b", calls: &calls},
		&fakeService{name: "c", needs: []string{"b"}, calls: &calls},
	))
	is.NoErr(k.Start(t.Context(), time.Second))
	is.NoErr(k.Stop(time.Second))
	is.Equal(calls, []string{"start b", "start c", "start a", "stop a", "stop c", "stop b"})
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	is := is.New(t)
	var calls []string
	errStart := errors.New("port is taken")
	k := kernel.New()
	is.NoErr(k.Register(
		&fakeService{name: "a", calls: &calls},
		&fakeService{name: "b", needs: []string{"a"}, startErr: errStart, calls: &calls},
	))
	err := k.Start(t.Context(), time.Second)
	is.True(errors.Is(err, errStart))
	is.Equal(calls, []string{"start a", "start b", "stop a"})
}

func TestRegistrationErrors(t *testing.T) {
	var calls []string
	tests := []struct {
		name     string
		services []kernel.Service
		want     error
	}{
		{"duplicate", []kernel.Service{&fakeService{name: "a"}, &fakeService{name: "a"}}, kernel.ErrDuplicate},
		{"missing", []kernel.Service{&fakeService{name: "a", needs: []string{"b"}}}, kernel.ErrMissing},
		{"cycle", []kernel.Service{
			&fakeService{name: "a", needs: []string{"b"}},
			&fakeService{name: "b", needs: []string{"a"}},
		}, kernel.ErrCycle},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := kernel.New()
			err := k.Register(tt.services...)
			if err == nil {
				err = k.Start(t.Context(), time.Second)
			}
			is.True(errors.Is(err, tt.want))
			is.Equal(len(calls), 0)
		})
	}
}

func TestLookupChecksType(t *testing.T) {
	is := is.New(t)
	var calls []string
	k := kernel.New()
	is.NoErr(k.Register(&fakeService{name: "a", calls: &calls}))
	_, err := kernel.Lookup[interface{ Missing() }](k, "a")
	is.True(errors.Is(err, kernel.ErrWrongType))
	_, err = kernel.Lookup[kernel.Service](k, "b")
	is.True(errors.Is(err, kernel.ErrMissing))
}

// The stop timeout applies to all services together, so the duration of Stop doesn't grow
// with the number of services that block.
func TestStopTimeoutIsShared(t *testing.T) {
	is := is.New(t)
	k := kernel.New()
	for i := range 8 {
		is.NoErr(k.Register(&blockingService{name: fmt.Sprint("stuck-", i)}))
	}
	is.NoErr(k.Start(context.Background(), time.Second))
	start := time.Now()
	is.True(k.Stop(100*time.Millisecond) != nil)
	is.True(time.Since(start) < 400*time.Millisecond)
}

// blockingService is a service whose Stop blocks until its context is done.
type blockingService struct{ name string }

func (s *blockingService) Name() string                                { return s.name }
func (s *blockingService) Needs() []string                             { return nil }
func (s *blockingService) Start(context.Context, *kernel.Kernel) error { return nil }
func (s *blockingService) Stop(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

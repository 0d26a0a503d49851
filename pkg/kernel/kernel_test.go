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

type fakeService struct {
	name     string
	needs    []string
	startErr error
	journal  *[]string
}

func (f *fakeService) Name() string    { return f.name }
func (f *fakeService) Needs() []string { return f.needs }

func (f *fakeService) Start(context.Context, *kernel.Kernel) error {
	*f.journal = append(*f.journal, "start "+f.name)
	return f.startErr
}

func (f *fakeService) Stop(context.Context) error {
	*f.journal = append(*f.journal, "stop "+f.name)
	return nil
}

func TestStartFollowsNeedsAndStopReverses(t *testing.T) {
	is := is.New(t)
	var journal []string
	k := kernel.New()
	is.NoErr(k.Register(
		&fakeService{name: "a", needs: []string{"c"}, journal: &journal},
		&fakeService{name: "b", journal: &journal},
		&fakeService{name: "c", needs: []string{"b"}, journal: &journal},
	))
	is.NoErr(k.Start(t.Context(), time.Second))
	is.NoErr(k.Stop(time.Second))
	is.Equal(journal, []string{"start b", "start c", "start a", "stop a", "stop c", "stop b"})
}

func TestFailedStartStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	var journal []string
	broken := errors.New("port is taken")
	k := kernel.New()
	is.NoErr(k.Register(
		&fakeService{name: "a", journal: &journal},
		&fakeService{name: "b", needs: []string{"a"}, startErr: broken, journal: &journal},
	))
	err := k.Start(t.Context(), time.Second)
	is.True(errors.Is(err, broken))
	is.Equal(journal, []string{"start a", "start b", "stop a"})
}

func TestRegistrationErrors(t *testing.T) {
	var journal []string
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
			is.Equal(len(journal), 0)
		})
	}
}

func TestLookupChecksTheType(t *testing.T) {
	is := is.New(t)
	var journal []string
	k := kernel.New()
	is.NoErr(k.Register(&fakeService{name: "a", journal: &journal}))
	_, err := kernel.Lookup[interface{ Missing() }](k, "a")
	is.True(errors.Is(err, kernel.ErrType))
	_, err = kernel.Lookup[kernel.Service](k, "b")
	is.True(errors.Is(err, kernel.ErrMissing))
}

// Services that do not stop in time share one bound, however many they are.
func TestStopOfAllIsBounded(t *testing.T) {
	is := is.New(t)
	k := kernel.New()
	for i := range 8 {
		is.NoErr(k.Register(&stuck{name: fmt.Sprint("stuck-", i)}))
	}
	is.NoErr(k.Start(context.Background(), time.Second))
	start := time.Now()
	is.True(k.Stop(100*time.Millisecond) != nil)
	is.True(time.Since(start) < 400*time.Millisecond)
}

// stuck is a service that stops only when it has to.
type stuck struct{ name string }

func (s *stuck) Name() string                                { return s.name }
func (s *stuck) Needs() []string                             { return nil }
func (s *stuck) Start(context.Context, *kernel.Kernel) error { return nil }
func (s *stuck) Stop(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

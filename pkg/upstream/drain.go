package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

const (
	defaultDrainTimeout = 30 * time.Second
	// defaultNotice is how long peers may take to hear of a leaving upstream.
	defaultNotice = time.Second
)

// leave starts the drain of an upstream.
func (s *Service) leave(i *Instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state == model.UpstreamRunning {
		i.refuseFrom = time.Now().Add(Notice(s.settings.Drain))
	}
	return fire(i.machine, triggerLeave)
}

// Notice returns how long peers may take to hear of a planned stop.
func Notice(d settings.Drain) time.Duration {
	if n := d.Notice.Std(); n > 0 {
		return n
	}
	return defaultNotice
}

// DrainTimeout returns the longest wait for calls in flight.
func (s *Service) DrainTimeout() time.Duration {
	if t := s.settings.Drain.Timeout.Std(); t > 0 {
		return t
	}
	return defaultDrainTimeout
}

// Drain stops an upstream gracefully. It tells the peers at once, takes calls
// that are on their way for the notice, and returns when none is in flight.
func (s *Service) Drain(ctx context.Context, name string) error {
	s.mu.RLock()
	i, ok := s.instances[name]
	s.mu.RUnlock()
	if !ok {
		return fmt.Errorf("drain %q: %w", name, ErrUnknown)
	}
	return s.drain(ctx, i)
}

// DrainAll drains every upstream of this host at the same time.
func (s *Service) DrainAll(ctx context.Context) error {
	s.mu.RLock()
	instances := s.all()
	s.mu.RUnlock()
	errs := make([]error, len(instances))
	var wg sync.WaitGroup
	for n, i := range instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[n] = s.drain(ctx, i)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s *Service) drain(ctx context.Context, i *Instance) error {
	ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout())
	defer cancel()
	if err := s.leave(i); err != nil {
		return err
	}
	s.publish()
	if i.snapshot().State != model.UpstreamLeaving {
		return nil
	}
	err := s.awaitIdle(ctx, i)
	if fireErr := s.fire(i, triggerIdle); fireErr != nil {
		err = errors.Join(err, fireErr)
	}
	s.publish()
	return err
}

// awaitIdle waits for the notice and then for the calls in flight.
func (s *Service) awaitIdle(ctx context.Context, i *Instance) error {
	notice := time.NewTimer(Notice(s.settings.Drain))
	defer notice.Stop()
	select {
	case <-notice.C:
		select {
		case <-i.whenIdle():
			return nil
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	i.flush(reason.UpstreamLeaving)
	i.mu.Lock()
	left := i.inFlight
	i.mu.Unlock()
	if left == 0 {
		return nil
	}
	s.log.Emit(event.DrainTimedOut, event.F("upstream", i.Name()), event.F("inFlight", left))
	return fmt.Errorf("drain %q: %d calls: %w", i.Name(), left, ErrInFlight)
}

package distributor

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// Status returns what this node knows. It never waits for the platform.
func (s *Service) Status() rollout.Status {
	status := rollout.Status{
		History:    s.pastAcceptances(),
		Confirmed:  s.lastConfirmed(),
		PlatformUp: s.running() && s.platformUp(),
		Refused:    s.applier.lastRefusal(),
	}
	if acc := s.applier.acceptance(); acc != nil {
		status.Acceptance = *acc
	}
	if p, ok := s.reporter.progress(); ok {
		status.Progress = []rollout.Progress{p}
	}
	return status
}

// Progress asks the leads of every data centre for its roll-out. Data centres
// that do not answer are missing from the result. It needs no platform.
func (s *Service) Progress(ctx context.Context) []rollout.Progress {
	if !s.running() {
		return nil
	}
	g := s.group()
	var mu sync.Mutex
	var result []rollout.Progress
	var calls sync.WaitGroup
	for dc, leads := range g.leads {
		calls.Go(func() {
			p, ok := s.progressOf(ctx, g, dc, leads)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result = append(result, p)
		})
	}
	calls.Wait()
	slices.SortFunc(result, func(a, b rollout.Progress) int {
		return cmp.Compare(a.DataCentre, b.DataCentre)
	})
	return result
}

func (s *Service) progressOf(ctx context.Context, g *group, dc model.DataCentre, leads []model.NodeID) (rollout.Progress, bool) {
	for _, id := range leads {
		if id == g.self {
			if p, ok := s.reporter.progress(); ok {
				return p, true
			}
			continue
		}
		var reply progressReply
		callCtx, cancel := context.WithTimeout(ctx, s.tuning.PushTimeout)
		err := s.options.Transport.Call(callCtx, g.peers[id], mesh.KindProgress, progressRequest{}, &reply)
		cancel()
		if err == nil && reply.Progress.DataCentre == dc {
			return reply.Progress, true
		}
	}
	return rollout.Progress{}, false
}

// errNoProgress: the node does not sum up its data centre.
var errNoProgress = errors.New("rollout: this node does not sum up its data centre")

func (s *Service) handleProgress(_ context.Context, _ mesh.Peer, _ []byte) (any, error) {
	if !s.running() {
		return nil, errNotStarted
	}
	p, ok := s.reporter.progress()
	if !ok {
		return nil, errNoProgress
	}
	return progressReply{Progress: p}, nil
}

func (s *Service) pastAcceptances() []bundle.Acceptance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// rememberVerified adds acceptances from a peer whose signatures hold.
func (s *Service) rememberVerified(accs []bundle.Acceptance) {
	var good []bundle.Acceptance
	for i := range accs {
		if s.options.Keyring.Verify(&accs[i]) == nil {
			good = append(good, accs[i])
		}
	}
	s.remember(good...)
}

// mergeHistory returns both lists without repetition, newest first, bounded.
func mergeHistory(a, b []bundle.Acceptance) []bundle.Acceptance {
	all := append(slices.Clone(a), b...)
	slices.SortStableFunc(all, func(x, y bundle.Acceptance) int { return cmp.Compare(y.Version, x.Version) })
	all = slices.CompactFunc(all, func(x, y bundle.Acceptance) bool { return x.Version == y.Version })
	if len(all) > maxHistory {
		all = all[:maxHistory]
	}
	return all
}

func (s *Service) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// Age returns the time since the platform last confirmed the version in force,
// as far as this node knows, and whether it ever did.
func (s *Service) Age(now time.Time) (time.Duration, bool) {
	t := s.lastConfirmed()
	if t.IsZero() {
		return 0, false
	}
	return now.Sub(t), true
}

// confirm notes that the platform confirmed the version in force at time t.
func (s *Service) confirm(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(s.confirmed) {
		s.confirmed = t
	}
}

func (s *Service) lastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// remember adds an acceptance to the history, newest first.
func (s *Service) remember(accs ...bundle.Acceptance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = mergeHistory(s.history, accs)
}

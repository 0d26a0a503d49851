package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
)

const (
	defaultProbeInterval = time.Second
	defaultProbeTimeout  = 500 * time.Millisecond
	// returnInterval is the time between looks at an upstream that crashed.
	returnInterval = 200 * time.Millisecond
	// forgetAfter is the time for which a stopped upstream is still listed.
	forgetAfter = time.Minute
	// suspectTimeout bounds the look at an upstream whose connection broke.
	suspectTimeout = 250 * time.Millisecond
)

// probe watches one upstream until ctx ends or the upstream is replaced.
func (s *Service) probe(ctx context.Context, i *Instance) {
	defer s.probing.Done()
	for {
		spec := s.probeSpec(i)
		wait := spec.Interval.Std()
		if i.snapshot().State == model.UpstreamStopped {
			wait = returnInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if s.replaced(i) || s.forget(i, time.Now()) {
			i.pool.Close()
			return
		}
		s.probeOnce(ctx, i, spec)
	}
}

func (s *Service) replaced(i *Instance) bool {
	name := i.Name()
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.instances[name] != i
}

// forget removes an upstream that ended in an orderly way some time ago, and
// reports whether it did. One that crashed stays, as it may return by itself.
func (s *Service) forget(i *Instance, now time.Time) bool {
	s.mu.Lock()
	i.mu.Lock()
	gone := i.state == model.UpstreamStopped && !i.crashed && i.inFlight == 0 && now.Sub(i.changedAt) >= forgetAfter
	name := i.announced.Name
	i.mu.Unlock()
	if gone {
		delete(s.instances, name)
	}
	s.mu.Unlock()
	if gone {
		s.publish()
	}
	return gone
}

// probeSpec returns the probe of the bundle in force, with defaults.
func (s *Service) probeSpec(i *Instance) bundle.Probe {
	var p bundle.Probe
	if snap := s.holder.Current(); snap != nil {
		if svc, ok := snap.Service(i.snapshot().Service); ok {
			p = svc.Probe
		}
	}
	if p.Interval <= 0 {
		p.Interval = bundle.Duration(defaultProbeInterval)
	}
	if p.Timeout <= 0 {
		p.Timeout = bundle.Duration(defaultProbeTimeout)
	}
	return p
}

func (s *Service) probeOnce(ctx context.Context, i *Instance, spec bundle.Probe) {
	ctx, cancel := context.WithTimeout(ctx, spec.Timeout.Std())
	defer cancel()
	ok, refused := look(ctx, i.pool.Address(), spec.Path)
	s.probes.WithLabelValues(result(ok)).Inc()
	i.mu.Lock()
	changed := i.health.probed(ok)
	down := i.health.down()
	state, crashed := i.state, i.crashed
	i.mu.Unlock()
	if changed {
		s.logProbe(i, ok)
	}
	switch {
	case state == model.UpstreamRunning && (refused || down):
		s.crash(i)
	case state == model.UpstreamDrained && refused:
		_ = s.fire(i, triggerStop)
		s.publish()
	case state == model.UpstreamStopped && crashed && ok:
		s.returned(i)
	}
}

func result(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

func (s *Service) logProbe(i *Instance, ok bool) {
	e := event.ProbeFailing
	if ok {
		e = event.ProbePassing
	}
	s.log.Emit(e, event.F("upstream", i.Name()))
}

// look asks the upstream for path, or only connects when path is empty. refused
// tells that nothing listens at the address.
func look(ctx context.Context, address, path string) (ok, refused bool) {
	p := client.NewPool(address, 1)
	defer p.Close()
	if path == "" {
		d := net.Dialer{}
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return false, client.Refused(err)
		}
		_ = c.Close()
		return true, false
	}
	h := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(h)
	h.Header.SetMethod("GET")
	h.Header.SetRequestURI(path)
	h.Header.SetHost(address)
	h.Header.SetConnectionClose(true)
	var reply client.Reply
	if err := p.Do(ctx, &client.Request{Header: &h.Header}, &reply); err != nil {
		return false, err.Refused
	}
	reply.Close()
	code := reply.Header.StatusCode()
	return code >= 200 && code < 400, false
}

// Suspect looks whether an upstream whose connection broke still listens.
func (s *Service) Suspect(i *Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	if _, refused := look(ctx, i.pool.Address(), ""); !refused {
		return false
	}
	if state := i.snapshot().State; state == model.UpstreamRunning {
		s.crash(i)
	}
	return true
}

// crash takes the upstream out and tells the peers at once.
func (s *Service) crash(i *Instance) {
	if err := s.fire(i, triggerCrash); err != nil {
		return
	}
	s.log.Emit(event.UpstreamCrashed, event.F("upstream", i.Name()))
	s.publish()
}

// returned puts a crashed upstream back, from the start of its ramp.
func (s *Service) returned(i *Instance) {
	if err := s.comeBack(i); err != nil {
		return
	}
	s.log.Emit(event.UpstreamBack, event.F("upstream", i.Name()))
	s.publish()
}

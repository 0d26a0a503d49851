package intake

import (
	"net"
	"strconv"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// crashProbeTimeout limits the connection attempt that checks whether the upstream listens.
const crashProbeTimeout = 200 * time.Millisecond

// deadProbeInterval is the time between two requests that are let through to an upstream that
// does not listen. Each one that is refused costs its caller a few milliseconds.
const deadProbeInterval = 250 * time.Millisecond

// checkCrash checks, after a connection broke, whether the upstream still listens. If it
// doesn't, checkCrash reports the fingerprints of the running requests as suspects of the
// crash, once until the upstream answers again. The request with the given id is no suspect
// if it was not sent.
func (s *Service) checkCrash(u fleet.Upstream, id uint64, sent bool) {
	s.mu.Lock()
	if !sent {
		delete(s.running, id)
	}
	known := s.down
	s.mu.Unlock()
	if known {
		return
	}
	c, err := net.DialTimeout("tcp", s.options.Pool.Address(), crashProbeTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	first := !s.down && s.upstream.ID == u.ID && s.upstream.Born == u.Born
	if first {
		s.down, s.probeAt = true, time.Now().Add(deadProbeInterval)
	}
	fingerprints := make([]uint64, 0, len(s.running))
	for _, f := range s.running {
		fingerprints = append(fingerprints, f)
	}
	s.mu.Unlock()
	if first {
		s.options.Pool.CloseIdle()
		s.options.OnCrash(fingerprints, u)
	}
}

// isDown reports whether a request is refused because the upstream does not listen. Every
// deadProbeInterval it lets one request through as a probe. The caller holds mu.
func (s *Service) isDown(now time.Time) bool {
	if !s.down {
		return false
	}
	if now.Before(s.probeAt) {
		return true
	}
	s.probeAt = now.Add(deadProbeInterval)
	return false
}

// formatMillis returns a time for a header, in whole milliseconds and at least 1.
func formatMillis(d time.Duration) string { return strconv.FormatInt(max(1, d.Milliseconds()), 10) }

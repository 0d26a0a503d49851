package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/release"
)

// Versions decides which upstreams of a service may get requests by the version of their
// software.
type Versions interface {
	// Arrive counts a request for a service and reports whether its first try may go to a version
	// that is being rolled out.
	Arrive(service string) bool
	// Hosts returns the usable hosts of a service for a try, and a key that is equal for equal
	// versions. isNew asks for those of the version that is being rolled out, of which there may
	// be none.
	Hosts(service string, isNew bool) (hosts []fleet.Host, key string)
	// Try counts a try at a host. The function that it returns has to be called when the try has
	// ended, with nil if it certainly did not run.
	Try(h *fleet.Host) (ended func(*release.Response))
}

// ReasonVersion is the reason of a refusal because all upstreams of the service are of a version
// that may not get requests.
const ReasonVersion = "version-not-allowed"

// allVersions is used where versions are not told apart.
type allVersions struct{ table *fleet.Table }

func (allVersions) Arrive(string) bool { return false }

func (a allVersions) Hosts(service string, isNew bool) ([]fleet.Host, string) {
	if isNew {
		return nil, ""
	}
	return a.table.Usable(service), ""
}

func (allVersions) Try(*fleet.Host) func(*release.Response) { return func(*release.Response) {} }

// chooseNewVersion returns the host of the first try of a request that goes to a version that is
// being rolled out. It returns false if no such upstream has a free slot; the request then goes
// to the established version.
func (s *Service) chooseNewVersion(r *request) (fleet.Host, bool) {
	if !r.toNew {
		return fleet.Host{}, false
	}
	host, ok := s.chooseFreeHost(r)
	r.toNew = false
	return host, ok
}

// noUpstreamReason returns why there is no upstream for a request.
func (s *Service) noUpstreamReason(r *request, reason string) string {
	if len(s.options.Table.Usable(r.service)) == 0 {
		return reason
	}
	if hosts, _ := s.versions.Hosts(r.service, false); len(hosts) > 0 {
		return reason
	}
	return ReasonVersion
}

// response describes the result of a try for Versions. It returns nil if the try certainly did
// not run, or if nothing follows from it for the upstream.
func (s *Service) response(ctx context.Context, r *request, h *fleet.Host, a *link.Answer, err error, start time.Time) *release.Response {
	took := time.Since(start)
	v := &release.Response{Route: r.route.Name, Took: took, Warm: h.Upstream.WarmAtUnixMs <= start.UnixMilli()}
	if a != nil && a.Load.Slots > 0 {
		// The report does not include the request itself, which has ended.
		v.Busy = min(1, float64(a.Load.Running+1)/float64(a.Load.Slots))
	}
	switch {
	case err != nil && ctx.Err() == context.Canceled:
		// Another try was faster, or the caller has gone.
		if !r.route.Idempotent || took < minHedgeDelay {
			return nil
		}
		v.Cut = true
		return v
	case err != nil:
		a = answerForError(ctx, err)
	}
	if a.Outcome == link.NotRun {
		return nil
	}
	v.Bad = a.Outcome == link.Unknown || a.Status >= http.StatusInternalServerError
	return v
}

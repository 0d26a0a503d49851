package dispatch

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
)

const (
	// unknownKeyMaxAge is the age of the proof up to which a key that the configuration in force
	// does not have counts as unknown. With an older proof, a newer version may have the key.
	unknownKeyMaxAge = time.Second
	// currencyRetryAfter is the Retry-After time of requests whose key cannot be checked. A node that
	// is in touch gets a proof or a newer version within that time.
	currencyRetryAfter = 500 * time.Millisecond
)

// Currency says whether the configuration in force is known to be current.
type Currency struct {
	// Strict is set if requests with keys need a proof that is not older than MaxAge.
	Strict bool
	MaxAge time.Duration
	// Proven is set if there is a proof, and Age is the age of the newest one.
	Proven bool
	Age    time.Duration
	// NewerKnown is set if a newer version than the one in force is known.
	NewerKnown bool
}

// IsCurrent reports whether requests with known keys may run.
func (c Currency) IsCurrent() bool { return !c.Strict || c.Proven && c.Age <= c.MaxAge }

// mayLackKeys reports whether a newer version may have keys that the configuration in force does
// not have.
func (c Currency) mayLackKeys() bool {
	return c.NewerKnown || c.Strict && (!c.Proven || c.Age > unknownKeyMaxAge)
}

// authorisation is the result of the check of a request's key. It is an acceptance if reason is
// empty.
type authorisation struct {
	// organisation is that of the key, nil if the route needs none.
	organisation *meshconf.Organisation
	reason       string
}

// authorise checks the key of a request, which is empty if the request has none.
func authorise(s *meshconf.Snapshot, route *meshconf.Route, key string, c Currency) authorisation {
	if !s.RequiresKey(route) {
		return authorisation{}
	}
	if key == "" {
		return authorisation{reason: ReasonUnknownKey}
	}
	if !c.IsCurrent() {
		return authorisation{reason: ReasonKeysNotCurrent}
	}
	if o, known := s.Organisation(key); known {
		return authorisation{organisation: o}
	}
	if c.mayLackKeys() {
		return authorisation{reason: ReasonKeysNotCurrent}
	}
	return authorisation{reason: ReasonUnknownKey}
}

// Quota limits the requests of organisations over all nodes. It is safe for concurrent use.
type Quota interface {
	// Take takes a token for one request of an organisation, whose rate may be unlimited. It may
	// wait for one for a short time. Without a token it returns false and the time after which the
	// caller should return.
	Take(ctx context.Context, o *meshconf.Organisation) (t quota.Token, ok bool, retryAfter time.Duration)
	// Return gives back the token of a request that did not run. A token is usable only for a short
	// time after it was issued, so it has to be the one that the request took.
	Return(t quota.Token)
}

// admit checks the key and the quota of a request. It returns nil if the request may go on, and
// otherwise its final response.
func (s *Service) admit(ctx context.Context, r *request, snap *meshconf.Snapshot) *h1.Response {
	if len(snap.Organisations) == 0 {
		return nil
	}
	a := authorise(snap, r.route, s.options.DecodeKey(r.req.Header), s.options.Currency(snap))
	switch a.reason {
	case ReasonUnknownKey:
		r.reason = a.reason
		response := errorResponse(http.StatusUnauthorized, a.reason, 0)
		response.Header.Set("WWW-Authenticate", s.options.Headers.KeyScheme)
		return response
	case ReasonKeysNotCurrent:
		r.reason = a.reason
		return errorResponse(http.StatusServiceUnavailable, a.reason, spread(currencyRetryAfter))
	}
	r.organisation, r.hasOrganisations = a.organisation, true
	if a.organisation == nil || s.options.Quota == nil {
		return nil
	}
	token, ok, after := s.options.Quota.Take(ctx, a.organisation)
	if !ok {
		r.reason = ReasonQuota
		return errorResponse(http.StatusTooManyRequests, ReasonQuota, max(after, minRetryAfter))
	}
	r.token, r.tookQuota = token, true
	return nil
}

// organisationName returns the name of the caller's organisation, empty without one.
func (r *request) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

// identify replaces what the caller said of its organisation in the headers of a call by what its key
// says. Without organisations in the configuration it changes nothing.
func (r *request) identify(h *Headers, header http.Header) {
	if !r.hasOrganisations {
		return
	}
	for name := range header {
		if isSameHeader(name, h.Authorization) || isSameHeader(name, h.Organisation) {
			delete(header, name)
		}
	}
	if r.organisation != nil {
		header.Set(h.Organisation, r.organisation.Name)
	}
}

// isSameHeader reports whether an upstream may take a header for another one. Some ignore spaces
// before the colon, which the parser of requests keeps, and many read an underscore as a hyphen.
func isSameHeader(name, of string) bool {
	return strings.EqualFold(strings.ReplaceAll(strings.TrimSpace(name), "_", "-"), of)
}

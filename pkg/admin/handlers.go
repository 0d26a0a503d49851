package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const statusUnauthorized = http.StatusUnauthorized

// problem is the body of every refused request.
type problem struct {
	Error string `json:"error"`
}

// sameToken compares in constant time, whatever the lengths.
func sameToken(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

func (s *Service) health(_ context.Context, c *app.RequestContext) {
	c.String(http.StatusOK, "ok\n")
}

func (s *Service) ready(_ context.Context, c *app.RequestContext) {
	if !s.options.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Service) statusText(ctx context.Context, c *app.RequestContext) {
	var out strings.Builder
	if err := s.options.Collector.Report(ctx).WriteText(&out); err != nil {
		c.JSON(http.StatusInternalServerError, problem{Error: err.Error()})
		return
	}
	c.String(http.StatusOK, out.String())
}

func (s *Service) handover(ctx context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.options.Collector.Report(ctx))
}

func (s *Service) status(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.options.Rollout.Status())
}

func (s *Service) members(_ context.Context, c *app.RequestContext) {
	view := s.options.Members.View()
	members := make([]membership.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	c.JSON(http.StatusOK, members)
}

func (s *Service) upstreams(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.options.Upstreams.List())
}

// announce takes the announcement of an upstream of this host.
func (s *Service) announce(_ context.Context, c *app.RequestContext) {
	var u model.Upstream
	d := json.NewDecoder(strings.NewReader(string(c.Request.Body())))
	d.DisallowUnknownFields()
	if err := d.Decode(&u); err != nil {
		c.JSON(http.StatusBadRequest, problem{Error: "announcement: " + err.Error()})
		return
	}
	if err := s.options.Upstreams.Announce(u); err != nil {
		c.JSON(http.StatusBadRequest, problem{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, s.options.Upstreams.List())
}

// drain answers when the upstream has no call in flight.
func (s *Service) drain(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, s.options.DrainTimeout)
	defer cancel()
	if err := s.options.Upstreams.Drain(ctx, c.Param("name")); err != nil {
		c.JSON(http.StatusConflict, problem{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, s.options.Upstreams.List())
}

func (s *Service) quarantined(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.options.Quarantine.Quarantined())
}

func (s *Service) lift(_ context.Context, c *app.RequestContext) {
	if !s.options.Quarantine.Lift(c.Param("fingerprint")) {
		c.JSON(http.StatusNotFound, problem{Error: "no quarantined call has the fingerprint " + c.Param("fingerprint")})
		return
	}
	c.JSON(http.StatusOK, s.options.Quarantine.Quarantined())
}

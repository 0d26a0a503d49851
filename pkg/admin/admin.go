// Package admin is the listener for operators, Prometheus and the upstreams'
// own announcements. It is loopback by default and asks for a bearer token when
// one is configured.
package admin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// Name is the service name of the admin listener.
const Name = "admin"

const (
	// maxBodyBytes bounds the body of one admin request.
	maxBodyBytes = 1 << 20
	// readTimeout bounds the time that a sender may take for a request.
	readTimeout = 10 * time.Second
)

// ErrNoToken is returned when the token file is empty.
var ErrNoToken = errors.New("admin: token file is empty")

// Quarantine is what the listener needs of the quarantine.
type Quarantine interface {
	// Quarantined lists the calls that are refused.
	Quarantined() []handover.Quarantined
	// Lift ends the quarantine of a fingerprint and reports whether there was one.
	Lift(fingerprint string) bool
}

// Options are the parts of the node that the listener shows.
type Options struct {
	Settings   settings.Admin
	Log        *event.Log
	Registry   *metric.Registry
	Collector  *handover.Collector
	Rollout    rollout.Source
	Members    membership.Source
	Upstreams  upstream.Manager
	Quarantine Quarantine
	// Ready tells whether the node takes calls.
	Ready func() bool
	// DrainTimeout bounds one drain request.
	DrainTimeout time.Duration
}

// Service is the admin listener.
type Service struct {
	options Options
	token   string
	needs   []string
	server  *httpserver.Server
}

// New returns a stopped listener that starts after the needed services.
func New(o Options, needs ...string) *Service { return &Service{options: o, needs: needs} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return s.needs }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	if err := s.readToken(); err != nil {
		return err
	}
	srv, err := httpserver.Start(s.options.Settings.Address, s.register,
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithReadTimeout(readTimeout),
	)
	if err != nil {
		return err
	}
	s.server = srv
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Addr returns the address of the running listener.
func (s *Service) Addr() string { return s.server.Addr() }

func (s *Service) readToken() error {
	file := s.options.Settings.TokenFile
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read admin token: %w", err)
	}
	s.token = strings.TrimSpace(string(raw))
	if s.token == "" {
		return fmt.Errorf("%s: %w", file, ErrNoToken)
	}
	return nil
}

func (s *Service) register(h *server.Hertz) {
	h.GET("/healthz", s.health)
	h.GET("/readyz", s.ready)
	h.Use(s.authenticate)
	metrics := promhttp.HandlerFor(s.options.Registry, promhttp.HandlerOpts{})
	h.GET("/metrics", adaptor.HertzHandler(metrics))
	h.GET("/status", s.statusText)
	h.GET("/v1/handover", s.handover)
	h.GET("/v1/status", s.status)
	h.GET("/v1/members", s.members)
	h.GET("/v1/upstreams", s.upstreams)
	h.POST("/v1/upstreams", s.announce)
	h.POST("/v1/upstreams/:name/drain", s.drain)
	h.GET("/v1/quarantine", s.quarantined)
	h.DELETE("/v1/quarantine/:fingerprint", s.lift)
}

// authenticate refuses requests without the bearer token when one is configured.
func (s *Service) authenticate(ctx context.Context, c *app.RequestContext) {
	if s.token == "" {
		c.Next(ctx)
		return
	}
	given, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || !sameToken(given, s.token) {
		s.options.Log.Emit(event.AdminRefused, event.F("remote", c.RemoteAddr().String()), event.F("path", string(c.Path())))
		c.AbortWithStatusJSON(statusUnauthorized, problem{Error: "a bearer token is required"})
		return
	}
	c.Next(ctx)
}

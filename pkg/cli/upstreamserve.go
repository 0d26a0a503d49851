package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

const (
	// heartbeatInterval is the time between two heartbeats of the stand-in.
	heartbeatInterval = time.Second
	// drainDuration is how long the stand-in keeps serving after the node has
	// acknowledged that it is draining. It is at least as long as the platform's
	// upstreams keep serving.
	drainDuration = 2 * time.Second
)

// upstreamServeCmd runs a stand-in upstream.
type upstreamServeCmd struct {
	Name     string        `arg:"--name,required" help:"name of the upstream"`
	Service  string        `arg:"--service,required" help:"its service"`
	Listen   string        `arg:"--listen" default:"127.0.0.1:9000" placeholder:"IP:PORT" help:"address of the stand-in"`
	Announce string        `arg:"--announce,required" placeholder:"IP:PORT" help:"where the node of its host takes heartbeats"`
	Slots    int           `arg:"--slots" default:"9" help:"requests that it says to run at the same time"`
	Work     time.Duration `arg:"--work" default:"2ms" help:"time that one request takes"`
}

func (*upstreamServeCmd) example() string {
	return "tarragondrum upstream serve --name up-1 --service order-desk --announce 127.0.0.1:8082"
}

// run serves until ctx is done and then shuts down gracefully: it announces that it is
// draining, keeps serving for drainDuration and deregisters.
func (c *upstreamServeCmd) run(ctx context.Context, env Env) int {
	u, err := standin.NewUpstream(c.Name, c.Service, c.Listen, c.Slots)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	defer u.Close()
	u.SetBehaviour(standin.Behaviour{Work: c.Work})
	env.printf("stand-in upstream %s of service %s listens on %s\n", c.Name, c.Service, u.Address())
	c.sendHeartbeats(ctx, env, u)
	if err := u.Beat(c.Announce, standin.StateDraining); err != nil {
		return env.fail(ExitFailed, fmt.Errorf("announce draining: %w", err))
	}
	time.Sleep(drainDuration)
	if err := u.Remove(c.Announce); err != nil {
		return env.fail(ExitFailed, fmt.Errorf("deregister upstream: %w", err))
	}
	seen, _ := u.Seen()
	env.printf("%d requests received\n", len(seen))
	return ExitOK
}

// sendHeartbeats sends heartbeats until ctx is done, and prints a line whenever they
// start or stop being acknowledged.
func (c *upstreamServeCmd) sendHeartbeats(ctx context.Context, env Env, u *standin.Upstream) {
	acknowledged := false
	for ctx.Err() == nil {
		err := u.Beat(c.Announce, standin.StateReady)
		if acknowledged != (err == nil) {
			acknowledged = err == nil
			env.printf("heartbeats (%s): %v\n", http.MethodPut, outcome(err))
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// outcome describes the result of a heartbeat.
func outcome(err error) string {
	if err == nil {
		return "acknowledged"
	}
	return err.Error()
}

package cli

import (
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
)

type upstreamServeCmd struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:8001" placeholder:"IP:PORT" help:"address of the stand-in"`
	Slots  int           `arg:"--slots" default:"9" help:"calls that run at the same time"`
	Queue  int           `arg:"--queue" default:"130" help:"calls that wait for a slot; further ones are shed"`
	Median time.Duration `arg:"--median" default:"2ms" help:"median service time"`
}

func (*upstreamServeCmd) example() string {
	return "tarragondrum upstream serve --listen 127.0.0.1:8001 --slots 9"
}

// run serves until it is interrupted.
func (c *upstreamServeCmd) run(ctx context.Context, env Env) int {
	s, err := upstream.Start(upstream.Options{Address: c.Listen, Slots: c.Slots, Queue: c.Queue, Median: c.Median})
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	env.printf("stand-in upstream listens on %s\n", s.Addr())
	<-ctx.Done()
	s.Stop()
	env.printf("%d calls ran\n", s.Runs())
	return ExitOK
}

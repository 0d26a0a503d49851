package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
)

// standinStopTimeout bounds the stop of the stand-in.
const standinStopTimeout = 5 * time.Second

type platformCmd struct {
	Listen    string `arg:"--listen" default:"127.0.0.1:7000" placeholder:"IP:PORT" help:"address of the object API"`
	Faults    string `arg:"--faults" default:"127.0.0.1:7001" placeholder:"IP:PORT" help:"address for switching faults (POST /faults) and counting calls (GET /calls); empty for none"`
	TokenFile string `arg:"--token-file" placeholder:"FILE" help:"file with the bearer token that callers must show"`
	Reads     int    `arg:"--reads" default:"2000" help:"reads and watches per second; 0 for no bound"`
	Writes    int    `arg:"--writes" default:"400" help:"writes per second; 0 for no bound"`
}

func (*platformCmd) example() string {
	return "tarragondrum platform --listen 127.0.0.1:7000"
}

// run serves the stand-in until the command is interrupted.
func (c *platformCmd) run(ctx context.Context, env Env) int {
	config := standin.Config{Address: c.Listen, FaultAddress: c.Faults, Reads: c.Reads, Writes: c.Writes}
	if c.TokenFile != "" {
		token, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return env.exit(&usageError{err: fmt.Errorf("read token: %w", err)})
		}
		config.Token = strings.TrimSpace(string(token))
	}
	s, err := standin.Start(config)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	env.printf("stand-in platform at %s; it keeps everything in memory\n", s.URL())
	if url := s.FaultURL(); url != "" {
		env.printf("faults at %s/faults, calls at %s/calls\n", url, url)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if err := s.Stop(stopCtx); err != nil {
		return env.fail(ExitFailed, err)
	}
	return ExitOK
}

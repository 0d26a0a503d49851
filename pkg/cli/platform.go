package cli

import (
	"context"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// platformCmd runs a stand-in of the platform's object store.
type platformCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7000" placeholder:"IP:PORT" help:"address of the object store"`
	Faults string `arg:"--faults" default:"127.0.0.1:7001" placeholder:"IP:PORT" help:"address for switching faults (POST /faults) and counting calls (GET /calls); empty for none"`
	Reads  int    `arg:"--reads" default:"2000" help:"reading calls per second; 0 for no bound"`
	Writes int    `arg:"--writes" default:"400" help:"writing calls per second; 0 for no bound"`
}

func (*platformCmd) example() string {
	return "tarragondrum platform --listen 127.0.0.1:7000"
}

// run serves the stand-in until ctx is done.
func (c *platformCmd) run(ctx context.Context, env Env) int {
	s := standin.NewStore()
	defer s.Close()
	s.SetRates(c.Reads, c.Writes)
	address, err := s.Listen(c.Listen)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	env.printf("stand-in of the platform's store at %s; it keeps everything in memory\n", address)
	if c.Faults != "" {
		control, err := s.ListenFaults(c.Faults)
		if err != nil {
			return env.fail(ExitFailed, err)
		}
		env.printf("faults at http://%s/faults, calls at http://%s/calls\n", control, control)
	}
	<-ctx.Done()
	return ExitOK
}

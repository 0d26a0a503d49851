package cli

import (
	"context"
	"io"
	"os"

	"github.com/tarragondrum/tarragondrum/examples"
	"github.com/tarragondrum/tarragondrum/pkg/demo"
)

// demoCmd runs the demo on both example deployments.
type demoCmd struct {
	Stay    bool   `arg:"--stay" help:"leave the last mesh running until interrupted"`
	LogFile string `arg:"--log-file" placeholder:"FILE" help:"write the nodes' logs to a file"`
}

func (*demoCmd) example() string { return "tarragondrum demo" }

func (c *demoCmd) run(ctx context.Context, env Env) int {
	logs := io.Discard
	if c.LogFile != "" {
		f, err := os.Create(c.LogFile)
		if err != nil {
			return env.fail(ExitUsage, err)
		}
		defer func() { _ = f.Close() }()
		logs = f
	}
	err := demo.Run(ctx, demo.Options{
		Examples:  examples.Files,
		Command:   runCommand,
		Out:       env.Stdout,
		LogWriter: logs,
		Stay:      c.Stay,
	})
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	return ExitOK
}

// runCommand runs a command that writes both of its outputs to w.
func runCommand(ctx context.Context, w io.Writer, argv ...string) int {
	return Run(ctx, argv, Env{Stdin: nil, Stdout: w, Stderr: w})
}

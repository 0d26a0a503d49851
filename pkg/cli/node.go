package cli

import (
	"context"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/node"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

type nodeCmd struct {
	Settings string `arg:"--settings,required,env:TARRAGONDRUM_SETTINGS" placeholder:"FILE" help:"settings file"`
}

func (*nodeCmd) example() string { return "tarragondrum node --settings node.jsonc" }

// run serves until it is interrupted and then stops gracefully. Logs go to the
// standard error.
func (c *nodeCmd) run(ctx context.Context, env Env) int {
	s, faults := settings.Load(c.Settings)
	if len(faults) > 0 {
		return env.exit(&faultsError{faults: faults})
	}
	n, err := node.New(node.Options{Settings: s, SettingsFile: c.Settings, LogWriter: env.Stderr})
	if err != nil {
		return env.fail(ExitUsage, err)
	}
	if err := n.Start(ctx); err != nil {
		return env.fail(ExitFailed, err)
	}
	<-ctx.Done()
	if err := n.Stop(); err != nil {
		return env.fail(ExitFailed, fmt.Errorf("stop: %w", err))
	}
	return ExitOK
}

package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tarragondrum/tarragondrum/pkg/host"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/platform"
)

// nodeCmd runs a node.
type nodeCmd struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file; without it the one that the platform names in the environment"`
}

func (*nodeCmd) example() string { return "tarragondrum node --settings node.jsonc" }

// run serves until ctx is done and then stops gracefully. SIGHUP reloads the settings.
// Logs are written to the standard output.
func (c *nodeCmd) run(ctx context.Context, env Env) int {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsEnv)
	}
	n, err := host.New(c.Settings, env.Stdout)
	if err != nil {
		return env.fail(ExitUsage, err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := n.Start(); err != nil {
		return env.fail(ExitFailed, err)
	}
	for {
		select {
		case <-hangups:
			n.Reload(true)
		case <-ctx.Done():
			n.Stop()
			return ExitOK
		}
	}
}

// settingsCmd is the group of commands about the settings of a node.
type settingsCmd struct {
	Check *settingsCheckCmd `arg:"subcommand:check" help:"check the settings file of a node and report every fault"`
}

// settingsCheckCmd validates a settings file.
type settingsCheckCmd struct {
	File string `arg:"positional,required" help:"settings file of a node"`
}

func (*settingsCheckCmd) example() string { return "tarragondrum settings check node.jsonc" }

func (c *settingsCheckCmd) run(_ context.Context, env Env) int {
	s, _, err := hostconf.Load(c.File)
	if err != nil {
		return env.fail(ExitUsage, err)
	}
	env.printf("settings of node %s are valid\n", s.Node.ID)
	return ExitOK
}

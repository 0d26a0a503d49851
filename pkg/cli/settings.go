package cli

import (
	"context"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

type settingsCmd struct {
	Check     *settingsCheckCmd     `arg:"subcommand:check" help:"check a settings file and report every fault"`
	Reference *settingsReferenceCmd `arg:"subcommand:reference" help:"print every setting with type, default and meaning"`
}

type settingsCheckCmd struct {
	File string `arg:"positional,required" help:"settings file of a node"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

func (*settingsCheckCmd) example() string {
	return "tarragondrum settings check examples/cluj/node.jsonc"
}

func (c *settingsCheckCmd) run(_ context.Context, env Env) int {
	s, faults := settings.Load(c.File)
	return env.reportCheck(faults, c.JSON, fmt.Sprintf("settings of node %s are valid", s.Node.ID))
}

type settingsReferenceCmd struct{}

func (*settingsReferenceCmd) example() string {
	return "tarragondrum settings reference > docs/SETTINGS.md"
}

func (*settingsReferenceCmd) run(_ context.Context, env Env) int {
	env.printf("%s", settings.Reference())
	return ExitOK
}

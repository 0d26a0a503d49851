package cli

import (
	"context"

	"github.com/tarragondrum/tarragondrum/pkg/buildinfo"
)

// versionCmd prints the version and revision from the build information.
type versionCmd struct{}

func (*versionCmd) example() string { return "tarragondrum version" }

func (*versionCmd) run(_ context.Context, env Env) int {
	b := buildinfo.Read()
	env.printf("tarragondrum %s, revision %s, %s\n", b.Version, b.Revision, b.Compiler)
	return ExitOK
}

package cli

import (
	"context"
	"runtime/debug"
)

// versionCmd prints the version and revision from the build information.
type versionCmd struct{}

func (*versionCmd) example() string { return "tarragondrum version" }

func (*versionCmd) run(_ context.Context, env Env) int {
	version, revision := "devel", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
		env.printf("tarragondrum %s, revision %s, %s\n", version, revision, info.GoVersion)
		return ExitOK
	}
	env.printf("tarragondrum %s\n", version)
	return ExitOK
}

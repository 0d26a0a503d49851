// Package buildinfo tells from which source this program was built.
package buildinfo

import "runtime/debug"

// Build describes the build of the program.
type Build struct {
	// Version is the version of the main module, or "devel" if it has none.
	Version string
	// Revision is the commit of the source, or "unknown" if the program was built outside a
	// repository. It ends in "+modified" if files differed from the commit.
	Revision string
	// Compiler is the version of Go.
	Compiler string
}

// Read returns the build of this program.
func Read() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Version: "devel", Revision: "unknown"}
	}
	return describe(info)
}

// describe returns the build that the build information names.
func describe(info *debug.BuildInfo) Build {
	b := Build{Version: "devel", Revision: "unknown", Compiler: info.GoVersion}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		b.Version = v
	}
	modified := false
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			modified = s.Value == "true"
		}
	}
	if modified {
		b.Revision += "+modified"
	}
	return b
}

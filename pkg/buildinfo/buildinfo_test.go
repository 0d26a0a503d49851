package buildinfo

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// A build names its commit and whether files differed from it, and a build outside a
// repository says so.
func TestDescribe(t *testing.T) {
	is := is.New(t)
	is.Equal(describe(&debug.BuildInfo{GoVersion: "go1.2", Main: debug.Module{Version: "(devel)"}}),
		Build{Version: "devel", Revision: "unknown", Compiler: "go1.2"})
	info := &debug.BuildInfo{GoVersion: "go1.2", Main: debug.Module{Version: "v1.3.0"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "false"},
	}}
	is.Equal(describe(info), Build{Version: "v1.3.0", Revision: "abc", Compiler: "go1.2"})
	info.Settings[1].Value = "true"
	is.Equal(describe(info).Revision, "abc+modified")
}

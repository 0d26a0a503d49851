package source_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/source"
)

var update = flag.Bool("update", false, "rewrite docs/BUNDLE.md from the code")

const docFile = "../../../docs/BUNDLE.md"

func TestDocsListEveryKey(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(docFile, []byte(source.Reference()), 0o644))
	}
	doc, err := os.ReadFile(docFile)
	is.NoErr(err)
	is.Equal(string(doc), source.Reference())
}

// write makes a folder of files and returns its name.
func write(t *testing.T, files map[string]string) string {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"cluj", "casablanca"} {
		is := is.New(t)
		b, faults := source.Load("../../../examples/" + name + "/bundle")
		is.Equal(faults, nil)
		is.Equal(len(b.Services), 2)
		is.Equal(len(b.Routes), 6)
	}
}

func TestFilesAddUpToOneBundle(t *testing.T) {
	is := is.New(t)
	b, faults := source.Load(write(t, map[string]string{
		"b.jsonc":       `{ "services": [{ "name": "b" }] }`,
		"sub/a.jsonc":   `{ "services": [{ "name": "a" }], "routes": [{ "name": "r", "service": "b", "class": "batch" }] }`,
		"notes.txt":     `not a bundle file`,
		"sub/empty.txt": ``,
	}))
	is.Equal(faults, nil)
	is.Equal(b.Services[0].Name, "a")
	is.Equal(b.Services[1].MaxEjectedPercent, 30) // a default
	is.Equal(b.Routes[0].PathPrefix, "/")
	is.Equal(b.Routes[0].Attempts, 2)
}

const service = `"services": [{ "name": "desk" }]`

// route returns a file with the service "desk" and one route per argument, each
// on a line of its own, the first on line 2.
func routes(list ...string) string {
	return "{ " + service + ", \"routes\": [\n" + strings.Join(list, ",\n") + "\n] }"
}

func TestFaultsOfOneFile(t *testing.T) {
	type want struct {
		line int
		key  string
		text string
	}
	cases := map[string]struct {
		text string
		want []want
	}{
		"dangling reference": {routes(`{ "name": "r", "service": "dsek", "class": "batch" }`),
			[]want{{2, "routes[0].service", `service "dsek" does not exist`}}},
		"unknown class": {routes(`{ "name": "r", "service": "desk", "class": "urgent" }`),
			[]want{{2, "routes[0].class", `class "urgent" is unknown`}}},
		"no class": {routes(`{ "name": "r", "service": "desk" }`),
			[]want{{2, "routes[0].class", `class "" is unknown`}}},
		"order with attempts and GET": {routes(`{ "name": "r", "service": "desk", "class": "order", "methods": ["GET", "POST"], "attempts": 2 }`),
			[]want{{2, "routes[0].attempts", "exactly 1 attempt"}, {2, "routes[0].methods", "GET changes nothing"}}},
		"order without methods": {routes(`{ "name": "r", "service": "desk", "class": "order" }`),
			[]want{{2, "routes[0].methods", "must name its methods"}}},
		"internal class outside": {routes(`{ "name": "r", "service": "desk", "class": "internal" }`),
			[]want{{2, "routes[0].internal", "must set internal to true"}}},
		"unknown and repeated methods": {routes(`{ "name": "r", "service": "desk", "class": "batch", "methods": ["get", "GET", "GET"] }`),
			[]want{{2, "routes[0].methods", `method "GET" is given twice`}, {2, "routes[0].methods", `method "get" is unknown`}}},
		"bad paths and host": {routes(`{ "name": "r", "service": "desk", "class": "batch", "pathPrefix": "/a//b", "host": "Desk:80" }`,
			`{ "name": "s", "service": "desk", "class": "batch", "pathPrefix": "a" }`,
			`{ "name": "t", "service": "desk", "class": "batch", "pathPrefix": "/a/" }`,
			`{ "name": "u", "service": "desk", "class": "batch", "pathPrefix": "/a/../b" }`),
			[]want{{2, "routes[0].host", "host name"}, {2, "routes[0].pathPrefix", "must be clean"}, {3, "routes[1].pathPrefix", "must begin with /"}, {4, "routes[2].pathPrefix", "must not end in /"}, {5, "routes[3].pathPrefix", "must be clean"}}},
		"conflict without methods": {routes(`{ "name": "r", "service": "desk", "class": "batch" }`, `{ "name": "s", "service": "desk", "class": "batch" }`),
			[]want{{3, "routes[1].pathPrefix", `conflicts with route "r"`}}},
		"conflict on a method": {routes(`{ "name": "r", "service": "desk", "class": "batch", "methods": ["GET"] }`, `{ "name": "s", "service": "desk", "class": "batch", "methods": ["HEAD", "GET"] }`),
			[]want{{3, "routes[1].methods", "both take GET"}}},
		"unreachable": {routes(`{ "name": "r", "service": "desk", "class": "batch" }`,
			`{ "name": "s", "service": "desk", "class": "batch", "methods": ["GET", "HEAD", "POST", "PUT"] }`,
			`{ "name": "t", "service": "desk", "class": "batch", "methods": ["PATCH", "DELETE", "OPTIONS"] }`),
			[]want{{2, "routes[0].pathPrefix", "no call can reach"}}},
		"out of range": {`{ "services": [{ "name": "desk", "timeout": "1h",
			"queue": { "batch": -1 }, "probe": { "path": "/h", "interval": "1s", "timeout": "2s" },
			"maxEjectedPercent": 101, "retryBudgetPercent": -1, "maxBodyBytes": -1, "warmup": "2h" }] }`,
			[]want{{1, "services[0].timeout", "between"}, {3, "services[0].maxBodyBytes", "between"}, {3, "services[0].maxEjectedPercent", "between"}, {2, "services[0].probe.timeout", "longer than its interval"}, {2, "services[0].queue.batch", "between"}, {3, "services[0].retryBudgetPercent", "between"}, {3, "services[0].warmup", "between"}}},
		"bad names": {`{ "services": [{ "name": "Desk.1" }, {}] }`,
			[]want{{1, "services[0].name", `name "Desk.1"`}, {1, "services[1].name", `name ""`}}},
		"no services": {`{}`, []want{{0, "services", "no services"}}},
		"decoding and checking together": {routes(`{ "name": "r", "service": "desk", "class": 1 }`, `{ "name": "s", "service": "x", "class": "batch", "pathPrefix": "/s" }`),
			[]want{{2, "routes[0].class", "found a number"}, {3, "routes[1].service", "does not exist"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := write(t, map[string]string{"f.jsonc": c.text})
			_, faults := source.Load(dir)
			for _, w := range c.want {
				found := false
				for i, f := range faults {
					if f.Key == w.key && f.Line == w.line && strings.Contains(f.Message, w.text) && strings.HasPrefix(f.File, dir) {
						faults = append(faults[:i:i], faults[i+1:]...)
						found = true
						break
					}
				}
				if !found {
					t.Errorf("no fault %+v among %+v", w, faults)
				}
			}
			is.Equal(len(faults), 0) // and no others
		})
	}
}

func TestFaultsAcrossFiles(t *testing.T) {
	is := is.New(t)
	dir := write(t, map[string]string{
		"a.jsonc": "{\n  \"services\": [\n    { \"name\": \"desk\" }\n  ] }",
		"b.jsonc": "{ \"services\": [\n{ \"name\": \"desk\" }] }",
	})
	_, faults := source.Load(dir)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].File, filepath.Join(dir, "b.jsonc"))
	is.Equal(faults[0].Line, 2)
	is.Equal(faults[0].Key, "services[0].name")
	is.True(strings.Contains(faults[0].Message, filepath.Join(dir, "a.jsonc")+", line 3"))
}

func TestUnreadableFileHidesNoOtherFault(t *testing.T) {
	is := is.New(t)
	_, faults := source.Load(write(t, map[string]string{"a.jsonc": "{", "b.jsonc": `{ "route": [] }`}))
	is.Equal(len(faults), 2)
}

func TestFoldersThatAreNone(t *testing.T) {
	for _, dir := range []string{"absent", t.TempDir()} {
		is := is.New(t)
		_, faults := source.Load(dir)
		is.Equal(len(faults), 1)
		is.Equal(faults[0].File, dir)
	}
}

// Whatever the files, loading ends without a panic and a bundle without faults
// passes the checks of a node.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(routes(`{ "name": "r", "service": "desk", "class": "batch" }`)))
	f.Add([]byte(`{ "services": [{ "name": "a.b" }, { "name": "a" }] }`))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "f.jsonc"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		b, faults := source.Load(dir)
		if len(faults) == 0 && len(bundle.Validate(&b)) > 0 {
			t.Fatal("a node refuses what loading accepts")
		}
	})
}

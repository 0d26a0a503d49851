package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/cli"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// harness is a stand-in platform with two operators' keys and a bundle folder.
type harness struct {
	t        *testing.T
	platform *standin.Server
	dir      string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	s, err := standin.Start(standin.Config{Address: "127.0.0.1:0"})
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	h := &harness{t: t, platform: s, dir: t.TempDir()}
	for _, name := range []string{"ioana", "mihai"} {
		h.ok("key", "generate", "--name", name, "--out", h.path(name+".key"))
	}
	h.write("first")
	return h
}

func (h *harness) path(name string) string { return filepath.Join(h.dir, name) }

// write makes the bundle folder hold one service of the given name.
func (h *harness) write(service string) {
	h.t.Helper()
	is := is.New(h.t)
	is.NoErr(os.MkdirAll(h.path("bundle"), 0o755))
	text := `{ "services": [{ "name": "` + service + `" }] }`
	is.NoErr(os.WriteFile(h.path("bundle/all.jsonc"), []byte(text), 0o600))
}

// run runs one command and returns its exit code and outputs.
func (h *harness) run(argv ...string) (code int, stdout, stderr string) {
	h.t.Helper()
	if argv[0] == "bundle" && argv[1] != "check" {
		argv = append(argv, "--platform", h.platform.URL(), "--mesh", "desk")
	}
	var out, errs bytes.Buffer
	code = cli.Run(h.t.Context(), argv, cli.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs})
	return code, out.String(), errs.String()
}

// ok runs a command that must succeed and returns its output.
func (h *harness) ok(argv ...string) string {
	h.t.Helper()
	code, stdout, stderr := h.run(argv...)
	if code != cli.ExitOK {
		h.t.Fatalf("%v: exit %d: %s", argv, code, stderr)
	}
	return stdout
}

// fails runs a command that must end with the given code and returns its error.
func (h *harness) fails(want int, argv ...string) string {
	h.t.Helper()
	code, stdout, stderr := h.run(argv...)
	if code != want {
		h.t.Fatalf("%v: exit %d, not %d: %s%s", argv, code, want, stdout, stderr)
	}
	return stderr
}

// prepare prepares the folder and returns the id.
func (h *harness) prepare() string {
	h.t.Helper()
	var report struct{ Bundle string }
	out := h.ok("bundle", "prepare", h.path("bundle"), "--as", "ioana", "--json")
	is.New(h.t).NoErr(json.Unmarshal([]byte(out), &report))
	return report.Bundle
}

func (h *harness) signOff(id, expect, operator string) []string {
	return []string{"bundle", "sign-off", id, "--expect-version", expect, "--as", operator, "--key", h.path(operator + ".key"), "--reason", "noon"}
}

func TestPrepareSignOffAndLookBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.prepare()
	is.Equal(h.prepare(), first) // twice gives the same id
	is.True(strings.Contains(h.ok("bundle", "status"), "waiting: bundle "+first[:12]+", prepared by ioana"))
	is.True(strings.Contains(h.ok(h.signOff(first[:8], "0", "ioana")...), "version 1 is in force"))

	h.write("second")
	out := h.ok("bundle", "prepare", h.path("bundle"), "--as", "ioana")
	is.True(strings.Contains(out, "+ service second"))
	is.True(strings.Contains(out, "- service first"))
	h.ok(h.signOff(h.prepare(), "1", "mihai")...)

	is.True(strings.Contains(h.ok("bundle", "status"), "version 2 is in force"))
	history := h.ok("bundle", "history")
	is.True(strings.Index(history, "mihai") < strings.Index(history, "noon"))
	is.Equal(strings.Count(history, "\n"), 3)
	is.True(strings.Contains(h.ok("bundle", "diff", "v1", "in-force"), "- service first"))

	// What show prints can be prepared again, with the same id.
	is.NoErr(os.WriteFile(h.path("bundle/all.jsonc"), []byte(h.ok("bundle", "show", "1")), 0o600))
	is.Equal(strings.Count(h.ok("bundle", "check", h.path("bundle")), "1 services"), 1)
	is.True(strings.Contains(h.ok("bundle", "prepare", "--from-version", "1", "--as", "mihai"), first))
	is.True(strings.Contains(h.ok("bundle", "status"), "waiting: bundle "+first[:12]+", prepared by mihai"))
	h.ok(h.signOff(first, "2", "ioana")...) // back to older content is a new version
	is.True(strings.Contains(h.ok("bundle", "status"), "version 3 is in force: bundle "+first[:12]))

	// The same bundle under another key, before the first one is withdrawn.
	h.fails(cli.ExitFailed, h.signOff("in-force", "3", "mihai")...)
	h.ok(append(h.signOff("in-force", "3", "mihai"), "--again")...)
	is.True(strings.Contains(h.ok("bundle", "status"), "version 4 is in force: bundle "+first[:12]))
}

func TestSecondOperatorIsToldWhoWhichAndWhen(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	id := h.prepare()
	h.write("second")
	other := h.prepare()
	h.ok(h.signOff(id, "0", "ioana")...)
	stderr := h.fails(cli.ExitConflict, h.signOff(other, "0", "mihai")...)
	is.True(strings.Contains(stderr, "ioana put version 1 (bundle "+id[:12]+") in force at 20"))
	is.True(strings.Contains(h.ok("bundle", "status"), "version 1 is in force"))
}

func TestLostAnswerOverHTTPIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	id := h.prepare()
	is.NoErr(h.platform.Apply(standin.Faults{LoseAnswers: 2})) // of the claim and of the head
	h.ok(h.signOff(id, "0", "ioana")...)
	is.Equal(strings.Count(h.ok("bundle", "history"), "\n"), 2)
}

func TestOperationIsToldTruly(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	var a bundle.Acceptance
	is.NoErr(json.Unmarshal([]byte(h.ok(append(h.signOff(h.prepare(), "0", "ioana"), "--json")...)), &a))
	is.True(strings.Contains(h.ok("bundle", "status", "--operation", a.Operation), "accepted as version 1"))
	h.fails(cli.ExitConflict, "bundle", "status", "--operation", "other", "--expect-version", "0")
	h.fails(cli.ExitUnknown, "bundle", "status", "--operation", "other", "--expect-version", "1")
}

func TestPlatformDownChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	id := h.prepare()
	down, up := true, false
	is.NoErr(h.platform.Apply(standin.Faults{Down: &down}))
	h.fails(cli.ExitFailed, "bundle", "prepare", h.path("bundle"), "--as", "ioana")
	h.fails(cli.ExitFailed, h.signOff(id, "0", "ioana")...)
	h.fails(cli.ExitFailed, "bundle", "status", "--admin", "http://127.0.0.1:1")
	is.NoErr(h.platform.Apply(standin.Faults{Down: &up}))
	is.True(strings.Contains(h.ok("bundle", "status"), "no bundle has been accepted yet"))
	h.ok(h.signOff(id, "0", "ioana")...)
}

// While the platform is down, a node answers from what it knows and says how old
// that is.
func TestStatusAndRollFromANode(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	down := true
	is.NoErr(h.platform.Apply(standin.Faults{Down: &down}))
	known := handover.Report{
		Node:         "cluj-1-a",
		InForce:      bundle.Acceptance{Version: 7, Bundle: "0123456789abcdef", Acceptor: "mihai"},
		PlatformTime: time.Now().Add(-time.Hour),
		Waiting:      []handover.Waiting{{Bundle: "fedcba9876543210", Preparer: "ioana"}},
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(known)
	}))
	defer node.Close()
	out := h.ok("bundle", "status", "--admin", node.URL)
	is.True(strings.Contains(out, "what node cluj-1-a knows, confirmed 1h0m"))
	is.True(strings.Contains(out, "version 7 is in force: bundle 0123456789ab\n  accepted by mihai"))
	is.True(strings.Contains(out, "waiting: bundle fedcba987654, prepared by ioana"))

	known.Progress = []rollout.Progress{{DataCentre: "cluj-1", Version: 7, Members: 2, Applied: 2}}
	out = h.ok("bundle", "roll", "--admin", node.URL)
	is.True(strings.Contains(out, "following what node cluj-1-a knows"))
	is.True(strings.Contains(out, "version 7 is in force on all 2 nodes"))
}

func TestWrongUseChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	id := h.prepare()
	is.NoErr(os.Mkdir(h.path("bad"), 0o755))
	is.NoErr(os.WriteFile(h.path("bad/f.jsonc"), []byte("{\n\"service\": [] }"), 0o600))
	is.NoErr(os.WriteFile(h.path("open.key"), []byte("{}"), 0o644))
	cases := map[string]struct {
		argv []string
		want string
	}{
		"bad folder":      {[]string{"bundle", "prepare", h.path("bad"), "--as", "ioana"}, "bad/f.jsonc:2: service: unknown key"},
		"bad check":       {[]string{"bundle", "check", h.path("bad")}, "bad/f.jsonc:2: service: unknown key"},
		"nothing to do":   {[]string{"bundle", "prepare", "--as", "ioana"}, "either a folder or --from-version"},
		"no name":         {[]string{"bundle", "prepare", h.path("bundle")}, "--as"},
		"short id":        {[]string{"bundle", "show", "abc"}, "at least 6 characters"},
		"other's key":     {[]string{"bundle", "sign-off", id, "--expect-version", "0", "--as", "mihai", "--key", h.path("ioana.key")}, `belongs to "ioana"`},
		"no key":          {[]string{"bundle", "sign-off", id, "--expect-version", "0", "--as", "mihai", "--key", h.path("absent")}, "no such file"},
		"open key":        {[]string{"bundle", "sign-off", id, "--expect-version", "0", "--as", "mihai", "--key", h.path("open.key")}, "can be read by others"},
		"no version":      {[]string{"bundle", "sign-off", id, "--as", "ioana", "--key", h.path("ioana.key")}, "--expect-version N"},
		"future roll":     {[]string{"bundle", "roll", "--version", "9"}, "has not been accepted"},
		"bad limit":       {[]string{"bundle", "history", "--limit", "0"}, "at least 1"},
		"key over a file": {[]string{"key", "generate", "--name", "ioana", "--out", h.path("ioana.key")}, "file exists"},
		"bad name":        {[]string{"key", "generate", "--name", "Ioana", "--out", h.path("x.key")}, "lower-case"},
		"no key file":     {[]string{"key", "generate", "--name", "ioana"}, "--out FILE"},
		"no signer":       {[]string{"bundle", "sign-off", id, "--expect-version", "0"}, "--key FILE"},
		"bad settings":    {[]string{"settings", "check", h.path("bad/f.jsonc")}, "service: unknown key"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(h.fails(cli.ExitUsage, c.argv...), c.want))
		})
	}
	is.True(strings.Contains(h.ok("bundle", "status"), "no bundle has been accepted yet"))
}

func TestKeysAndSettingsWorkTogether(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	entry := h.ok("key", "generate", "--name", "driss", "--out", h.path("driss.key"))
	info, err := os.Stat(h.path("driss.key"))
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	entry = entry[strings.Index(entry, `{"name"`):]
	text := `{ "node": { "id": "a", "dataCentre": "d", "region": "r" },
		"platform": { "url": "` + h.platform.URL() + `", "mesh": "desk" },
		"mesh": { "address": "127.0.0.1:7100" }, "inbound": { "address": "127.0.0.1:7101" },
		"operators": [` + entry + `] }`
	is.NoErr(os.WriteFile(h.path("node.jsonc"), []byte(text), 0o600))
	h.ok("settings", "check", h.path("node.jsonc"))

	id := h.prepare()
	stderr := h.fails(cli.ExitFailed, append(h.signOff(id, "0", "ioana"), "--settings", h.path("node.jsonc"))...)
	is.True(strings.Contains(stderr, "is not trusted"))
	h.ok(append(h.signOff(id, "0", "driss"), "--settings", h.path("node.jsonc"))...)
	is.True(strings.Contains(h.ok("bundle", "status", "--settings", h.path("node.jsonc")), "signature good"))
	is.True(strings.Contains(h.ok("bundle", "status"), "signature not checked"))
}

func TestWithdrawnBundleMustBePreparedAgain(t *testing.T) {
	h := newHarness(t)
	id := h.prepare()
	h.ok("bundle", "withdraw", id)
	h.fails(cli.ExitFailed, h.signOff(id, "0", "ioana")...)
	h.prepare()
	h.ok(h.signOff(id, "0", "ioana")...)
	h.fails(cli.ExitFailed, "bundle", "withdraw", id)
}

// report writes the roll-out of a data centre as a node does.
func (h *harness) report(p rollout.Progress) {
	h.t.Helper()
	is := is.New(h.t)
	value, err := json.Marshal(p)
	is.NoErr(err)
	key := platform.Key{Collection: "desk/" + platform.CollectionStatuses, Name: string(p.DataCentre)}
	o, _ := h.platform.Store().Get(h.t.Context(), key)
	_, err = h.platform.Store().Put(h.t.Context(), key, value, o.Revision)
	is.NoErr(err)
}

func TestRollNamesWhoIsBehind(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ok(h.signOff(h.prepare(), "0", "ioana")...)
	stderr := h.fails(cli.ExitBehind, "bundle", "roll", "--timeout", "10ms")
	is.True(strings.Contains(stderr, "0 of 0 nodes"))

	whole := rollout.Progress{DataCentre: "cluj-1", Version: 1, Members: 3, Applied: 3, Time: time.Now()}
	behind := rollout.Progress{DataCentre: "cluj-2", Version: 1, Members: 2, Applied: 1, Time: time.Now(),
		Laggards: []rollout.Laggard{{Node: "cluj-2-b", Version: model.Version(0), Reason: "bundle: bad signature"}}}
	h.report(whole)
	h.report(behind)
	code, stdout, _ := h.run("bundle", "roll", "--timeout", "200ms")
	is.Equal(code, cli.ExitBehind)
	is.True(strings.Contains(stdout, "node cluj-2-b is on version 0: bundle: bad signature"))
	is.True(!strings.Contains(stdout, "cluj-1:"))

	behind.Applied = 2
	h.report(behind)
	is.True(strings.Contains(h.ok("bundle", "roll"), "version 1 is in force on all 5 nodes"))
	code, stdout, _ = h.run("bundle", "roll", "--timeout", "200ms", "--data-centres", "cluj-1", "cluj-3")
	is.Equal(code, cli.ExitBehind)
	is.True(strings.Contains(stdout, "data centre cluj-3 has not reported"))

	h.report(rollout.Progress{DataCentre: "cluj-2", Version: 0, Members: 2, Applied: 2, Time: time.Now()})
	h.fails(cli.ExitBehind, "bundle", "roll", "--timeout", "200ms", "--json")
}

func TestEveryCommandShowsAnExample(t *testing.T) {
	for _, argv := range []string{
		"bundle check", "bundle prepare", "bundle sign-off", "bundle roll", "bundle status", "bundle history",
		"bundle diff", "bundle show", "bundle withdraw", "bundle reference", "key generate", "settings check", "settings reference", "platform",
	} {
		t.Run(argv, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			code := cli.Run(t.Context(), append(strings.Fields(argv), "--help"), cli.Env{Stdout: &out, Stderr: &out})
			is.Equal(code, cli.ExitOK)
			is.True(strings.Contains(out.String(), "\nExample:\n  tarragondrum "+argv))
		})
	}
}

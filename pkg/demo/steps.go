package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/google/uuid"

	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// Exit codes of the commands that the story expects.
const (
	exitOK       = 0
	exitUsage    = 2
	exitConflict = 3
)

// ErrStep is returned when a step could not be taken.
var ErrStep = errors.New("demo: step failed")

var bundleID = regexp.MustCompile(`\b[0-9a-f]{64}\b`)

func (t *teller) steps() []func(context.Context) error {
	return []func(context.Context) error{
		t.callWithoutBundle,
		t.acceptFirst,
		t.callEveryClass,
		t.sendOrderTwice,
		t.refuseBadBundle,
		t.raceSignOff,
		t.drainUnderLoad,
		t.platformOutage,
	}
}

// makeKeys makes the operators' keys and returns their entries for the settings.
func (t *teller) makeKeys(ctx context.Context) ([]settings.Operator, error) {
	var operators []settings.Operator
	for _, name := range t.story.operators {
		var out bytes.Buffer
		if code := t.options.Command(ctx, &out, "key", "generate", "--name", name, "--out", t.keyFile(name)); code != exitOK {
			return nil, fmt.Errorf("key generate: exit code %d: %s: %w", code, out.String(), ErrStep)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		var o settings.Operator
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &o); err != nil {
			return nil, fmt.Errorf("entry of %s: %w", name, err)
		}
		operators = append(operators, o)
	}
	return operators, nil
}

func (t *teller) keyFile(name string) string { return filepath.Join(t.dir, name+".key") }

// run runs a command against the stand-in platform, shows it, and returns its
// output and exit code.
func (t *teller) run(ctx context.Context, argv ...string) (string, int) {
	t.say("   $ tarragondrum %s", strings.ReplaceAll(strings.Join(argv, " "), t.dir+string(os.PathSeparator), ""))
	var out bytes.Buffer
	if argv[0] == "bundle" {
		argv = append(argv, "--platform", t.mesh.Platform.URL(), "--mesh", t.story.deployment.Name)
	}
	code := t.options.Command(ctx, &out, argv...)
	for _, line := range strings.Split(strings.TrimRight(out.String(), "\n"), "\n") {
		t.say("     %s", strings.ReplaceAll(line, t.dir+string(os.PathSeparator), ""))
	}
	return out.String(), code
}

// prepare prepares the folder and returns the bundle id.
func (t *teller) prepare(ctx context.Context, who, why string) (string, error) {
	out, code := t.run(ctx, "bundle", "prepare", t.bundleDir(), "--as", who, "--reason", why)
	if code != exitOK {
		return "", fmt.Errorf("bundle prepare: exit code %d: %w", code, ErrStep)
	}
	ids := bundleID.FindAllString(out, -1)
	if len(ids) == 0 {
		return "", fmt.Errorf("bundle prepare printed no id: %w", ErrStep)
	}
	return ids[len(ids)-1], nil
}

func (t *teller) signOff(ctx context.Context, id, who string, expect model.Version) int {
	_, code := t.run(ctx, "bundle", "sign-off", id, "--expect-version", fmt.Sprint(expect), "--key", t.keyFile(who), "--as", who)
	return code
}

// roll follows the roll-out and checks that every node has the version.
func (t *teller) roll(ctx context.Context, v model.Version) error {
	_, code := t.run(ctx, "bundle", "roll", "--version", fmt.Sprint(v), "--timeout", stepTimeout.String())
	t.promise(code == exitOK, "version %d is in force on every node", v)
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.mesh.WaitApplied(ctx, v)
}

func (t *teller) bundleDir() string { return filepath.Join(t.dir, "example", "bundle") }

// call sends one call to the host with the given index, counted round.
func (t *teller) call(ctx context.Context, host int, c localmesh.Call) localmesh.Answer {
	h := t.mesh.Hosts[host%len(t.mesh.Hosts)]
	a, err := t.caller.Do(ctx, h.InboundURL(), c)
	if err != nil {
		a = localmesh.Answer{Body: err.Error(), Effect: reason.Unknown}
	}
	return a
}

func (t *teller) callWithoutBundle(ctx context.Context) error {
	t.title("A caller comes before any bundle is in force")
	c := t.story.calls[0].call
	a := t.call(ctx, 0, c)
	t.say("   %s %s: %s", c.Method, c.Path, a)
	t.promise(a.Reason == reason.NoBundle && a.Effect == reason.NotRun, "it is refused as not run")
	return nil
}

func (t *teller) acceptFirst(ctx context.Context) error {
	first, second := t.story.operators[0], t.story.operators[1]
	t.title("%s prepares the bundle, %s signs it off, and it rolls to every node", second, first)
	id, err := t.prepare(ctx, second, "first bundle")
	if err != nil {
		return err
	}
	again, err := t.prepare(ctx, second, "first bundle")
	if err != nil {
		return err
	}
	t.promise(id == again, "preparing twice gives the same id")
	if code := t.signOff(ctx, id, first, 0); code != exitOK {
		return fmt.Errorf("bundle sign-off: exit code %d: %w", code, ErrStep)
	}
	return t.roll(ctx, 1)
}

func (t *teller) callEveryClass(ctx context.Context) error {
	t.title("Callers of every class, each through another node")
	for i, c := range t.story.calls {
		a := t.call(ctx, i, c.call)
		t.say("   %-11s %s %s: %s", c.name, c.call.Method, c.call.Path, a)
		t.promise(a.Good(), "the %s call is answered", c.name)
	}
	n := t.story.nested
	outbound := "http://" + t.mesh.Hosts[0].Settings.Outbound.Address
	a, err := t.caller.Do(ctx, outbound, n.call)
	if err != nil {
		return err
	}
	t.say("   %-11s %s %s from an upstream through its node: %s", n.name, n.call.Method, n.call.Path, a)
	t.promise(a.Good(), "the internal call is answered")
	outside := t.call(ctx, 0, n.call)
	t.say("   %-11s the same from outside: %s", n.name, outside)
	t.promise(outside.Reason == reason.NoRoute, "callers outside do not reach internal routes")
	return nil
}

func (t *teller) sendOrderTwice(ctx context.Context) error {
	t.title("An order is sent three times with one key, through different nodes")
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	before := t.history.Check().Runs
	c := t.story.order
	c.Key = key.String()
	for i := range 3 {
		a := t.sendOrder(ctx, i*2, c)
		t.say("   POST %s through %s: %s", c.Path, t.mesh.Hosts[i*2].Settings.Node.ID, a)
		t.promise(a.Good(), "the caller gets the answer")
	}
	other := c
	other.Body = "something else"
	a := t.call(ctx, 1, other)
	t.say("   the same key with another body: %s", a)
	t.promise(a.Reason == reason.KeyReused, "it is refused")
	report := t.history.Check()
	runs := report.Runs - before
	t.promise(runs == 1 && !report.Broken(), "the order ran once (%d runs of %d sendings)", runs, report.Attempts)
	return nil
}

// sendOrder sends an order and notes it for the history checker.
func (t *teller) sendOrder(ctx context.Context, host int, c localmesh.Call) localmesh.Answer {
	id := uuid.NewString()
	c.Header = map[string]string{attemptHeader: id}
	a := t.call(ctx, host, c)
	t.history.Answered(history.Attempt{
		ID: id, Key: c.Key, Intent: c.Key, Effect: effectOf(a), Replayed: a.Replayed, Body: a.Body,
	})
	return a
}

// effectOf returns what the caller knows about a call that it sent.
func effectOf(a localmesh.Answer) reason.Effect {
	if a.Effect == "" && a.Good() {
		return reason.Run
	}
	return a.Effect
}

func (t *teller) refuseBadBundle(ctx context.Context) error {
	t.title("A bundle with a dangling route is refused whole")
	file := filepath.Join(t.bundleDir(), "routes.jsonc")
	good, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read routes: %w", err)
	}
	bad := strings.Replace(string(good), `"service": "`, `"service": "no-such-`, 1)
	if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
		return fmt.Errorf("write routes: %w", err)
	}
	_, code := t.run(ctx, "bundle", "prepare", t.bundleDir(), "--as", t.story.operators[0])
	t.promise(code == exitUsage, "prepare names file, line and key, and stores nothing")
	t.promise(t.everyNodeAt(1), "every node keeps version 1")
	if err := os.WriteFile(file, good, 0o600); err != nil {
		return fmt.Errorf("write routes: %w", err)
	}
	return nil
}

func (t *teller) everyNodeAt(v model.Version) bool {
	for _, h := range t.mesh.Hosts {
		if h.Node.Applied() != v {
			return false
		}
	}
	return true
}

func (t *teller) raceSignOff(ctx context.Context) error {
	first, second := t.story.operators[0], t.story.operators[1]
	t.title("Noon: %s and %s both sign off a change on top of version 1", first, second)
	file := filepath.Join(t.bundleDir(), "services.jsonc")
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read services: %w", err)
	}
	changed := strings.Replace(string(raw), `"warmup": "10s"`, `"warmup": "2s"`, 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		return fmt.Errorf("write services: %w", err)
	}
	id, err := t.prepare(ctx, first, "shorter warm-up")
	if err != nil {
		return err
	}
	if code := t.signOff(ctx, id, first, 1); code != exitOK {
		return fmt.Errorf("bundle sign-off: exit code %d: %w", code, ErrStep)
	}
	code := t.signOff(ctx, id, second, 1)
	t.promise(code == exitConflict, "%s is told who was first, which version and when", second)
	if err := t.roll(ctx, 2); err != nil {
		return err
	}
	t.run(ctx, "bundle", "history")
	return nil
}

func (t *teller) platformOutage(ctx context.Context) error {
	t.title("The platform goes down; calls and the handover go on")
	if _, code := t.run(ctx, "handover", "--admin", t.mesh.Hosts[0].AdminURL()); code != exitOK {
		return fmt.Errorf("handover: exit code %d: %w", code, ErrStep)
	}
	down := true
	if err := t.mesh.Platform.Apply(standin.Faults{Down: &down}); err != nil {
		return fmt.Errorf("switch the platform off: %w", err)
	}
	c := t.story.calls[0].call
	answered := 0
	for i := range t.mesh.Hosts {
		a := t.call(ctx, i, c)
		if a.Good() {
			answered++
			continue
		}
		t.say("   through node %d: %s %s", i, a, a.Body)
	}
	t.promise(answered == len(t.mesh.Hosts), "%d of %d nodes answer while the platform is down", answered, len(t.mesh.Hosts))
	out, code := t.run(ctx, "handover", "--admin", t.mesh.Hosts[1].AdminURL())
	t.promise(code == exitOK && strings.Contains(out, "version 2"), "another node tells what is in force and how old its answer is")
	down = false
	if err := t.mesh.Platform.Apply(standin.Faults{Down: &down}); err != nil {
		return fmt.Errorf("switch the platform on: %w", err)
	}
	return nil
}

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// Exit codes that the demo expects of the commands.
const (
	exitOK       = 0
	exitUsage    = 2
	exitConflict = 3
)

// outageTime is how long the store is unavailable before the handover is requested.
const outageTime = 1500 * time.Millisecond

// ErrStep is returned if a step could not be carried out, so that the demo cannot go on.
var ErrStep = errors.New("demo: step failed")

// bundleID matches the id of a bundle in the output of a command.
var bundleID = regexp.MustCompile(`\b[0-9a-f]{64}\b`)

// steps returns the steps of a scenario in their order.
func (r *runner) steps() []func(context.Context) error {
	return []func(context.Context) error{
		r.callWithoutBundle,
		r.acceptFirst,
		r.callEveryClass,
		r.resetOrderConnection,
		r.refuseBadBundle,
		r.raceSignOff,
		r.leaveUnderLoad,
		r.stopUnderLoad,
		r.storeOutage,
	}
}

// makeKeys generates the operators' keys and returns their entries for the settings.
func (r *runner) makeKeys(ctx context.Context) ([]bundle.Operator, error) {
	var operators []bundle.Operator
	for _, name := range r.scenario.operators {
		var out bytes.Buffer
		if code := r.options.Command(ctx, &out, "key", "generate", "--name", name, "--out", r.keyFile(name)); code != exitOK {
			return nil, fmt.Errorf("key generate: exit code %d: %s: %w", code, out.String(), ErrStep)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		var o bundle.Operator
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &o); err != nil {
			return nil, fmt.Errorf("decode settings entry of operator %s: %w", name, err)
		}
		operators = append(operators, o)
	}
	return operators, nil
}

func (r *runner) keyFile(name string) string { return filepath.Join(r.dir, name+".key") }

// run runs a command, prints it with its output, and returns the output and the exit
// code. Commands about bundles get the settings of the first node.
func (r *runner) run(ctx context.Context, argv ...string) (string, int) {
	r.printf("   $ tarragondrum %s", r.trimDir(strings.Join(argv, " ")))
	var out bytes.Buffer
	if argv[0] == "bundle" {
		argv = append(argv, "--settings", r.mesh.Hosts[0].SettingsFile)
	}
	code := r.options.Command(ctx, &out, argv...)
	for _, line := range strings.Split(strings.TrimRight(out.String(), "\n"), "\n") {
		r.printf("     %s", r.trimDir(line))
	}
	return out.String(), code
}

// trimDir removes the path of the temporary folder from a line.
func (r *runner) trimDir(line string) string {
	return strings.ReplaceAll(line, r.dir+string(os.PathSeparator), "")
}

// prepare prepares the bundle folder and returns the bundle id.
func (r *runner) prepare(ctx context.Context, operator, reason string) (string, error) {
	out, code := r.run(ctx, "bundle", "prepare", r.bundleDir(), "--as", operator, "--reason", reason)
	if code != exitOK {
		return "", fmt.Errorf("bundle prepare: exit code %d: %w", code, ErrStep)
	}
	ids := bundleID.FindAllString(out, -1)
	if len(ids) == 0 {
		return "", fmt.Errorf("bundle prepare printed no id: %w", ErrStep)
	}
	return ids[len(ids)-1], nil
}

// signOff signs off a bundle and returns the exit code.
func (r *runner) signOff(ctx context.Context, id, operator string, expect model.Version) int {
	_, code := r.run(ctx, "bundle", "sign-off", id, "--expect-version", fmt.Sprint(expect), "--key", r.keyFile(operator), "--as", operator)
	return code
}

// roll waits for the roll-out and checks that every node has applied the version.
func (r *runner) roll(ctx context.Context, v model.Version) {
	_, code := r.run(ctx, "bundle", "roll", "--version", fmt.Sprint(v), "--timeout", stepTimeout.String(),
		"--node", r.mesh.Hosts[1].OperatorURL(), "--nodes", fmt.Sprint(len(r.mesh.Hosts)))
	r.check(code == exitOK && r.everyNodeAt(v), "version %d is in force on every node", v)
}

func (r *runner) bundleDir() string { return filepath.Join(r.dir, "example", "bundle") }

// call sends a request through the host with the given index modulo the number of hosts.
func (r *runner) call(ctx context.Context, host int, q localmesh.Request) localmesh.Response {
	return r.mesh.Hosts[host%len(r.mesh.Hosts)].Call(ctx, q)
}

// callWithoutBundle checks that requests are refused with a retry time as long as no
// version is in force.
func (r *runner) callWithoutBundle(ctx context.Context) error {
	r.title("A caller sends a request before any version is in force")
	q := r.scenario.calls[0].request
	a := r.call(ctx, 0, q)
	r.printf("   %s %s: %s", q.Method, q.Path, &a)
	r.check(a.Status == http.StatusServiceUnavailable && a.RetryAfter != "", "it is refused as not run, with a Retry-After header")
	return nil
}

// acceptFirst puts the first bundle in force.
func (r *runner) acceptFirst(ctx context.Context) error {
	first, second := r.scenario.operators[0], r.scenario.operators[1]
	r.title("%s prepares the bundle, %s signs it off, and it is rolled out to every node", second, first)
	id, err := r.prepare(ctx, second, "first bundle")
	if err != nil {
		return err
	}
	again, err := r.prepare(ctx, second, "first bundle")
	if err != nil {
		return err
	}
	r.check(id == again, "preparing twice gives the same id")
	if code := r.signOff(ctx, id, first, 0); code != exitOK {
		return fmt.Errorf("bundle sign-off: exit code %d: %w", code, ErrStep)
	}
	r.roll(ctx, 1)
	return nil
}

// callEveryClass sends a request of each class, and one that no route matches.
func (r *runner) callEveryClass(ctx context.Context) error {
	r.title("Requests of every class, each through another node")
	for i, c := range r.scenario.calls {
		a := r.call(ctx, i, c.request)
		r.printf("   %-11s %s %s: %s", c.name, c.request.Method, c.request.Path, &a)
		r.check(a.IsSignedOK(), "the %s request is answered", c.name)
	}
	a := r.call(ctx, 0, localmesh.Request{Method: http.MethodGet, Host: r.scenario.calls[0].request.Host, Path: "/nothing/here"})
	r.check(a.Status == http.StatusNotFound, "a request without a route gets 404")
	return nil
}

// resetOrderConnection checks that an order is not retried after the upstream ran it and
// reset the connection, and that the answer tells whether the order can have run.
func (r *runner) resetOrderConnection(ctx context.Context) error {
	r.title("The upstreams run an order and reset its connection; then they shed orders")
	r.setBehaviour(standin.Behaviour{Reset: true})
	a := r.call(ctx, 1, r.scenario.order)
	r.printf("   %s %s: %s", r.scenario.order.Method, r.scenario.order.Path, &a)
	r.check(a.Status == http.StatusBadGateway && r.mesh.ExecutionCount(a.ID) == 1, "it ran once, is not retried, and the answer leaves open whether it ran")
	r.setBehaviour(standin.Behaviour{ShedAll: true})
	a = r.call(ctx, 1, r.scenario.order)
	r.printf("   %s %s: %s", r.scenario.order.Method, r.scenario.order.Path, &a)
	r.check(a.Status == http.StatusServiceUnavailable && r.mesh.ExecutionCount(a.ID) == 0, "it did not run, and the answer says that")
	r.setBehaviour(standin.Behaviour{})
	a = r.call(ctx, 1, r.scenario.order)
	r.check(a.IsSignedOK() && r.mesh.ExecutionCount(a.ID) == 1, "the next one runs once and is answered")
	return nil
}

// setBehaviour changes the behaviour of all stand-in upstreams.
func (r *runner) setBehaviour(b standin.Behaviour) {
	b.Work = upstreamWork
	for _, h := range r.mesh.Hosts {
		h.Upstream.SetBehaviour(b)
	}
}

// refuseBadBundle checks that a bundle with a route to an unknown service is refused and
// changes nothing.
func (r *runner) refuseBadBundle(ctx context.Context) error {
	r.title("A bundle with a route to an unknown service is refused as a whole")
	file := filepath.Join(r.bundleDir(), "routes.jsonc")
	good, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read routes: %w", err)
	}
	bad := strings.Replace(string(good), `"service": "`, `"service": "no-such-`, 1)
	if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
		return fmt.Errorf("write routes: %w", err)
	}
	_, code := r.run(ctx, "bundle", "prepare", r.bundleDir(), "--as", r.scenario.operators[0])
	r.check(code == exitUsage, "prepare names file, line and key, and stores nothing")
	r.check(r.everyNodeAt(1), "every node keeps version 1")
	if err := os.WriteFile(file, good, 0o600); err != nil {
		return fmt.Errorf("write routes: %w", err)
	}
	return nil
}

// everyNodeAt reports whether every node has applied version v.
func (r *runner) everyNodeAt(v model.Version) bool {
	for _, h := range r.mesh.Hosts {
		if h.Node.Report().Version != v {
			return false
		}
	}
	return true
}

// raceSignOff lets both operators sign off on top of the same version and checks that the
// second one gets a conflict.
func (r *runner) raceSignOff(ctx context.Context) error {
	first, second := r.scenario.operators[0], r.scenario.operators[1]
	r.title("%s and %s both sign off a change on top of version 1", first, second)
	file := filepath.Join(r.bundleDir(), "services.jsonc")
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read services: %w", err)
	}
	changed := strings.Replace(string(raw), `"timeout": "1500ms"`, `"timeout": "1400ms"`, 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		return fmt.Errorf("write services: %w", err)
	}
	id, err := r.prepare(ctx, first, "less time")
	if err != nil {
		return err
	}
	if code := r.signOff(ctx, id, first, 1); code != exitOK {
		return fmt.Errorf("bundle sign-off: exit code %d: %w", code, ErrStep)
	}
	code := r.signOff(ctx, id, second, 1)
	r.check(code == exitConflict, "%s gets a conflict that names the winner, the version and the time", second)
	r.roll(ctx, 2)
	r.run(ctx, "bundle", "history")
	return nil
}

// hostOf returns the first host of a service, or the first of all hosts if the service
// has none.
func (r *runner) hostOf(service string) *localmesh.Host {
	for _, h := range r.mesh.Hosts {
		if h.Service == service {
			return h
		}
	}
	return r.mesh.Hosts[0]
}

// leaveUnderLoad checks that an upstream can leave without failed requests, and gets none
// after its departure is acknowledged.
func (r *runner) leaveUnderLoad(ctx context.Context) error {
	h := r.hostOf(r.scenario.service)
	r.title("%s of %s leaves the mesh while %d callers send requests", h.Upstream.ID, h.Service, callers)
	load := r.startLoad(ctx)
	err := h.AnnounceDraining()
	before, _ := h.Upstream.Seen()
	load.stop()
	after, _ := h.Upstream.Seen()
	r.check(err == nil, "its departure is acknowledged")
	r.reportLoad(load)
	r.check(len(after) == len(before), "it gets no request afterwards")
	return nil
}

// stopUnderLoad checks that a node can be restarted without failed requests through the
// other nodes.
func (r *runner) stopUnderLoad(ctx context.Context) error {
	h := r.mesh.Hosts[len(r.mesh.Hosts)-1]
	r.title("The node %s is stopped and started again while %d callers send requests through the others", h.Name, callers)
	load := r.startLoad(ctx, h)
	h.Node.Stop()
	err := h.Start()
	load.stop()
	r.reportLoad(load)
	return err
}

// storeOutage checks that requests and the handover keep working while the store is
// unavailable.
func (r *runner) storeOutage(ctx context.Context) error {
	r.title("The store becomes unavailable; requests and the handover keep working")
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := r.mesh.WaitReady(ctx); err != nil {
		return err
	}
	r.mesh.Store.SetFaults("", standin.Faults{Status: http.StatusServiceUnavailable})
	q := r.scenario.calls[0].request
	answered := 0
	for i := range r.mesh.Hosts {
		a := r.call(ctx, i, q)
		if a.IsSignedOK() {
			answered++
			continue
		}
		r.printf("   through %s: %s", r.mesh.Hosts[i].Name, &a)
	}
	r.check(answered == len(r.mesh.Hosts), "%d of %d nodes answer while the store is unavailable", answered, len(r.mesh.Hosts))
	time.Sleep(outageTime)
	out, code := r.run(ctx, "handover", "--node", r.mesh.Hosts[1].OperatorURL())
	r.check(code == exitOK && strings.Contains(out, "version 2") && strings.Contains(out, r.scenario.operators[0]),
		"a node reports what is in force and who accepted it")
	r.mesh.Store.SetFaults("", standin.Faults{})
	return nil
}

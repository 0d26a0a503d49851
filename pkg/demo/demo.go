// Package demo demonstrates the whole system in one process on loopback addresses. Two
// operators prepare, sign off and roll out bundles to the nodes of the example
// deployments, callers send requests of every class, and failures are injected. Each step
// checks the guarantees of the system, and the demo returns an error if one is violated.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// ErrCheckFailed is returned if at least one check of the demo failed.
var ErrCheckFailed = errors.New("demo: a check failed")

const (
	// stepTimeout bounds the time for which one step waits for the mesh.
	stepTimeout = 20 * time.Second
	// upstreamWork is the service time of a request at the stand-in upstreams.
	upstreamWork = 5 * time.Millisecond
)

// Options configures the demo.
type Options struct {
	// Examples is the file system with the example deployments.
	Examples fs.FS
	// Command runs one tarragondrum command, writes its output to w, and returns
	// its exit code.
	Command func(ctx context.Context, w io.Writer, argv ...string) int
	// Out receives the output of the demo, LogWriter the logs of the nodes.
	Out       io.Writer
	LogWriter io.Writer
	// Stay leaves the last mesh running until ctx is done.
	Stay bool
}

// Run runs the demo on both example deployments, one after the other.
func Run(ctx context.Context, o Options) error {
	for i, s := range scenarios() {
		last := i == len(scenarios())-1
		if err := runScenario(ctx, o, s, byte(firstBlock+i), last); err != nil {
			return fmt.Errorf("%s: %w", s.deployment.Name, err)
		}
	}
	return nil
}

// firstBlock is the second octet of the loopback addresses of the first mesh. Each
// further mesh uses the next number.
const firstBlock = 61

// runner holds the state that the steps of one scenario share.
type runner struct {
	options  Options
	scenario scenario
	dir      string
	mesh     *localmesh.Mesh
	// failures are the descriptions of the failed checks.
	failures []string
	// step is the number of the current step in the output.
	step int
}

// runScenario runs one scenario in a temporary folder. last marks the scenario whose mesh
// Options.Stay keeps running.
func runScenario(ctx context.Context, o Options, s scenario, block byte, last bool) (err error) {
	dir, err := os.MkdirTemp("", "tarragondrum-demo-")
	if err != nil {
		return fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r := &runner{options: o, scenario: s, dir: dir}
	if err := r.prepareFiles(); err != nil {
		return err
	}
	if err := r.startMesh(ctx, block); err != nil {
		return err
	}
	defer r.mesh.Stop()
	for _, step := range r.steps() {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if o.Stay && last {
		r.stay(ctx)
	}
	return r.result()
}

// prepareFiles copies the example deployment to the temporary folder.
func (r *runner) prepareFiles() error {
	sub, err := fs.Sub(r.options.Examples, r.scenario.deployment.Name)
	if err != nil {
		return fmt.Errorf("open example: %w", err)
	}
	if err := os.CopyFS(filepath.Join(r.dir, "example"), sub); err != nil {
		return fmt.Errorf("copy example: %w", err)
	}
	return nil
}

// startMesh creates the operators' keys, starts the mesh and waits until every node
// knows that all upstreams are ready.
func (r *runner) startMesh(ctx context.Context, block byte) error {
	d := r.scenario.deployment
	r.printf("%s: %d data centres, %d hosts", r.scenario.title, len(d.DataCentres), d.HostCount())
	operators, err := r.makeKeys(ctx)
	if err != nil {
		return err
	}
	r.mesh, err = localmesh.Start(localmesh.Options{
		Deployment: d, AddressBlock: block, Dir: r.dir, Operators: operators, UpstreamWorkTime: upstreamWork,
		Log: func(*localmesh.Host) io.Writer { return r.options.LogWriter },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return r.mesh.WaitUpstreamsReady(ctx)
}

// title prints the heading of the next step.
func (r *runner) title(format string, args ...any) {
	r.step++
	r.printf("\n%d. "+format, append([]any{r.step}, args...)...)
}

// printf prints one line.
func (r *runner) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, format+"\n", args...)
}

// check prints the result of a check and records it as a failure unless ok.
func (r *runner) check(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if ok {
		r.printf("   ok: %s", text)
		return
	}
	r.printf("   FAILED: %s", text)
	r.failures = append(r.failures, text)
}

// result returns an error if a check failed.
func (r *runner) result() error {
	if len(r.failures) == 0 {
		r.printf("\n%s: every check passed", r.scenario.deployment.Name)
		return nil
	}
	return fmt.Errorf("%d failed checks, first %q: %w", len(r.failures), r.failures[0], ErrCheckFailed)
}

// stay prints the addresses of the mesh and waits until ctx is done.
func (r *runner) stay(ctx context.Context) {
	r.printf("\nThe mesh keeps running until interrupted. Store %s", r.mesh.StoreAddress)
	for _, h := range r.mesh.Hosts {
		r.printf("  %-8s %-14s %-10s requests http://%s  metrics %s", h.Name, h.DataCentre, h.Service, h.OutboundAddress(), h.OperatorURL())
	}
	r.printf("Bundle folder, settings and operators' keys: %s", r.dir)
	<-ctx.Done()
}

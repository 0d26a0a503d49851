package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

const (
	// pollInterval is the time between two polls of all nodes.
	pollInterval = 500 * time.Millisecond
	// maxBehindShown is the largest number of nodes behind that are listed for each
	// data centre.
	maxBehindShown = 8
)

// bundleRollCmd waits until every node has applied a version.
type bundleRollCmd struct {
	storeFlags
	nodeFlags
	Version model.Version `arg:"--version" placeholder:"N" help:"version to follow; by default the one in the store, or the newest that any node has where the store is not named or does not answer"`
	Nodes   int           `arg:"--nodes" placeholder:"N" help:"number of nodes that must have it; by default all that are known"`
	Timeout time.Duration `arg:"--timeout" default:"60s" help:"longest time to wait"`
	JSON    bool          `arg:"--json" help:"print the end result as JSON"`
}

func (*bundleRollCmd) example() string {
	return "tarragondrum bundle roll --timeout 30s --node http://127.0.0.1:9464"
}

// rollReport is the state of a roll-out, and its JSON form.
type rollReport struct {
	Version  model.Version       `json:"version"`
	Complete bool                `json:"complete"`
	Nodes    int                 `json:"nodes"`
	Applied  int                 `json:"applied"`
	Progress []handover.Progress `json:"progress"`
}

// incompleteError is a roll-out that did not reach every node within the timeout.
type incompleteError struct{ report rollReport }

func (e *incompleteError) Error() string {
	return fmt.Sprintf("version %d is on %d of %d nodes", e.report.Version, e.report.Applied, e.report.Nodes)
}

// run polls every node directly, so that the result does not depend on the store.
func (c *bundleRollCmd) run(ctx context.Context, env Env) int {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+requestTimeout)
	defer cancel()
	client, err := handover.NewClient()
	if err == nil {
		err = c.resolveVersion(ctx, env)
	}
	if err != nil {
		return env.exit(err)
	}
	report, err := c.follow(ctx, env, client)
	if err == nil {
		err = c.finish(env, report)
	}
	return env.exit(err)
}

// resolveVersion reads from the store which version to follow, and refuses one
// that has not been accepted. Without a store, or while it is unavailable, the
// version stays as given, and 0 means the newest that any node has.
func (c *bundleRollCmd) resolveVersion(ctx context.Context, env Env) error {
	if c.Store == "" && c.Settings == "" {
		return nil
	}
	s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
	head, _, err := bundlestore.ReadHead(ctx, s.store)
	switch {
	case errors.Is(err, objects.ErrUnavailable):
		_, _ = fmt.Fprintf(env.Stderr, "the store is unavailable; following the roll-out by the nodes alone: %v\n", err)
		return nil
	case err != nil:
		return err
	case c.Version > head.Acceptance.Version:
		return usagef("version %d has not been accepted; version %d is in force", c.Version, head.Acceptance.Version)
	case c.Version == 0:
		c.Version = head.Acceptance.Version
	}
	return nil
}

// follow polls the nodes, at least once, until the roll-out is complete or the
// timeout has passed. If no node answers, it prints that and keeps polling.
func (c *bundleRollCmd) follow(ctx context.Context, env Env, client *handover.Client) (rollReport, error) {
	view := newRollView(env, c.JSON)
	defer view.finish()
	timeout := time.After(c.Timeout)
	var report rollReport
	for {
		answers, err := client.ReportAll(ctx, c.Node)
		switch {
		case err == nil:
			report = c.summarize(answers)
			view.show(report)
		case errors.Is(err, handover.ErrNoResponse):
			view.printLine(err.Error())
		default:
			return report, err
		}
		if report.Complete {
			return report, nil
		}
		select {
		case <-time.After(pollInterval):
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		return report, nil
	}
}

// summarize counts the nodes that have applied the version. The roll-out is complete
// when all nodes that answered have it, and at least c.Nodes of them.
func (c *bundleRollCmd) summarize(answers []handover.QueryResult) rollReport {
	version := c.Version
	if version == 0 {
		for _, a := range answers {
			version = max(version, a.Report.Version)
		}
	}
	r := rollReport{Version: version, Progress: handover.Summarize(version, answers)}
	for _, p := range r.Progress {
		r.Nodes += p.Nodes
		r.Applied += p.Applied
	}
	r.Complete = version > 0 && r.Nodes > 0 && r.Applied >= max(r.Nodes, c.Nodes)
	return r
}

// finish prints the end result. It returns an incompleteError if nodes are behind.
func (c *bundleRollCmd) finish(env Env, r rollReport) error {
	if c.JSON {
		if err := env.printJSON(r); err != nil {
			return err
		}
	}
	if r.Complete {
		if !c.JSON {
			env.printf("version %d is in force on all %d nodes\n", r.Version, r.Nodes)
		}
		return nil
	}
	if !c.JSON {
		env.printBehind(r)
	}
	return &incompleteError{report: r}
}

// printBehind lists the nodes behind in each data centre, with the reason.
func (e Env) printBehind(r rollReport) {
	for _, p := range r.Progress {
		if len(p.Behind) == 0 {
			continue
		}
		e.printf("data centre %s: %d of %d nodes on version %d\n", p.DataCentre, p.Applied, p.Nodes, r.Version)
		for i, b := range p.Behind {
			if i == maxBehindShown {
				e.printf("  and %d more\n", len(p.Behind)-i)
				break
			}
			e.printf("  node %s is on version %d: %s\n", b.Node, b.Version, b.Reason)
		}
	}
	if r.Nodes == 0 {
		e.printf("no node has answered\n")
	}
}

// rollView shows the progress of a roll-out: as a progress bar on a terminal, as a line
// for each change on other outputs, and not at all with --json.
type rollView struct {
	env   Env
	quiet bool
	bar   *progressbar.ProgressBar
	last  string
}

func newRollView(env Env, quiet bool) *rollView {
	v := &rollView{env: env, quiet: quiet}
	if f, ok := env.Stdout.(*os.File); ok && !quiet && term.IsTerminal(int(f.Fd())) {
		v.bar = progressbar.NewOptions(1,
			progressbar.OptionSetWriter(env.Stdout),
			progressbar.OptionShowCount(),
			progressbar.OptionSetDescription("nodes"),
			progressbar.OptionSetPredictTime(false))
	}
	return v
}

func (v *rollView) show(r rollReport) {
	if v.bar != nil && r.Nodes > 0 {
		v.bar.ChangeMax(r.Nodes)
		_ = v.bar.Set(r.Applied)
		return
	}
	v.printLine(fmt.Sprintf("version %d: %d of %d nodes in %d data centres", r.Version, r.Applied, r.Nodes, len(r.Progress)))
}

// printLine prints a line unless it is the same as the previous one.
func (v *rollView) printLine(line string) {
	if v.quiet || line == v.last {
		return
	}
	v.last = line
	v.env.printf("%s\n", line)
}

// finish ends the progress bar, if there is one.
func (v *rollView) finish() {
	if v.bar != nil {
		_ = v.bar.Exit()
		v.env.printf("\n")
	}
}

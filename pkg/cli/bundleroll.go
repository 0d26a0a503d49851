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
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// rollInterval is the time between two reads of the roll-out: one list call.
const rollInterval = 500 * time.Millisecond

type bundleRollCmd struct {
	platformFlags
	adminFlags
	Version     model.Version `arg:"--version" placeholder:"N" help:"version to follow; by default the one in force"`
	DataCentres []string      `arg:"--data-centres" placeholder:"NAME" help:"data centres that must report; by default those that ever did"`
	Timeout     time.Duration `arg:"--timeout" default:"60s" help:"longest time to wait"`
	JSON        bool          `arg:"--json" help:"print the end result as JSON"`
}

func (*bundleRollCmd) example() string {
	return "tarragondrum bundle roll --timeout 30s --settings node.jsonc"
}

// rollReport is the state of a roll-out.
type rollReport struct {
	Version  model.Version      `json:"version"`
	Complete bool               `json:"complete"`
	Members  int                `json:"members"`
	Applied  int                `json:"applied"`
	Progress []rollout.Progress `json:"progress"`
	// Missing lists data centres that must report and have not.
	Missing []string `json:"missing"`
}

// behindError is a roll-out that did not end in time.
type behindError struct{ report rollReport }

func (e *behindError) Error() string {
	return fmt.Sprintf("version %d is on %d of %d nodes", e.report.Version, e.report.Applied, e.report.Members)
}

func (c *bundleRollCmd) run(ctx context.Context, env Env) int {
	return c.with(ctx, env, c.Timeout+askTimeout, func(ctx context.Context, s *session) error {
		accepted, err := c.accepted(ctx, s.store)
		if err != nil {
			return err
		}
		version := c.Version
		if version == 0 {
			version = accepted
		}
		if version == 0 || version > accepted {
			return usagef("version %d has not been accepted; version %d is in force", version, accepted)
		}
		report, err := c.follow(ctx, env, s.store, version)
		if err != nil {
			return err
		}
		return c.finish(env, report)
	})
}

// accepted returns the version in force, from a node if the platform is down.
func (c *bundleRollCmd) accepted(ctx context.Context, store platform.Store) (model.Version, error) {
	head, _, err := bundlestore.ReadHead(ctx, store)
	if errors.Is(err, platform.ErrUnavailable) {
		known, err := c.handover(ctx, err)
		return known.InForce.Version, err
	}
	return head.Acceptance.Version, err
}

// progress returns the roll-out and who told of it.
func (c *bundleRollCmd) progress(ctx context.Context, store platform.Store) (list []rollout.Progress, source string, err error) {
	list, err = bundlestore.ReadProgress(ctx, store)
	if errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil {
		known, err := c.handover(ctx, err)
		return known.Progress, "node " + string(known.Node), err
	}
	return list, sourcePlatform, err
}

// follow reads the roll-out, at least once, until it is complete or the timeout
// has passed. While neither the platform nor a node can be read it says so and
// goes on.
func (c *bundleRollCmd) follow(ctx context.Context, env Env, store platform.Store, version model.Version) (rollReport, error) {
	view := newRollView(env, c.JSON)
	report := rollReport{Version: version}
	timeout := time.After(c.Timeout)
	for {
		progress, source, err := c.progress(ctx, store)
		switch {
		case err == nil:
			view.from(source)
			report = summarize(version, progress, c.DataCentres)
			view.show(report)
		case ctx.Err() != nil:
		case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited):
			view.say("neither the platform nor a node can be read: " + err.Error())
		default:
			return report, err
		}
		if report.Complete {
			view.end()
			return report, nil
		}
		select {
		case <-time.After(rollInterval):
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		view.end()
		return report, nil
	}
}

// summarize adds up the data centres. A data centre whose report is of an older
// version counts with all its nodes behind; one of a newer version has passed it.
func summarize(version model.Version, progress []rollout.Progress, required []string) rollReport {
	r := rollReport{Version: version, Progress: progress, Missing: []string{}}
	reported := make(map[string]bool, len(progress))
	for _, p := range progress {
		reported[string(p.DataCentre)] = true
		r.Members += p.Members
		if p.Version >= version {
			r.Applied += p.Applied
		}
	}
	for _, name := range required {
		if !reported[name] {
			r.Missing = append(r.Missing, name)
		}
	}
	r.Complete = r.Members > 0 && r.Applied >= r.Members && len(r.Missing) == 0
	return r
}

// finish prints the end result and says by its error whether nodes are behind.
func (c *bundleRollCmd) finish(env Env, r rollReport) error {
	if c.JSON {
		if err := env.printJSON(r); err != nil {
			return err
		}
	}
	if r.Complete {
		if !c.JSON {
			env.printf("version %d is in force on all %d nodes\n", r.Version, r.Members)
		}
		return nil
	}
	if !c.JSON {
		env.printLaggards(r, time.Now())
	}
	return &behindError{report: r}
}

func (e Env) printLaggards(r rollReport, now time.Time) {
	for _, p := range r.Progress {
		if p.Version >= r.Version && p.Applied >= p.Members {
			continue
		}
		e.printf("%s\n", formatProgress(p, now))
		for _, l := range p.Laggards {
			e.printf("  node %s is on version %d: %s\n", l.Node, l.Version, l.Reason)
		}
		if more := p.Members - p.Applied - len(p.Laggards); more > 0 && p.Version >= r.Version {
			e.printf("  and %d more\n", more)
		}
	}
	for _, name := range r.Missing {
		e.printf("data centre %s has not reported\n", name)
	}
	if len(r.Progress) == 0 {
		e.printf("no data centre has reported\n")
	}
}

// rollView shows the roll-out: a progress bar on a terminal, a line per change
// elsewhere, nothing beside JSON.
type rollView struct {
	env   Env
	quiet bool
	bar   *progressbar.ProgressBar
	last  string
	// source is who told of the roll-out last.
	source string
}

func newRollView(env Env, quiet bool) *rollView {
	v := &rollView{env: env, quiet: quiet, source: sourcePlatform}
	if f, ok := env.Stdout.(*os.File); ok && !quiet && term.IsTerminal(int(f.Fd())) {
		v.bar = progressbar.NewOptions(1,
			progressbar.OptionSetWriter(env.Stdout),
			progressbar.OptionShowCount(),
			progressbar.OptionSetDescription("nodes"),
			progressbar.OptionSetPredictTime(false))
	}
	return v
}

// from says when the roll-out is told by somebody else than before.
func (v *rollView) from(source string) {
	if source == v.source {
		return
	}
	v.source = source
	if source == sourcePlatform {
		v.say("the platform answers again")
		return
	}
	v.say("the platform does not answer; following what " + source + " knows")
}

func (v *rollView) show(r rollReport) {
	if v.bar != nil && r.Members > 0 {
		v.bar.ChangeMax(r.Members)
		_ = v.bar.Set(r.Applied)
		return
	}
	v.say(fmt.Sprintf("version %d: %d of %d nodes in %d data centres", r.Version, r.Applied, r.Members, len(r.Progress)))
}

// say prints a line unless it is the same as the last one.
func (v *rollView) say(line string) {
	if v.quiet || line == v.last {
		return
	}
	v.last = line
	v.env.printf("%s\n", line)
}

func (v *rollView) end() {
	if v.bar != nil {
		_ = v.bar.Exit()
		v.env.printf("\n")
	}
}

package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/source"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// bundleCheckCmd validates a bundle folder without access to the store.
type bundleCheckCmd struct {
	Dir  string `arg:"positional,required" help:"folder of the bundle"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

func (*bundleCheckCmd) example() string { return "tarragondrum bundle check examples/cluj/bundle" }

func (c *bundleCheckCmd) run(_ context.Context, env Env) int {
	b, faults := source.Load(c.Dir)
	return env.reportCheck(faults, c.JSON, fmt.Sprintf("%d services and %d routes are valid", len(b.Services), len(b.Routes)))
}

// bundleReferenceCmd prints the reference of the bundle files.
type bundleReferenceCmd struct{}

func (*bundleReferenceCmd) example() string {
	return "tarragondrum bundle reference > docs/BUNDLE.md"
}

func (*bundleReferenceCmd) run(_ context.Context, env Env) int {
	env.printf("%s", source.Reference())
	return ExitOK
}

// checkReport is the JSON form of the faults that a check found.
type checkReport struct {
	Faults []bundle.Fault `json:"faults"`
}

// reportCheck prints the result of a check, which is validText if there are no faults,
// and returns the exit code.
func (e Env) reportCheck(faults []bundle.Fault, asJSON bool, validText string) int {
	if asJSON {
		if err := e.printJSON(checkReport{Faults: append([]bundle.Fault{}, faults...)}); err != nil {
			return e.fail(ExitFailed, err)
		}
		if len(faults) > 0 {
			return ExitUsage
		}
		return ExitOK
	}
	if len(faults) > 0 {
		return e.exit(&faultsError{faults: faults})
	}
	e.printf("%s\n", validText)
	return ExitOK
}

// bundlePrepareCmd stores a bundle, which takes effect only once it is signed off.
type bundlePrepareCmd struct {
	storeFlags
	Dir         string        `arg:"positional" help:"folder of the bundle"`
	FromVersion model.Version `arg:"--from-version" placeholder:"N" help:"prepare the content of an older version instead of a folder"`
	As          string        `arg:"--as,env:TARRAGONDRUM_OPERATOR" placeholder:"NAME" help:"name of the operator who prepares"`
	Reason      string        `arg:"--reason" help:"why, shown to whoever signs off"`
	JSON        bool          `arg:"--json" help:"print JSON"`
}

func (*bundlePrepareCmd) example() string {
	return `tarragondrum bundle prepare examples/cluj/bundle --as ioana --reason "open the forestry route" --settings node.jsonc`
}

// prepareReport is the JSON form of the result of bundlePrepareCmd. Changes compares the
// bundle with the version in force.
type prepareReport struct {
	Bundle   bundle.ID       `json:"bundle"`
	Services int             `json:"services"`
	Routes   int             `json:"routes"`
	InForce  model.Version   `json:"inForce"`
	Changes  []bundle.Change `json:"changes"`
}

func (c *bundlePrepareCmd) run(ctx context.Context, env Env) int {
	if (c.Dir == "") == (c.FromVersion == 0) {
		return env.exit(usagef("give either a folder or --from-version"))
	}
	if c.As == "" {
		return env.exit(usagef("name the operator who prepares: --as NAME"))
	}
	var b bundle.Bundle
	if c.Dir != "" {
		var faults []bundle.Fault
		if b, faults = source.Load(c.Dir); len(faults) > 0 {
			return env.reportCheck(faults, c.JSON, "")
		}
	}
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		if c.FromVersion > 0 {
			var err error
			if _, b, err = s.load(ctx, fmt.Sprintf("v%d", c.FromVersion)); err != nil {
				return err
			}
			if err := bundle.Check(&b); err != nil {
				return &usageError{err: err}
			}
		}
		report, err := c.prepare(ctx, s, &b)
		if err != nil {
			return err
		}
		return c.print(env, report)
	})
}

// prepare saves the bundle with the version in force as its parent.
func (c *bundlePrepareCmd) prepare(ctx context.Context, s *session, b *bundle.Bundle) (prepareReport, error) {
	head, _, err := bundlestore.ReadHead(ctx, s.store)
	if err != nil {
		return prepareReport{}, err
	}
	var inForce bundle.Bundle
	if head.Acceptance.Bundle != "" {
		if inForce, err = bundlestore.Load(ctx, s.store, head.Acceptance.Bundle); err != nil {
			return prepareReport{}, err
		}
	}
	now := time.Now()
	id, err := bundlestore.Save(ctx, s.store, b, bundlestore.Meta{
		Preparer:      c.As,
		Time:          now.UTC().Truncate(time.Second),
		Reason:        c.Reason,
		Parent:        head.Acceptance.Bundle,
		ParentVersion: head.Acceptance.Version,
	})
	if err != nil {
		return prepareReport{}, err
	}
	// Each prepare command also prunes old bundles. An error is ignored, since the next
	// prepare command prunes again.
	_, _ = bundlestore.Prune(ctx, s.store, bundlestore.DefaultRetention, now)
	return prepareReport{
		Bundle:   id,
		Services: len(b.Services),
		Routes:   len(b.Routes),
		InForce:  head.Acceptance.Version,
		Changes:  bundle.Changes(&inForce, b),
	}, nil
}

func (c *bundlePrepareCmd) print(env Env, r prepareReport) error {
	if c.JSON {
		return env.printJSON(r)
	}
	env.printf("bundle %s is prepared: %d services, %d routes\n", r.Bundle, r.Services, r.Routes)
	env.printChanges(fmt.Sprintf("version %d in force", r.InForce), r.Changes)
	env.printf("to put it in force:\n  tarragondrum bundle sign-off %.*s --expect-version %d --key FILE --as NAME\n", shortIDLength, r.Bundle, r.InForce)
	return nil
}

// printChanges lists the changes against a bundle or version.
func (e Env) printChanges(against string, changes []bundle.Change) {
	if len(changes) == 0 {
		e.printf("nothing differs from %s\n", against)
		return
	}
	e.printf("against %s:\n", against)
	for _, change := range changes {
		e.printf("  %s\n", change)
	}
}

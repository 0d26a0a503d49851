package cli

import (
	"context"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// bundleDiffCmd prints the changes from one bundle to another.
type bundleDiffCmd struct {
	storeFlags
	From string `arg:"positional,required" help:"\"in-force\", a version or an id"`
	To   string `arg:"positional,required" help:"\"in-force\", a version or an id"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

func (*bundleDiffCmd) example() string {
	return "tarragondrum bundle diff v11 in-force --settings node.jsonc"
}

func (c *bundleDiffCmd) run(ctx context.Context, env Env) int {
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		fromID, from, err := s.load(ctx, c.From)
		if err != nil {
			return err
		}
		_, to, err := s.load(ctx, c.To)
		if err != nil {
			return err
		}
		changes := bundle.Changes(&from, &to)
		if c.JSON {
			return env.printJSON(append([]bundle.Change{}, changes...))
		}
		env.printChanges(fmt.Sprintf("bundle %.*s", shortIDLength, fromID), changes)
		return nil
	})
}

// bundleShowCmd prints the content of a bundle.
type bundleShowCmd struct {
	storeFlags
	Bundle string `arg:"positional,required" help:"\"in-force\", a version or an id"`
}

func (*bundleShowCmd) example() string {
	return "tarragondrum bundle show in-force --settings node.jsonc > bundle.jsonc"
}

// run prints the bundle as JSON in the format of a bundle file, so that the output can
// be prepared again.
func (c *bundleShowCmd) run(ctx context.Context, env Env) int {
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		_, b, err := s.load(ctx, c.Bundle)
		if err != nil {
			return err
		}
		return env.printJSON(b)
	})
}

package cli

import (
	"context"
	"errors"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
)

// errNoRequest: the command line names neither a route nor a path.
var errNoRequest = errors.New("explain: want --route, or --host and --path")

// explainCmd prints where a request would go.
type explainCmd struct {
	nodeFlags
	Route        string `arg:"--route" placeholder:"NAME" help:"name of the route; without it, host and path find the route"`
	Host         string `arg:"--host" placeholder:"HOST" help:"host of the request"`
	Path         string `arg:"--path" placeholder:"PATH" help:"path of the request"`
	Method       string `arg:"--method" default:"GET" placeholder:"METHOD" help:"method of the request"`
	Body         int    `arg:"--body" default:"0" placeholder:"BYTES" help:"size of the body"`
	Organisation string `arg:"--organisation" placeholder:"NAME" help:"name of the caller's organisation"`
	JSON         bool   `arg:"--json" help:"print JSON"`
}

func (*explainCmd) example() string {
	return "tarragondrum explain --route order --method POST --body 60000 --node http://127.0.0.1:9464"
}

func (c *explainCmd) run(ctx context.Context, env Env) int {
	if c.Route == "" && c.Path == "" {
		return env.fail(ExitUsage, errNoRequest)
	}
	q := handover.Question{Route: c.Route, Host: c.Host, Path: c.Path, Method: c.Method, Body: c.Body, Organisation: c.Organisation}
	return c.ask(ctx, env, func(ctx context.Context, client *handover.Client) error {
		e, err := client.Explain(ctx, c.Node, &q)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(e)
		}
		return e.WriteText(env.Stdout)
	})
}

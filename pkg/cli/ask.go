package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// requestTimeout bounds all requests to the nodes of one command.
const requestTimeout = 10 * time.Second

// nodeFlags is the address of the node that a command queries.
type nodeFlags struct {
	Node string `arg:"--node,env:TARRAGONDRUM_NODE" default:"http://127.0.0.1:9464" placeholder:"URL" help:"metrics address of any node"`
}

// ask runs query with a client of the nodes, for at most requestTimeout, and
// returns the exit code.
func (f nodeFlags) ask(ctx context.Context, env Env, query func(context.Context, *handover.Client) error) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client, err := handover.NewClient()
	if err == nil {
		err = query(ctx, client)
	}
	return env.exit(err)
}

// versionTimeout bounds the request of version, without which a command can go on.
const versionTimeout = 2 * time.Second

// version returns the version that the node has in force.
func (f nodeFlags) version(ctx context.Context) (model.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	client, err := handover.NewClient()
	if err != nil {
		return 0, err
	}
	report, err := client.Report(ctx, f.Node)
	return report.Version, err
}

// printJSON writes v as indented JSON.
func (e Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// warn reports a failure that does not change the outcome of a command.
func (e Env) warn(err error) { _, _ = fmt.Fprintln(e.Stderr, "warning:", err) }

// handoverCmd prints what a node reports about the configuration in force.
type handoverCmd struct {
	nodeFlags
	JSON bool `arg:"--json" help:"print JSON"`
}

func (*handoverCmd) example() string {
	return "tarragondrum handover --node http://127.0.0.1:9464"
}

func (c *handoverCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, func(ctx context.Context, client *handover.Client) error {
		report, err := client.Report(ctx, c.Node)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(report)
		}
		return report.WriteText(env.Stdout)
	})
}

// upstreamCmd is the group of commands about upstreams.
type upstreamCmd struct {
	List  *upstreamListCmd  `arg:"subcommand:list" help:"list the upstreams of all hosts"`
	Serve *upstreamServeCmd `arg:"subcommand:serve" help:"run a stand-in upstream, for trying out"`
}

// upstreamListCmd lists the upstreams that a node knows, of all hosts.
type upstreamListCmd struct {
	nodeFlags
	Service string `arg:"--service" placeholder:"NAME" help:"list only the upstreams of this service"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

func (*upstreamListCmd) example() string {
	return "tarragondrum upstream list --service order-desk --node http://127.0.0.1:9464"
}

func (c *upstreamListCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, func(ctx context.Context, client *handover.Client) error {
		hosts, err := client.Hosts(ctx, c.Node)
		if err != nil {
			return err
		}
		list := []handover.Host{}
		for _, h := range hosts {
			if c.Service == "" || h.Service == c.Service {
				list = append(list, h)
			}
		}
		if c.JSON {
			return env.printJSON(list)
		}
		t := tabwriter.NewWriter(env.Stdout, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "NODE\tDATA CENTRE\tSERVICE\tUPSTREAM\tSLOTS\tSTATE")
		for _, h := range list {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", h.Node, h.DataCentre, h.Service, h.Upstream, h.Slots, h.State)
		}
		return t.Flush()
	})
}

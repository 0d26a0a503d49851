package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/admin/adminclient"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// askTimeout bounds one question to a node.
const askTimeout = 10 * time.Second

// adminFlags name the node that a command asks.
type adminFlags struct {
	Admin     string `arg:"--admin,env:TARRAGONDRUM_ADMIN" default:"http://127.0.0.1:9090" placeholder:"URL" help:"admin listener of a node"`
	TokenFile string `arg:"--token-file,env:TARRAGONDRUM_ADMIN_TOKEN_FILE" placeholder:"FILE" help:"file with the admin token"`
}

func (f adminFlags) client() (*adminclient.Client, error) {
	var token string
	if f.TokenFile != "" {
		raw, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read admin token: %w", err)
		}
		token = strings.TrimSpace(string(raw))
	}
	return adminclient.New(strings.TrimSuffix(f.Admin, "/"), token)
}

// ask connects to the node and lets question talk to it for at most timeout.
func (f adminFlags) ask(ctx context.Context, env Env, timeout time.Duration, question func(context.Context, *adminclient.Client) error) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	node, err := f.client()
	if err != nil {
		return env.fail(ExitUsage, err)
	}
	if err := question(ctx, node); err != nil {
		return env.fail(ExitFailed, err)
	}
	return ExitOK
}

// printJSON writes v as indented JSON.
func (e Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type handoverCmd struct {
	adminFlags
	JSON bool `arg:"--json" help:"print JSON"`
}

func (*handoverCmd) example() string {
	return "tarragondrum handover --admin http://127.0.0.1:9090"
}

func (c *handoverCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, askTimeout, func(ctx context.Context, node *adminclient.Client) error {
		report, err := node.Handover(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(report)
		}
		return report.WriteText(env.Stdout)
	})
}

type upstreamCmd struct {
	List  *upstreamListCmd  `arg:"subcommand:list" help:"list the upstreams of a host"`
	Drain *upstreamDrainCmd `arg:"subcommand:drain" help:"stop an upstream without cutting off a call"`
	Serve *upstreamServeCmd `arg:"subcommand:serve" help:"run a stand-in upstream, for trying out"`
}

type upstreamListCmd struct {
	adminFlags
	JSON bool `arg:"--json" help:"print JSON"`
}

func (*upstreamListCmd) example() string {
	return "tarragondrum upstream list --admin http://127.0.0.1:9090"
}

func (c *upstreamListCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, askTimeout, func(ctx context.Context, node *adminclient.Client) error {
		list, err := node.Upstreams(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(list)
		}
		return writeUpstreams(env.Stdout, list)
	})
}

func writeUpstreams(w io.Writer, list []model.Upstream) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tSERVICE\tADDRESS\tSLOTS\tCONNECTIONS\tSTATE")
	for _, u := range list {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", u.Name, u.Service, u.Address, u.Slots, u.Connections, u.State)
	}
	return t.Flush()
}

type upstreamDrainCmd struct {
	adminFlags
	Name    string        `arg:"positional,required" help:"name of the upstream on its host"`
	Timeout time.Duration `arg:"--timeout" default:"60s" help:"longest wait for calls in flight"`
}

func (*upstreamDrainCmd) example() string {
	return "tarragondrum upstream drain order-desk-1 --admin http://127.0.0.1:9090"
}

func (c *upstreamDrainCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, c.Timeout, func(ctx context.Context, node *adminclient.Client) error {
		if err := node.Drain(ctx, c.Name); err != nil {
			return err
		}
		env.printf("upstream %s is drained; it can be stopped\n", c.Name)
		return nil
	})
}

type quarantineCmd struct {
	List *quarantineListCmd `arg:"subcommand:list" help:"list the calls that are refused because they crashed upstreams"`
	Lift *quarantineLiftCmd `arg:"subcommand:lift" help:"let a quarantined call run again"`
}

type quarantineListCmd struct {
	adminFlags
	JSON bool `arg:"--json" help:"print JSON"`
}

func (*quarantineListCmd) example() string {
	return "tarragondrum quarantine list --admin http://127.0.0.1:9090"
}

func (c *quarantineListCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, askTimeout, func(ctx context.Context, node *adminclient.Client) error {
		list, err := node.Quarantined(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(list)
		}
		writeQuarantined(env, list)
		return nil
	})
}

func writeQuarantined(env Env, list []handover.Quarantined) {
	for _, q := range list {
		env.printf("%s  %d crashes, until %s\n", q.Fingerprint, q.Crashes, q.Until.Format(time.RFC3339))
	}
	if len(list) == 0 {
		env.printf("no call is quarantined\n")
	}
}

type quarantineLiftCmd struct {
	adminFlags
	Fingerprint string `arg:"positional,required" help:"fingerprint shown by quarantine list"`
}

func (*quarantineLiftCmd) example() string {
	return "tarragondrum quarantine lift 9c3f5a7b12d4e680 --admin http://127.0.0.1:9090"
}

func (c *quarantineLiftCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, askTimeout, func(ctx context.Context, node *adminclient.Client) error {
		if err := node.Lift(ctx, c.Fingerprint); err != nil {
			return err
		}
		env.printf("quarantine of %s is lifted\n", c.Fingerprint)
		return nil
	})
}

package cli

import (
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
)

// rolloutCmd is the group of commands about roll-outs of service versions.
type rolloutCmd struct {
	Status *rolloutStatusCmd `arg:"subcommand:status" help:"show which versions the services run and how far roll-outs are"`
}

// rolloutStatusCmd prints the roll-outs that a node knows.
type rolloutStatusCmd struct {
	nodeFlags
	Service string `arg:"--service" placeholder:"NAME" help:"show only this service"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

func (*rolloutStatusCmd) example() string {
	return "tarragondrum rollout status --service order-desk --node http://127.0.0.1:9464"
}

func (c *rolloutStatusCmd) run(ctx context.Context, env Env) int {
	return c.ask(ctx, env, func(ctx context.Context, client *handover.Client) error {
		all, err := client.Rollouts(ctx, c.Node)
		if err != nil {
			return err
		}
		list := []handover.Rollout{}
		for i := range all {
			if c.Service == "" || all[i].Service == c.Service {
				list = append(list, all[i])
			}
		}
		if c.JSON {
			return env.printJSON(list)
		}
		return handover.WriteRollouts(env.Stdout, list, time.Now())
	})
}

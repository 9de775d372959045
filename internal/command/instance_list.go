package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func instanceListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list all instances, or those of one pool or phase",
		Flags:  append(entryInstanceFlags(), &cli.StringFlag{Name: "pool"}, &cli.StringFlag{Name: "phase"}),
		Action: listInstances,
	}
}

func listInstances(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.InstanceList
	if err := api.get("/v1/maintenance/instances", &answer); err != nil {
		return err
	}
	pool, phase := c.String("pool"), machine.Phase(c.String("phase"))
	shown := []machine.Instance{}
	rows := [][]string{instanceHeader}
	for _, i := range answer.Instances {
		if pool != "" && i.Pool != pool || phase != "" && i.Phase != phase {
			continue
		}
		shown = append(shown, i)
		rows = append(rows, instanceRow(i))
	}
	return api.print(shown, rows)
}

var instanceHeader = []string{"INSTANCE", "DATACENTRE", "RACK", "POOL", "PHASE", "SINCE", "GOAL", "WAVE", "REASON"}

func instanceRow(i machine.Instance) []string {
	return []string{
		i.ID, i.DataCentre, i.Rack, i.Pool, string(i.Phase), i.Since.Format(time.RFC3339),
		string(i.Goal.Kind), i.Goal.Wave, i.Reason,
	}
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func poolListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list the pools with the numbers of their members",
		Flags:  entryInstanceFlags(),
		Action: listPools,
	}
}

func listPools(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.PoolList
	if err := api.get("/v1/maintenance/pools", &answer); err != nil {
		return err
	}
	rows := [][]string{{"POOL", "SPARE", "TARGET", "MEMBERS", "SERVING", "FAILED", "PLANNER", "HOLD"}}
	for _, p := range answer.Pools {
		rows = append(rows, []string{
			p.Name, p.Spare, fmt.Sprint(p.Target), fmt.Sprint(p.Members),
			fmt.Sprint(p.Phases[machine.PhaseServing]), fmt.Sprint(p.Phases[machine.PhaseFailed]),
			answer.Planner.Holder, answer.Planner.SuspensionReason,
		})
	}
	return api.print(answer, rows)
}

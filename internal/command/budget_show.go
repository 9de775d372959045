package command

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func budgetShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the budgets of all services, or the charges of one",
		ArgsUsage: "[SERVICE]",
		Flags:     entryInstanceFlags(),
		Action:    showBudgets,
	}
}

func showBudgets(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var budgets []front.BudgetView
	if err := api.get("/v1/maintenance/budgets", &budgets); err != nil {
		return err
	}
	service := c.Args().First()
	rows := [][]string{{"SERVICE", "POOL", "MIN", "MEMBERS", "UNAVAILABLE", "OUT"}}
	for _, b := range budgets {
		if service == b.Service {
			return api.print(b, budgetChargeRows(b))
		}
		rows = append(rows, []string{
			b.Service, b.Pool, fmt.Sprint(b.MinAvailable), fmt.Sprint(b.Members), fmt.Sprint(b.Unavailable), strings.Join(b.Out, ","),
		})
	}
	if service != "" {
		return cli.Exit("no budget of "+service, ExitFailed)
	}
	return api.print(budgets, rows)
}

func budgetChargeRows(b front.BudgetView) [][]string {
	rows := [][]string{{"INSTANCE", "PLANNED", "SINCE", "REASON"}}
	for _, id := range slices.Sorted(maps.Keys(b.Charges)) {
		c := b.Charges[id]
		rows = append(rows, []string{id, fmt.Sprint(c.Planned), c.At.Format("2006-01-02T15:04:05Z07:00"), c.Reason})
	}
	return rows
}

package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the recorded decisions on a subject with their times and reasons",
		ArgsUsage: "task|instance|team|refusal|worker|datacentre|endpoint|budget|wave|planner NAME",
		Flags:     entryInstanceFlags(),
		Action:    explain,
		Commands:  []*cli.Command{explainWhereCommand()},
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit("explain needs a kind and a name", ExitUsage)
	}
	api := newClient(c)
	var answer front.Explanation
	if err := api.get("/v1/explain/"+c.Args().Get(0)+"/"+c.Args().Get(1), &answer); err != nil {
		return err
	}
	rows := [][]string{{"TIME", "DECISION", "REVISION", "REASON", "INPUTS"}}
	for _, d := range answer.Decisions {
		rows = append(rows, []string{d.At.Format(time.RFC3339Nano), d.Action, fmt.Sprint(d.Revision), d.Reason, formatInputs(d.Inputs)})
	}
	return api.print(answer, rows)
}

// formatInputs returns the inputs of a decision as NAME=VALUE pairs.
func formatInputs(inputs []fleet.Input) string {
	parts := make([]string, 0, len(inputs))
	for _, i := range inputs {
		parts = append(parts, i.Name+"="+i.Value)
	}
	return strings.Join(parts, " ")
}

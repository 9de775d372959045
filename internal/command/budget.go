package command

import "github.com/urfave/cli/v3"

func budgetCommand() *cli.Command {
	return &cli.Command{
		Name:     "budget",
		Usage:    "show availability budgets",
		Commands: []*cli.Command{budgetShowCommand()},
	}
}

package command

import "github.com/urfave/cli/v3"

func poolCommand() *cli.Command {
	return &cli.Command{
		Name:     "pool",
		Usage:    "work with pools of instances",
		Commands: []*cli.Command{poolListCommand(), poolMoveCommand()},
	}
}

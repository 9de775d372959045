package command

import "github.com/urfave/cli/v3"

func poolCommand() *cli.Command {
	return &cli.Command{
		Name:     "pool",
		Usage:    "manage pools of instances",
		Commands: []*cli.Command{poolListCommand(), poolMoveCommand()},
	}
}

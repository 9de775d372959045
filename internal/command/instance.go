package command

import "github.com/urfave/cli/v3"

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name:     "instance",
		Usage:    "show instances of pools",
		Commands: []*cli.Command{instanceListCommand(), instanceShowCommand()},
	}
}

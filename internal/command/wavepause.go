package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func wavePauseCommand() *cli.Command {
	return &cli.Command{
		Name:      "pause",
		Usage:     "take out no more instances; those that are out come back",
		ArgsUsage: "NAME",
		Flags:     entryFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeWave(c, "/v1/maintenance/wave/pause/")
		},
	}
}

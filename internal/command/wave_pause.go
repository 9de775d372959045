package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func wavePauseCommand() *cli.Command {
	return &cli.Command{
		Name:      "pause",
		Usage:     "pause a wave: no more instances are taken out of service; those that are out return",
		ArgsUsage: "NAME",
		Flags:     entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeWave(c, "/v1/maintenance/wave/pause/")
		},
	}
}

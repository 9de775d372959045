package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func waveResumeCommand() *cli.Command {
	return &cli.Command{
		Name:      "resume",
		Usage:     "resume a paused wave",
		ArgsUsage: "NAME",
		Flags:     entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeWave(c, "/v1/maintenance/wave/resume/")
		},
	}
}

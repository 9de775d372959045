package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func dataCentreBackCommand() *cli.Command {
	return &cli.Command{
		Name:      "back",
		Usage:     "bring a data centre back into service",
		ArgsUsage: "DATACENTRE",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return orderDataCentre(c, false)
		},
	}
}

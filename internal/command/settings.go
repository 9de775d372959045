package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check settings files",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check every field of a settings file",
			ArgsUsage: "FILE",
			Action: func(ctx context.Context, c *cli.Command) error {
				if _, err := settings.LoadEntry(c.Args().First()); err != nil {
					return cli.Exit(err.Error(), ExitUsage)
				}
				_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
				return err
			},
		}},
	}
}

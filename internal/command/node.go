package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/platform"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:        "node",
		Usage:       "run one node on the users' platform",
		Description: "The settings file is the one that " + platform.SettingsVariable + " names, by default " + platform.DefaultSettingsPath + ".",
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			return node.Run(ctx, s, reload, os.Stdout)
		},
	}
}

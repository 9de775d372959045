package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/platform"
)

// memoryLimitPercent is the part of the machine's memory from which the runtime collects
// garbage as often as needed. The rest is for what it does not count: the program's text,
// and the bytes of connections that the kernel holds.
const memoryLimitPercent = 75

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
			if mb := s.Intake.MemoryMB; mb > 0 {
				debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitPercent / 100)
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			return node.Run(ctx, s, reload, os.Stdout)
		},
	}
}

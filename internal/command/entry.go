package command

import (
	"context"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/entry"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one entry instance",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.LoadEntry(c.String("settings"))
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			if mb := s.Clients.MemoryMB; mb > 0 {
				debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitPercent / 100)
			}
			log := telemetry.NewLog(s.LogLevel).WithFields(logrus.Fields{"instance": s.ID})
			return entry.Run(ctx, s, rest.NewClient(s.Platform), log)
		},
	}
}

// settingsFlag returns the flag with the path of the settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE` in JSON", Required: true}
}

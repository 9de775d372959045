package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/demo"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet on loopback addresses and demonstrate its main functions",
		Commands: []*cli.Command{{
			Name:  "node",
			Usage: "run the demo with nodes of the users' platform against stand-ins",
			Action: func(ctx context.Context, c *cli.Command) error {
				return demo.RunNodes(ctx, c.Root().Writer, io.Discard)
			},
		}},
		Flags: []cli.Flag{&cli.StringFlag{Name: "log-level", Usage: "`LEVEL` of the logs: debug, info, warn or error", Value: "error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.RunEntries(ctx, c.Root().Writer, telemetry.NewLog(c.String("log-level")))
		},
	}
}

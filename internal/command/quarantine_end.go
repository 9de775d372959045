package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

func quarantineEndCommand() *cli.Command {
	return &cli.Command{
		Name:      "end",
		Usage:     "cancel a job in quarantine",
		ArgsUsage: "JOB",
		Flags:     []cli.Flag{nodeSettingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			id, ok := job.ParseID(c.Args().First())
			if !ok || c.Args().Len() != 1 {
				return cli.Exit("end needs the id of one job, 16 hexadecimal digits", ExitUsage)
			}
			q, err := openQuarantine(c)
			if err != nil {
				return err
			}
			if err := q.End(id); err != nil {
				return quarantineExit(err)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "job %s cancelled and released\n", id)
			return err
		},
	}
}

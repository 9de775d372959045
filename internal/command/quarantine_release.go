package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func quarantineReleaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "use a record again; a job must not have begun",
		ArgsUsage: "KIND/NAME",
		Flags:     []cli.Flag{nodeSettingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			record, err := recordArgument(c)
			if err != nil {
				return err
			}
			q, err := openQuarantine(c)
			if err != nil {
				return err
			}
			if err := q.Release(record); err != nil {
				return quarantineExit(err)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%s/%s released\n", record.Kind, record.Name)
			return err
		},
	}
}

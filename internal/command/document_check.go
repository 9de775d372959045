package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func documentCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check every field of a document file without an entry instance",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := readDocument(c.Args().First()); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.Root().Writer, "document is valid")
			return err
		},
	}
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

func documentListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list all documents",
		Flags: entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := listObjects(c, contract.KindDocument)
			if err != nil {
				return err
			}
			rows := [][]string{{"SERVICE", "TEAM", "POOL", "MAX SLOTS", "MIN AVAILABLE", "OPEN", "IDEMPOTENT", "REVISION"}}
			for _, o := range list.Objects {
				d := o.Document
				rows = append(rows, []string{
					d.Service, d.Team, d.Pool, fmt.Sprint(d.MaxSlots), fmt.Sprint(d.MinAvailable),
					fmt.Sprint(d.Open), fmt.Sprint(d.Idempotent), fmt.Sprint(o.Revision),
				})
			}
			return newClient(c).print(list, rows)
		},
	}
}

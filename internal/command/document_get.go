package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

func documentGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show one document and its revision, to be given as --base after an edit",
		ArgsUsage: "SERVICE",
		Flags:     entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("document get needs a service", ExitUsage)
			}
			object, err := getObject(c, contract.Ref{Kind: contract.KindDocument, Name: c.Args().First()})
			if err != nil {
				return err
			}
			d := object.Document
			return newClient(c).print(object, [][]string{
				{"FIELD", "VALUE"},
				{"service", d.Service},
				{"revision", fmt.Sprint(object.Revision)},
				{"team", d.Team},
				{"pool", d.Pool},
				{"max_slots", fmt.Sprint(d.MaxSlots)},
				{"min_available", fmt.Sprint(d.MinAvailable)},
				{"accepts_from", fmt.Sprint(d.AcceptsFrom)},
				{"open", fmt.Sprint(d.Open)},
				{"idempotent", fmt.Sprint(d.Idempotent)},
				{"max_staleness_ms", fmt.Sprint(d.MaxStalenessMS)},
				{"max_staleness_non_idempotent_ms", fmt.Sprint(d.MaxStalenessNonIdempotentMS)},
			})
		},
	}
}

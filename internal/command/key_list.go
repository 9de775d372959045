package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

func keyListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the granted keys without their secrets",
		Flags: append(entryInstanceFlags(), &cli.StringFlag{Name: "team", Usage: "only keys of `TEAM`"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := listObjects(c, contract.KindKey)
			if err != nil {
				return err
			}
			team := c.String("team")
			shown := list
			shown.Objects = []contract.Object{}
			rows := [][]string{{"KEY", "TEAM", "REVISION"}}
			for _, o := range list.Objects {
				if team != "" && o.Key.Team != team {
					continue
				}
				shown.Objects = append(shown.Objects, o)
				rows = append(rows, []string{o.Key.ID, o.Key.Team, fmt.Sprint(o.Revision)})
			}
			return newClient(c).print(shown, rows)
		},
	}
}

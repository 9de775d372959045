package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

func teamListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list all teams",
		Flags: entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := listObjects(c, contract.KindTeam)
			if err != nil {
				return err
			}
			rows := [][]string{{"TEAM", "UPPER LIMIT", "SHARE", "REVISION"}}
			for _, o := range list.Objects {
				rows = append(rows, []string{o.Team.Name, fmt.Sprint(o.Team.UpperLimit), fmt.Sprint(o.Team.Share), fmt.Sprint(o.Revision)})
			}
			return newClient(c).print(list, rows)
		},
	}
}

package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

func teamCommand() *cli.Command {
	return &cli.Command{
		Name:     "team",
		Usage:    "manage teams",
		Commands: []*cli.Command{teamPutCommand(), teamListCommand()},
	}
}

func teamPutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "create or replace a team from a JSON file",
		ArgsUsage: "FILE",
		Flags:     changeFlags(baseFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			data, err := os.ReadFile(c.Args().First())
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			var team contract.Team
			if err := strictjson.Decode(data, &team); err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			return putObject(c, contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: team.Name}, Team: &team})
		},
	}
}

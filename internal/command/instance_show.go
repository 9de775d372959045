package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func instanceShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the record of one instance",
		ArgsUsage: "INSTANCE",
		Flags:     entryInstanceFlags(),
		Action:    showInstance,
	}
}

func showInstance(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.InstanceList
	if err := api.get("/v1/maintenance/instances", &answer); err != nil {
		return err
	}
	for _, i := range answer.Instances {
		if i.ID == c.Args().First() {
			return api.print(i, [][]string{instanceHeader, instanceRow(i)})
		}
	}
	return cli.Exit("no instance "+c.Args().First(), ExitFailed)
}

package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func taskListCommand() *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the tasks of a data centre, or of one team in it",
		ArgsUsage: "DATACENTRE [TEAM]",
		Flags:     entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 || c.Args().Len() > 2 {
				return cli.Exit("task list needs a data centre and at most one team", ExitUsage)
			}
			path := "/v1/task/list/" + c.Args().First()
			if team := c.Args().Get(1); team != "" {
				path += "/" + team
			}
			api := newClient(c)
			var answer front.TaskList
			if err := api.get(path, &answer); err != nil {
				return err
			}
			return api.print(answer, taskRows(answer.Tasks))
		},
	}
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func taskCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel tasks of one data centre, as one batch",
		ArgsUsage: "ID...",
		Flags:     append(entryInstanceFlags(), keyFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return cli.Exit("task cancel needs task ids", ExitUsage)
			}
			api := newClient(c)
			api.key = c.String("key")
			var answer front.TaskAnswer
			if err := api.post("/v1/task/cancel", front.TaskCancellation{IDs: c.Args().Slice()}, &answer); err != nil {
				return err
			}
			return api.print(answer, [][]string{{"TASKS", "OUTCOME"}, {fmt.Sprint(c.Args().Len()), answer.Outcome}})
		},
	}
}

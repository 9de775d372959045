package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func taskShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the state of one task",
		ArgsUsage: "ID",
		Flags:     entryInstanceFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("task show needs a task id", ExitUsage)
			}
			api := newClient(c)
			var task machine.Task
			if err := api.get("/v1/task/show/"+c.Args().First(), &task); err != nil {
				return err
			}
			return api.print(task, taskRows([]machine.Task{task}))
		},
	}
}

// taskRows returns a table of tasks.
func taskRows(tasks []machine.Task) [][]string {
	rows := [][]string{{"TASK", "TEAM", "SERVICE", "STATE", "URGENT", "WORKER", "STARTS", "REASON"}}
	for _, t := range tasks {
		rows = append(rows, []string{
			t.ID, t.Team, t.Service, string(t.Phase), fmt.Sprint(t.Urgent), t.Worker, fmt.Sprint(t.Attempts), t.Reason,
		})
	}
	return rows
}

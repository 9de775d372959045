package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

func taskCommand() *cli.Command {
	return &cli.Command{
		Name:     "task",
		Usage:    "manage queued tasks",
		Commands: []*cli.Command{taskSubmitCommand(), taskShowCommand(), taskCancelCommand(), taskListCommand()},
	}
}

func taskSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit tasks to a service from a JSON file, or one task from flags",
		ArgsUsage: "SERVICE [FILE]",
		Flags: append(entryInstanceFlags(), keyFlag(),
			&cli.StringFlag{Name: "datacentre", Usage: "`NAME` of the data centre; default: the nearest one in service"},
			&cli.Int64Flag{Name: "millicores", Usage: "declared CPU in thousandths of a core", Value: 1000},
			&cli.Int64Flag{Name: "memory", Usage: "declared memory in `MB`", Value: 512},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators"},
			&cli.BoolFlag{Name: "urgent", Usage: "place the task before other work while the team is within its share"},
			&cli.BoolFlag{Name: "idempotent", Usage: "the task may run more than once"},
			&cli.BoolFlag{Name: "checkpoints", Usage: "the task can save its progress"},
			&cli.StringFlag{Name: "payload", Usage: "`TEXT` that is passed to the worker"},
		),
		Action: submitTasks,
	}
}

func submitTasks(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() < 1 || c.Args().Len() > 2 {
		return cli.Exit("task submit needs a service and at most one file", ExitUsage)
	}
	submission, err := readSubmission(c)
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	api := newClient(c)
	api.key = c.String("key")
	var answer front.TaskAnswer
	if err := api.post("/v1/task/submit/"+c.Args().First(), submission, &answer); err != nil {
		return err
	}
	rows := [][]string{{"TASK", "OUTCOME"}}
	for _, id := range answer.IDs {
		rows = append(rows, []string{id, answer.Outcome})
	}
	return api.print(answer, rows)
}

// readSubmission reads the tasks from the file argument, or one task from the
// flags.
func readSubmission(c *cli.Command) (front.TaskSubmission, error) {
	var s front.TaskSubmission
	if path := c.Args().Get(1); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return s, err
		}
		return s, strictjson.Decode(data, &s)
	}
	s.DataCentre = c.String("datacentre")
	s.Tasks = []front.TaskSpec{{
		MilliCores: c.Int64("millicores"), MemoryMB: c.Int64("memory"), Accelerators: c.Int64("accelerators"),
		Urgent: c.Bool("urgent"), Idempotent: c.Bool("idempotent"), Checkpoints: c.Bool("checkpoints"),
		Payload: []byte(c.String("payload")),
	}}
	return s, nil
}

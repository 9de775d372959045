package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "work with workers",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the workers of the entry instance's data centre",
			Flags:  entryFlags(),
			Action: listWorkers,
		}},
	}
}

func listWorkers(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer fleet.WorkerListView
	err := api.askScheduler("/v1/worker", &answer, func() fleet.ScheduleView { return answer.ScheduleView })
	if err != nil {
		return err
	}
	rows := [][]string{{"WORKER", "RACK", "HEALTH", "RUNNING", "FREE CORES", "FREE MB", "FREE ACCELERATORS", "PROBE AT"}}
	for _, w := range answer.Workers {
		probe := ""
		if !w.ProbeAt.IsZero() {
			probe = w.ProbeAt.Format(time.RFC3339)
		}
		rows = append(rows, []string{
			w.ID, w.Rack, string(w.Health), fmt.Sprint(w.Running), fmt.Sprintf("%.1f", float64(w.Free.MilliCores)/1000),
			fmt.Sprint(w.Free.MemoryMB), fmt.Sprint(w.Free.Accelerators), probe,
		})
	}
	return api.print(answer, rows)
}

// askScheduler reads path, and reads it again from the scheduler of the data
// centre when the entry instance that was asked is another one.
func (c *client) askScheduler(path string, answer any, view func() fleet.ScheduleView) error {
	if err := c.get(path, answer); err != nil {
		return err
	}
	first := view()
	if first.Here {
		return nil
	}
	_, address, ok := strings.Cut(first.Scheduler, " at ")
	if !ok {
		return cli.Exit("no scheduler of data centre "+first.DataCentre+" is known", ExitFailed)
	}
	c.address = address
	if err := c.get(path, answer); err != nil {
		return err
	}
	if !view().Here {
		return cli.Exit("the scheduler of data centre "+first.DataCentre+" changes; try again", ExitFailed)
	}
	return nil
}

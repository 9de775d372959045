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
		Usage: "show workers",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the workers of the entry instance's data centre",
			Flags:  entryInstanceFlags(),
			Action: listWorkers,
		}},
	}
}

func listWorkers(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer fleet.WorkerListView
	err := api.getFromScheduler("/v1/worker", &answer, func() fleet.ScheduleView { return answer.ScheduleView })
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

// getFromScheduler reads path into answer from the active scheduler of the data
// centre. It sends the query to the entry instance of c first. If that instance
// is not the scheduler, it sets c.address to the scheduler that the answer names
// and repeats the query there. scheduleView returns the part of answer that names
// the scheduler.
func (c *client) getFromScheduler(path string, answer any, scheduleView func() fleet.ScheduleView) error {
	if err := c.get(path, answer); err != nil {
		return err
	}
	first := scheduleView()
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
	if !scheduleView().Here {
		return cli.Exit("the scheduler of data centre "+first.DataCentre+" is changing; try again", ExitFailed)
	}
	return nil
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func shareCommand() *cli.Command {
	return &cli.Command{
		Name:  "share",
		Usage: "show the shares of teams",
		Commands: []*cli.Command{{
			Name:   "show",
			Usage:  "show each team's share, use and distance from its share in the entry instance's data centre",
			Flags:  entryInstanceFlags(),
			Action: showShares,
		}},
	}
}

func showShares(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer fleet.ShareView
	err := api.getFromScheduler("/v1/share", &answer, func() fleet.ScheduleView { return answer.ScheduleView })
	if err != nil {
		return err
	}
	rows := [][]string{{"TEAM", "WEIGHT", "DOMINANT", "SHARE", "USE", "DISTANCE", "RUNNING", "QUEUED", "URGENT"}}
	for _, t := range answer.Teams {
		rows = append(rows, []string{
			t.Team, fmt.Sprint(t.Weight), t.Dominant, formatPercent(t.Fair), formatPercent(t.Use), formatPercent(t.Distance),
			fmt.Sprint(t.Running), fmt.Sprint(t.Queue.Urgent + t.Queue.Normal), fmt.Sprint(t.Queue.Urgent),
		})
	}
	return api.print(answer, rows)
}

func formatPercent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

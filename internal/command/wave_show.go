package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func waveShowCommand() *cli.Command {
	return &cli.Command{
		Name:   "show",
		Usage:  "show the waves with their progress",
		Flags:  entryInstanceFlags(),
		Action: showWaves,
	}
}

func showWaves(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.WaveList
	if err := api.get("/v1/maintenance/waves", &answer); err != nil {
		return err
	}
	rows := [][]string{{"WAVE", "STATE", "POOLS", "TOTAL", "DONE", "OUT", "SKIPPED", "HOLD"}}
	for _, w := range answer.Waves {
		rows = append(rows, []string{
			w.Name, string(w.State), strings.Join(w.Pools, ","),
			fmt.Sprint(w.Total), fmt.Sprint(w.Done), fmt.Sprint(w.Out), fmt.Sprint(w.Skipped), answer.Planner.SuspensionReason,
		})
	}
	return api.print(answer, rows)
}

package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to a running system and report throughput, latency and outcomes for each team",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry instance; may be repeated", Value: []string{"127.0.0.1:8080"}},
			&cli.StringSliceFlag{Name: "target", Usage: "`TEAM=SERVICE:KEY`; may be repeated", Required: true},
			&cli.IntFlag{Name: "concurrency", Usage: "`NUMBER` of concurrent callers", Value: 8},
			&cli.FloatFlag{Name: "rate", Usage: "`NUMBER` of requests per second in an open loop; 0 for a closed loop"},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` for which new requests are started", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of each request as a `TIME` from its start", Value: 10 * time.Second},
			&cli.IntFlag{Name: "size", Usage: "length of each request body in `BYTES`", Value: 64},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` for the random choice of targets and arrival times", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	plan := load.Plan{
		EntryAddresses: c.StringSlice("entry"), Concurrency: c.Int("concurrency"), Rate: c.Float("rate"), Duration: c.Duration("duration"),
		Deadline: c.Duration("deadline"), BodyBytes: c.Int("size"), Seed: c.Uint64("seed"),
	}
	for _, text := range c.StringSlice("target") {
		target, err := parseTarget(text)
		if err != nil {
			return err
		}
		plan.Targets = append(plan.Targets, target)
	}
	if plan.Concurrency < 1 || plan.BodyBytes < 0 || plan.Deadline < time.Millisecond {
		return cli.Exit("concurrency and deadline must be positive and size must not be negative", ExitUsage)
	}
	result, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	rows := [][]string{{"TEAM", "ANSWERED", "NOT RUN", "UNKNOWN", "BROKEN", "PER SECOND", "P50 MS", "P90 MS", "P99 MS", "MAX MS"}}
	for _, t := range result.Teams {
		rows = append(rows, []string{
			t.Team, fmt.Sprint(t.Answered), fmt.Sprint(t.NotRun), fmt.Sprint(t.Unknown), fmt.Sprint(t.Failed),
			fmt.Sprintf("%.0f", t.Throughput), fmt.Sprintf("%.2f", t.P50), fmt.Sprintf("%.2f", t.P90), fmt.Sprintf("%.2f", t.P99), fmt.Sprintf("%.2f", t.Max),
		})
	}
	return newClient(c).print(result, rows)
}

// parseTarget parses a target of the form TEAM=SERVICE:KEY.
func parseTarget(text string) (load.Target, error) {
	team, rest, ok := strings.Cut(text, "=")
	service, key, _ := strings.Cut(rest, ":")
	if !ok || team == "" || service == "" {
		return load.Target{}, cli.Exit(fmt.Sprintf("target %q is invalid; want TEAM=SERVICE:KEY, where KEY may be empty for an open service", text), ExitUsage)
	}
	return load.Target{Team: team, Service: service, APIKey: key}, nil
}

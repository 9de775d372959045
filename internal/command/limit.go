package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

func limitCommand() *cli.Command {
	return &cli.Command{
		Name:  "limit",
		Usage: "show the upper limits of teams and services",
		Commands: []*cli.Command{{
			Name:      "show",
			Usage:     "show limits, the holders of their slots and the number of waiting requests",
			ArgsUsage: "[NAME]",
			Flags:     entryInstanceFlags(),
			Action:    showLimits,
		}},
	}
}

func showLimits(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.LimitsAnswer
	if err := api.get("/v1/limits", &answer); err != nil {
		return err
	}
	name := c.Args().First()
	if err := api.print(answer, limitRows(answer, name)); err != nil || api.asJSON {
		return err
	}
	printHolders(api, answer, name)
	return nil
}

// limitRows returns a table with one row for each limit, or only the limit with
// the given name. HELD and HOLDERS are from the platform's records; the columns
// from HERE HELD to WAITING are of the answering entry instance.
func limitRows(answer front.LimitsAnswer, name string) [][]string {
	recorded := make(map[contract.Ref]front.RecordedLimit)
	for _, r := range answer.Fleet {
		recorded[r.Limit] = r
	}
	rows := [][]string{{"LIMIT", "SLOTS", "REVISION", "HELD", "HOLDERS", "HERE HELD", "RUNNING", "LENT", "BORROWED", "WAITING", "STATE"}}
	for _, l := range answer.Here.Limits {
		if name != "" && l.Limit.Name != name {
			continue
		}
		r, isRecorded := recorded[l.Limit]
		held, holders := "-", "-"
		if answer.PlatformError == "" {
			held, holders = fmt.Sprint(r.Held), fmt.Sprint(len(r.Holders))
		}
		rows = append(rows, []string{
			l.Limit.String(), formatSlots(l), fmt.Sprint(l.Revision), held, holders,
			fmt.Sprint(l.Held), fmt.Sprint(l.Running), fmt.Sprint(l.Lent), fmt.Sprint(l.Borrowed), fmt.Sprint(l.Waiting),
			limitState(l, r, isRecorded),
		})
	}
	return rows
}

func formatSlots(l fleet.LimitView) string {
	if l.Unbounded {
		return "none"
	}
	return fmt.Sprint(l.Slots)
}

// limitState describes whether a change of the limit is complete, and if not,
// which step is still to come.
func limitState(l fleet.LimitView, r front.RecordedLimit, isRecorded bool) string {
	switch {
	case isRecorded && !l.Unbounded && r.Held > l.Slots:
		return fmt.Sprintf("above by %d, starts wait", r.Held-l.Slots)
	case !l.Settled:
		return "changed, starts wait"
	case isRecorded && r.Recorded.Revision < l.Revision:
		return "changed, not swapped yet"
	default:
		return "settled"
	}
}

// printHolders prints the hold of the answering entry instance and, if name is
// not empty, the holders of that limit's slots.
func printHolders(api *client, answer front.LimitsAnswer, name string) {
	here := answer.Here
	state := "valid until " + here.HoldUntil.Format(time.RFC3339)
	if !here.HoldValid {
		state = "not valid: this instance starts nothing under a limit"
	}
	fmt.Fprintf(api.out, "\nhold of %s: %s\n", here.Holder, state)
	if answer.PlatformError != "" {
		fmt.Fprintf(api.out, "platform: %s\n", answer.PlatformError)
	}
	if name == "" {
		return
	}
	for _, r := range answer.Fleet {
		if r.Limit.Name != name {
			continue
		}
		for _, e := range r.Holders {
			fmt.Fprintf(api.out, "%s: %s holds %d\n", r.Limit, e.Holder, e.Slots)
		}
	}
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show the propagation of the configuration",
		Commands: []*cli.Command{{
			Name:   "status",
			Usage:  "show the revision, its age and which data centres have confirmed it",
			Flags:  entryInstanceFlags(),
			Action: configStatus,
		}},
	}
}

func configStatus(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var status front.ConfigStatus
	if err := api.get("/v1/config/status", &status); err != nil {
		return err
	}
	age := fmt.Sprintf("%d ms", status.AgeMS)
	if status.AgeMS < 0 {
		age = "never confirmed to be the newest"
	}
	rows := [][]string{
		{"FIELD", "VALUE"},
		{"instance", status.Instance + " in " + status.DataCentre},
		{"revision", fmt.Sprint(status.Revision)},
		{"starts work", fmt.Sprint(status.Fresh && status.Loaded)},
		{"age", age},
		{"horizon", fmt.Sprintf("%d ms", status.HorizonMS)},
		{"newer revision exists", fmt.Sprint(status.Behind)},
		{"platform", platformState(status)},
		{"confirmed everywhere", fmt.Sprint(status.Confirmed)},
	}
	if err := api.print(status, rows); err != nil || api.asJSON {
		return err
	}
	return api.print(status, propagationRows(status.Propagation))
}

// platformState describes whether the platform is reachable, and if so, whether
// the answering instance watches it.
func platformState(status front.ConfigStatus) string {
	switch {
	case status.PlatformDown:
		return "not reachable"
	case status.Watches:
		return "watched by this instance"
	default:
		return "watched by other instances of the data centre"
	}
}

package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func memberCommand() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "show entry instances",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the entry instances that are known to one of them",
			Flags:  entryInstanceFlags(),
			Action: listMembers,
		}},
	}
}

func listMembers(ctx context.Context, c *cli.Command) error {
	var status front.ConfigStatus
	if err := newClient(c).get("/v1/config/status", &status); err != nil {
		return err
	}
	rows := [][]string{
		{"MEMBER", "DATACENTRE", "ADDRESS", "REVISION", "LINK", "HEARD", "ROUND TRIP"},
		{status.Instance, status.DataCentre, "-", fmt.Sprint(status.Revision), "self", "-", "-"},
	}
	for _, m := range status.Members {
		rows = append(rows, []string{m.ID, m.DataCentre, m.Address, fmt.Sprint(m.Revision), linkState(m), formatLastHeard(m),
			(time.Duration(m.RoundTripUS) * time.Microsecond).String()})
	}
	return newClient(c).print(status, rows)
}

// linkState returns the state of the link between the answering instance and m.
func linkState(m front.MemberStatus) string {
	if m.Silent {
		return "silent"
	}
	if m.HeardAgoMS < 0 {
		return "unheard"
	}
	return "live"
}

// formatLastHeard returns the time since the last message from m.
func formatLastHeard(m front.MemberStatus) string {
	if m.HeardAgoMS < 0 {
		return "never"
	}
	return (time.Duration(m.HeardAgoMS) * time.Millisecond).String() + " ago"
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

// centreRow is one data centre as "datacentre list" prints it.
type centreRow struct {
	DataCentre string `json:"datacentre"`
	Out        bool   `json:"out"`
	Reason     string `json:"reason,omitempty"`
	Instances  int    `json:"instances"`
	// Confirmed is true when all its entry instances hold the newest revision.
	Confirmed bool   `json:"confirmed"`
	Revision  uint64 `json:"revision"`
}

func dataCentreListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list all data centres",
		Flags:  entryFlags(),
		Action: listDataCentres,
	}
}

func listDataCentres(ctx context.Context, c *cli.Command) error {
	var status front.ConfigStatus
	if err := newClient(c).get("/v1/config/status", &status); err != nil {
		return err
	}
	list, err := listObjects(c, contract.KindDataCentre)
	if err != nil {
		return err
	}
	centres := []centreRow{}
	rows := [][]string{{"DATACENTRE", "STATE", "INSTANCES", "CONFIRMED", "REVISION", "REASON"}}
	for _, centre := range status.Centres {
		row := centreRow{DataCentre: centre.DataCentre, Instances: centre.Instances, Confirmed: centre.Confirmed}
		state := "in"
		if o, ok := contract.Find(list.Objects, centre.DataCentre); ok {
			row.Out, row.Reason, row.Revision = o.DataCentre.Out, o.DataCentre.Reason, o.Revision
		}
		if row.Out {
			state = "out"
		}
		centres = append(centres, row)
		rows = append(rows, []string{row.DataCentre, state, fmt.Sprint(row.Instances), fmt.Sprint(row.Confirmed), fmt.Sprint(row.Revision), row.Reason})
	}
	return newClient(c).print(centres, rows)
}

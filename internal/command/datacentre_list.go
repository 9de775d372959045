package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

// dataCentreRow is one data centre in the JSON output of "datacentre list".
type dataCentreRow struct {
	DataCentre string `json:"datacentre"`
	Out        bool   `json:"out"`
	Reason     string `json:"reason,omitempty"`
	Instances  int    `json:"instances"`
	// Confirmed is true when all entry instances of the data centre have the
	// newest revision.
	Confirmed bool `json:"confirmed"`
	// Revision is that of the last order for the data centre, 0 when there is
	// none.
	Revision uint64 `json:"revision"`
}

func dataCentreListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list all data centres",
		Flags:  entryInstanceFlags(),
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
	centres := []dataCentreRow{}
	rows := [][]string{{"DATACENTRE", "STATE", "INSTANCES", "CONFIRMED", "REVISION", "REASON"}}
	for _, dc := range status.DataCentres {
		row := dataCentreRow{DataCentre: dc.DataCentre, Instances: dc.Instances, Confirmed: dc.Confirmed}
		state := "in"
		if o, ok := contract.Find(list.Objects, dc.DataCentre); ok {
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

package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

func dataCentreCommand() *cli.Command {
	return &cli.Command{
		Name:  "datacentre",
		Usage: "take data centres out of service and back",
		Commands: []*cli.Command{
			{
				Name:      "out",
				Usage:     "take a data centre out of service, so that no work starts there",
				ArgsUsage: "DATACENTRE",
				Flags:     changeFlags(&cli.StringFlag{Name: "reason", Usage: "`TEXT` shown in refusals"}),
				Action: func(ctx context.Context, c *cli.Command) error {
					return orderDataCentre(c, true)
				},
			},
			dataCentreBackCommand(),
			dataCentreListCommand(),
		},
	}
}

// orderDataCentre commits an order that takes a data centre out of service (out)
// or returns it to service, based on the current revision of its order.
func orderDataCentre(c *cli.Command, out bool) error {
	if c.Args().Len() != 1 {
		return cli.Exit("the name of one data centre is required", ExitUsage)
	}
	ref := contract.Ref{Kind: contract.KindDataCentre, Name: c.Args().First()}
	var status front.ConfigStatus
	if err := newClient(c).get("/v1/config/status", &status); err != nil {
		return err
	}
	if !hasDataCentre(status, ref.Name) {
		return cli.Exit("no data centre "+ref.Name, ExitUsage)
	}
	list, err := listObjects(c, contract.KindDataCentre)
	if err != nil {
		return err
	}
	current, _ := contract.Find(list.Objects, ref.Name)
	object := contract.Object{Ref: ref, DataCentre: &contract.DataCentreOrder{Name: ref.Name, Out: out, Reason: c.String("reason")}}
	answer, err := commitObject(c, object, current.Revision)
	if err != nil {
		return err
	}
	return printChange(c, ref, answer)
}

func hasDataCentre(status front.ConfigStatus, name string) bool {
	for _, dc := range status.DataCentres {
		if dc.DataCentre == name {
			return true
		}
	}
	return false
}

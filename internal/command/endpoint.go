package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "show endpoints",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the endpoints with their state at one entry instance",
			Flags:  entryInstanceFlags(),
			Action: listEndpoints,
		}},
	}
}

func listEndpoints(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	var answer front.EndpointList
	if err := api.get("/v1/endpoints", &answer); err != nil {
		return err
	}
	rows := [][]string{{"ENDPOINT", "SERVICE", "DATACENTRE", "ADDRESS", "PHASE", "TRIAL", "RUNNING", "BOUND", "DC OUT"}}
	for _, e := range answer.Endpoints {
		rows = append(rows, []string{
			e.ID, e.Service, e.DataCentre, e.Address, string(e.Phase), strconv.FormatBool(e.Trial),
			fmt.Sprint(e.Running), fmt.Sprint(e.Bound), strconv.FormatBool(e.DataCentreOut),
		})
	}
	return api.print(answer, rows)
}

package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/front"
)

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "issue tickets for requests that run at most once",
		Commands: []*cli.Command{{
			Name:  "issue",
			Usage: "issue tickets at one entry instance",
			Flags: append(entryInstanceFlags(), keyFlag(),
				&cli.IntFlag{Name: "count", Usage: "`NUMBER` of tickets", Value: 1}),
			Action: issueTickets,
		}},
	}
}

// keyFlag returns the flag with the secret of a team's key.
func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "`SECRET` of the team's key", Sources: cli.EnvVars("CROCUSJUNCTION_KEY")}
}

func issueTickets(ctx context.Context, c *cli.Command) error {
	api := newClient(c)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(front.HeaderKey, c.String("key"))
	req.SetRequestURI("http://" + api.address + fmt.Sprintf("/v1/tickets?count=%d", c.Int("count")))
	var answer front.TicketList
	if err := api.do(req, &answer); err != nil {
		return err
	}
	rows := [][]string{{"TICKET"}}
	for _, t := range answer.Tickets {
		rows = append(rows, []string{t})
	}
	return api.print(answer, rows)
}

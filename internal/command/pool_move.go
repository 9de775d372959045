package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func poolMoveCommand() *cli.Command {
	return &cli.Command{
		Name:      "move",
		Usage:     "order the move of an instance to another pool",
		ArgsUsage: "INSTANCE POOL",
		Flags:     append(entryInstanceFlags(), authorFlag()),
		Action:    moveInstance,
	}
}

func moveInstance(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit("pool move needs an instance and a pool", ExitUsage)
	}
	api := newClient(c)
	request := front.MoveRequest{Instance: c.Args().Get(0), Pool: c.Args().Get(1), Author: c.String("author")}
	var order machine.MoveOrder
	if err := api.post("/v1/maintenance/move", request, &order); err != nil {
		return err
	}
	return api.print(order, [][]string{{"INSTANCE", "POOL", "RESULT"}, {order.Instance, order.Pool, "ordered"}})
}

package command

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func waveStartCommand() *cli.Command {
	return &cli.Command{
		Name:      "start",
		Usage:     "start a wave that reboots every member of the given pools once",
		ArgsUsage: "NAME POOL...",
		Flags: append(entryInstanceFlags(), authorFlag(),
			&cli.BoolFlag{Name: "one-by-one", Usage: "take one instance out of service at a time"}),
		Action: startWave,
	}
}

func startWave(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return cli.Exit("wave start needs a name and at least one pool", ExitUsage)
	}
	api := newClient(c)
	request := front.WaveRequest{
		Name: c.Args().First(), Pools: c.Args().Tail(), OneByOne: c.Bool("one-by-one"), Author: c.String("author"),
	}
	var w machine.Wave
	if err := api.post("/v1/maintenance/wave/start", request, &w); err != nil {
		return err
	}
	return api.print(w, [][]string{{"WAVE", "POOLS", "STATE"}, {w.Name, strings.Join(w.Pools, ","), string(w.State)}})
}

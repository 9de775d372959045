package command

import (
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:     "wave",
		Usage:    "manage maintenance waves",
		Commands: []*cli.Command{waveStartCommand(), wavePauseCommand(), waveResumeCommand(), waveShowCommand()},
	}
}

// authorFlag returns the flag with the operator's name.
func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", Value: os.Getenv("USER")}
}

// changeWave posts an order for the wave that the argument names and prints its
// new state.
func changeWave(c *cli.Command, path string) error {
	if c.Args().Len() != 1 {
		return cli.Exit("the name of one wave is required", ExitUsage)
	}
	api := newClient(c)
	var w machine.Wave
	if err := api.post(path+c.Args().First(), struct{}{}, &w); err != nil {
		return err
	}
	return api.print(w, [][]string{{"WAVE", "STATE"}, {w.Name, string(w.State)}})
}

package command

import (
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:     "wave",
		Usage:    "work with maintenance waves",
		Commands: []*cli.Command{waveStartCommand(), wavePauseCommand(), waveResumeCommand(), waveShowCommand()},
	}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", Value: os.Getenv("USER")}
}

// changeWave posts an order about one wave and prints its new state.
func changeWave(c *cli.Command, path string) error {
	if c.Args().Len() != 1 {
		return cli.Exit("the name of a wave is needed", ExitUsage)
	}
	api := newClient(c)
	var w machine.Wave
	if err := api.post(path+c.Args().First(), struct{}{}, &w); err != nil {
		return err
	}
	return api.print(w, [][]string{{"WAVE", "STATE"}, {w.Name, string(w.State)}})
}

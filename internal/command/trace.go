package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "follow one job, task, worker or machine through the logs of nodes",
		ArgsUsage: "ID FILE...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("trace: an ID and at least one FILE are needed", ExitUsage)
			}
			t, err := readTrace(c.Args().First(), c.Args().Tail())
			if err != nil {
				return cli.Exit("trace: "+err.Error(), ExitUsage)
			}
			return printTrace(c.Root().Writer, t, c.Bool("json"))
		},
	}
}

func readTrace(id string, files []string) (trace.Trace, error) {
	collector := trace.NewCollector(id)
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.Trace{}, errors.Wrap(err, "open log")
		}
		err = collector.Read(f)
		_ = f.Close()
		if err != nil {
			return trace.Trace{}, errors.Wrap(err, name)
		}
	}
	return collector.Trace(), nil
}

func printTrace(out io.Writer, t trace.Trace, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(t)
	}
	for _, line := range t.Lines {
		var fields []string
		for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
			fields = append(fields, key+"="+line.Fields[key])
		}
		if _, err := fmt.Fprintf(out, "%s  %-14s  %s  %s\n", line.Time.Format("15:04:05.000"), line.Instance, line.Message, strings.Join(fields, " ")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if t.Unreadable > 0 {
		if _, err := fmt.Fprintf(out, "%d lines could not be read\n", t.Unreadable); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", t.Cause)
	return err
}

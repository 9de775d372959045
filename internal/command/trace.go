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
				return cli.Exit("trace needs an id and at least one file", ExitUsage)
			}
			t, err := readTrace(c.Args().First(), c.Args().Tail())
			if err != nil {
				return cli.Exit("trace: "+err.Error(), ExitUsage)
			}
			return printTrace(c.Root().Writer, t, c.Bool("json"))
		},
	}
}

// readTrace reads log files of nodes and returns the trace of id.
func readTrace(id string, files []string) (trace.Trace, error) {
	collector := trace.NewCollector(id)
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return trace.Trace{}, errors.Wrap(err, "open log")
		}
		err = collector.Read(file)
		_ = file.Close()
		if err != nil {
			return trace.Trace{}, errors.Wrap(err, name)
		}
	}
	return collector.Trace(), nil
}

// printTrace writes a trace as JSON, or as one line for each log line followed by
// the cause.
func printTrace(out io.Writer, result trace.Trace, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(result)
	}
	for _, line := range result.Lines {
		var fields []string
		for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
			fields = append(fields, key+"="+line.Fields[key])
		}
		if _, err := fmt.Fprintf(out, "%s  %-14s  %s  %s\n", line.Time.Format("15:04:05.000"), line.Instance, line.Message, strings.Join(fields, " ")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if result.Unreadable > 0 {
		if _, err := fmt.Fprintf(out, "%d lines could not be read\n", result.Unreadable); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", result.Cause)
	return err
}

package command

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list, release and end records that made a node's decision fail",
		Description: "The store is that of a node's settings file, by default the one that " +
			platform.SettingsVariable + " names.",
		Commands: []*cli.Command{
			quarantineListCommand(),
			quarantineReleaseCommand(),
			quarantineEndCommand(),
		},
	}
}

// nodeSettingsFlag names the settings file of a node.
func nodeSettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a node"}
}

// openQuarantine returns the quarantine in the store that the settings file names.
func openQuarantine(c *cli.Command) (node.QuarantineStore, error) {
	s, err := nodeSettings(c.String("settings"))
	if err != nil {
		return node.QuarantineStore{}, cli.Exit(err.Error(), ExitUsage)
	}
	return node.NewQuarantineStore(s), nil
}

// nodeSettings reads the settings file at path, or the node's own if path is empty.
func nodeSettings(path string) (platform.Settings, error) {
	if path == "" {
		return platform.LoadSettings()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return platform.Settings{}, errors.Wrap(err, "read settings")
	}
	return platform.ParseSettings(data)
}

// recordArgument parses an argument of the form KIND/NAME.
func recordArgument(c *cli.Command) (scheduler.Record, error) {
	kind, name, ok := strings.Cut(c.Args().First(), "/")
	if !ok || kind == "" || name == "" || c.Args().Len() != 1 {
		return scheduler.Record{}, cli.Exit(c.Name+" needs one record as KIND/NAME, such as job/00ab12cd34ef5678", ExitUsage)
	}
	return scheduler.Record{Kind: scheduler.RecordKind(kind), Name: name}, nil
}

// quarantineExit returns the error of a command with its exit code: ExitUnknown if
// the command may have taken effect.
func quarantineExit(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrUnknown):
		return cli.Exit(err.Error(), ExitUnknown)
	}
	return cli.Exit(err.Error(), ExitFailed)
}

func quarantineListCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list the records in quarantine with the failure that each caused",
		Flags:  []cli.Flag{nodeSettingsFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: listQuarantine,
	}
}

func listQuarantine(_ context.Context, c *cli.Command) error {
	q, err := openQuarantine(c)
	if err != nil {
		return err
	}
	records, err := q.List()
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(records)
	}
	rows := [][]string{{"RECORD", "SINCE", "NODE", "ERROR"}}
	for _, r := range records {
		rows = append(rows, []string{r.Kind + "/" + r.Name, r.At.UTC().Format(time.RFC3339), r.Node, r.Error})
	}
	return printTable(c.Root().Writer, rows)
}

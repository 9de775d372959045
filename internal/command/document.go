package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

func documentCommand() *cli.Command {
	return &cli.Command{
		Name:  "document",
		Usage: "manage service documents",
		Commands: []*cli.Command{
			documentPutCommand(),
			documentGetCommand(),
			documentListCommand(),
			documentCheckCommand(),
		},
	}
}

func documentPutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "create or replace a document from a JSON file",
		ArgsUsage: "FILE",
		Flags:     changeFlags(baseFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			object, err := readDocument(c.Args().First())
			if err != nil {
				return err
			}
			return putObject(c, object)
		},
	}
}

// readDocument reads and checks a document file.
func readDocument(path string) (contract.Object, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return contract.Object{}, cli.Exit(err.Error(), ExitUsage)
	}
	object, err := parseDocument(data)
	if err != nil {
		return contract.Object{}, cli.Exit(err.Error(), ExitUsage)
	}
	return object, nil
}

// parseDocument decodes and checks a document. The error names every invalid
// field.
func parseDocument(data []byte) (contract.Object, error) {
	var d contract.Document
	if err := strictjson.Decode(data, &d); err != nil {
		return contract.Object{}, err
	}
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: d.Service}, Document: &d}
	return object, object.Check()
}

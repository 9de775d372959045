package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

func documentCommand() *cli.Command {
	return &cli.Command{
		Name:  "document",
		Usage: "work with service documents",
		Commands: []*cli.Command{{
			Name:      "put",
			Usage:     "put a document from a JSON file",
			ArgsUsage: "FILE",
			Flags: append(entryFlags(),
				&cli.Uint64Flag{Name: "base", Usage: "object `REVISION` that was edited, 0 for a new document"},
				&cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", Value: os.Getenv("USER")},
			),
			Action: putDocument,
		}},
	}
}

func putDocument(ctx context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	var d contract.Document
	if err := strictjson.Decode(data, &d); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: d.Service}, Document: &d}
	return putObject(c, object)
}

// putObject commits one object and prints the result.
func putObject(c *cli.Command, object contract.Object) error {
	if err := object.Check(); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	api := newClient(c)
	change := contract.Change{ID: newChangeID(), Author: c.String("author"), Base: c.Uint64("base"), Object: object}
	var answer front.ChangeAnswer
	if err := api.post("/v1/config/change", change, &answer); err != nil {
		return err
	}
	return api.print(answer, [][]string{
		{"OBJECT", "RESULT", "REVISION"},
		{object.Ref.String(), string(answer.Result), fmt.Sprint(answer.Revision)},
	})
}

// newChangeID returns a random id. It lets a lost answer be resolved.
func newChangeID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

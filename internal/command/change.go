package command

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

// changeFlags are the flags of every command that changes the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	author := &cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", Value: os.Getenv("USER")}
	return append(append(entryFlags(), author), more...)
}

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "base", Usage: "object `REVISION` that was edited, 0 for a new object"}
}

// putObject commits one object on top of the base flag and prints the result.
func putObject(c *cli.Command, object contract.Object) error {
	answer, err := commitObject(c, object, c.Uint64("base"))
	if err != nil {
		return err
	}
	return printChange(c, object.Ref, answer)
}

// commitObject commits one object that was edited at revision base.
func commitObject(c *cli.Command, object contract.Object, base uint64) (front.ChangeAnswer, error) {
	var answer front.ChangeAnswer
	if err := object.Check(); err != nil {
		return answer, cli.Exit(err.Error(), ExitUsage)
	}
	change := contract.Change{ID: newChangeID(), Author: c.String("author"), Base: base, Object: object}
	err := newClient(c).post("/v1/config/change", change, &answer)
	return answer, err
}

func printChange(c *cli.Command, ref contract.Ref, answer front.ChangeAnswer) error {
	api := newClient(c)
	rows := [][]string{{"OBJECT", "RESULT", "REVISION"}, {ref.String(), string(answer.Result), fmt.Sprint(answer.Revision)}}
	if err := api.print(answer, rows); err != nil || api.asJSON {
		return err
	}
	return api.print(answer, spreadRows(answer.Propagation))
}

// spreadRows says for each data centre whether it holds a revision.
func spreadRows(s front.Propagation) [][]string {
	rows := [][]string{{"DATACENTRE", "CONFIRMED", "INSTANCES", "MISSING", "REASON"}}
	for _, centre := range s.Centres {
		rows = append(rows, []string{
			centre.DataCentre, fmt.Sprint(centre.Confirmed), fmt.Sprint(centre.Instances), strings.Join(centre.Missing, ","), centre.Reason,
		})
	}
	if s.OldEnds != nil {
		rows = append(rows, []string{"unconfirmed data centres start nothing on an older configuration after " + s.OldEnds.Format(time.RFC3339)})
	}
	if s.LongestStalenessEnds != nil {
		rows = append(rows, []string{"documents with a longer staleness bound: after " + s.LongestStalenessEnds.Format(time.RFC3339)})
	}
	return rows
}

// listObjects reads all objects of one kind.
func listObjects(c *cli.Command, kind contract.Kind) (front.ObjectList, error) {
	var list front.ObjectList
	err := newClient(c).get("/v1/config/"+string(kind), &list)
	return list, err
}

// getObject reads one object.
func getObject(c *cli.Command, ref contract.Ref) (contract.Object, error) {
	var list front.ObjectList
	if err := newClient(c).get("/v1/config/"+ref.String(), &list); err != nil {
		return contract.Object{}, err
	}
	if len(list.Objects) != 1 {
		return contract.Object{}, cli.Exit("the entry instance sent no object "+ref.String(), ExitFailed)
	}
	return list.Objects[0], nil
}

// newChangeID returns a random id. It lets a lost answer be resolved.
func newChangeID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

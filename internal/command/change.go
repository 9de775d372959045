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

// changeFlags returns the flags of every command that changes the configuration,
// followed by extra.
func changeFlags(extra ...cli.Flag) []cli.Flag {
	author := &cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", Value: os.Getenv("USER")}
	return append(append(entryInstanceFlags(), author), extra...)
}

// baseFlag returns the flag with the revision that a change is based on.
func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "base", Usage: "`REVISION` of the object that was edited, 0 for a new object"}
}

// putObject commits an object that was edited at the revision of the base flag
// and prints the result.
func putObject(c *cli.Command, object contract.Object) error {
	answer, err := commitObject(c, object, c.Uint64("base"))
	if err != nil {
		return err
	}
	return printChange(c, object.Ref, answer)
}

// commitObject checks an object and sends it to the entry instance as a change
// based on revision base. The instance answers with a conflict when the object
// has a later revision.
func commitObject(c *cli.Command, object contract.Object, base uint64) (front.ChangeAnswer, error) {
	var answer front.ChangeAnswer
	if err := object.Check(); err != nil {
		return answer, cli.Exit(err.Error(), ExitUsage)
	}
	change := contract.Change{ID: newChangeID(), Author: c.String("author"), Base: base, Object: object}
	err := newClient(c).post("/v1/config/change", change, &answer)
	return answer, err
}

// printChange prints the result of a change of ref and which data centres have
// confirmed it.
func printChange(c *cli.Command, ref contract.Ref, answer front.ChangeAnswer) error {
	api := newClient(c)
	rows := [][]string{{"OBJECT", "RESULT", "REVISION"}, {ref.String(), string(answer.Result), fmt.Sprint(answer.Revision)}}
	if err := api.print(answer, rows); err != nil || api.asJSON {
		return err
	}
	return api.print(answer, propagationRows(answer.Propagation))
}

// propagationRows returns a table that shows for each data centre whether it has
// confirmed a revision.
func propagationRows(p front.Propagation) [][]string {
	rows := [][]string{{"DATACENTRE", "CONFIRMED", "INSTANCES", "MISSING", "REASON"}}
	for _, dc := range p.DataCentres {
		rows = append(rows, []string{
			dc.DataCentre, fmt.Sprint(dc.Confirmed), fmt.Sprint(dc.Instances), strings.Join(dc.Missing, ","), dc.Reason,
		})
	}
	if p.OldConfigurationEnds != nil {
		rows = append(rows, []string{"unconfirmed data centres start nothing on an older configuration after " + p.OldConfigurationEnds.Format(time.RFC3339)})
	}
	if p.LongestStalenessEnds != nil {
		rows = append(rows, []string{"documents with a longer staleness bound: after " + p.LongestStalenessEnds.Format(time.RFC3339)})
	}
	return rows
}

// listObjects reads all configuration objects of one kind.
func listObjects(c *cli.Command, kind contract.Kind) (front.ObjectList, error) {
	var list front.ObjectList
	err := newClient(c).get("/v1/config/"+string(kind), &list)
	return list, err
}

// getObject reads one configuration object.
func getObject(c *cli.Command, ref contract.Ref) (contract.Object, error) {
	var list front.ObjectList
	if err := newClient(c).get("/v1/config/"+ref.String(), &list); err != nil {
		return contract.Object{}, err
	}
	if len(list.Objects) != 1 {
		return contract.Object{}, cli.Exit("the answer of the entry instance does not contain object "+ref.String(), ExitFailed)
	}
	return list.Objects[0], nil
}

// newChangeID returns a random id. When the answer to the write of a change is
// lost, the entry instance looks up the id to find out whether the change was
// committed.
func newChangeID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

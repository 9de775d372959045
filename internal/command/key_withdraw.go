package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
)

func keyWithdrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw the given keys, or all keys of a team",
		ArgsUsage: "KEY...",
		Flags:     changeFlags(&cli.StringFlag{Name: "team", Usage: "withdraw all keys of `TEAM`"}),
		Action:    withdrawKeys,
	}
}

func withdrawKeys(ctx context.Context, c *cli.Command) error {
	keys, err := keysToWithdraw(c)
	if err != nil {
		return err
	}
	answers := make([]front.ChangeAnswer, 0, len(keys))
	rows := [][]string{{"KEY", "RESULT", "REVISION"}}
	var lastPropagation front.Propagation
	for _, key := range keys {
		answer, err := commitObject(c, contract.Object{Ref: key.Ref, Deleted: true}, key.Revision)
		if err != nil {
			return cli.Exit(fmt.Sprintf("withdraw %s after %d of %d keys: %v", key.Ref.Name, len(answers), len(keys), err), exitCode(err))
		}
		answers = append(answers, answer)
		rows = append(rows, []string{key.Ref.Name, string(answer.Result), fmt.Sprint(answer.Revision)})
		lastPropagation = answer.Propagation
	}
	return newClient(c).print(answers, append(rows, propagationRows(lastPropagation)...))
}

// keysToWithdraw returns the keys that the arguments name, or all keys of the
// team that the flag names.
func keysToWithdraw(c *cli.Command) ([]contract.Object, error) {
	team := c.String("team")
	if (team == "") == (c.Args().Len() == 0) {
		return nil, cli.Exit("key withdraw needs key ids or --team", ExitUsage)
	}
	list, err := listObjects(c, contract.KindKey)
	if err != nil {
		return nil, err
	}
	var keys []contract.Object
	for _, o := range list.Objects {
		if team != "" && o.Key.Team == team {
			keys = append(keys, o)
		}
	}
	for _, id := range c.Args().Slice() {
		key, ok := contract.Find(list.Objects, id)
		if !ok {
			return nil, cli.Exit("no key "+id, ExitFailed)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// secretSize is the length of a key's secret before encoding, in bytes.
const secretSize = 32

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:     "key",
		Usage:    "grant and withdraw keys",
		Commands: []*cli.Command{keyGrantCommand(), keyWithdrawCommand(), keyListCommand()},
	}
}

func keyGrantCommand() *cli.Command {
	return &cli.Command{
		Name:      "grant",
		Usage:     "grant a new key to a team and print its secret once",
		ArgsUsage: "TEAM",
		Flags:     changeFlags(&cli.StringFlag{Name: "id", Usage: "`NAME` of the key, by default the team's name and random digits"}),
		Action:    grantKey,
	}
}

// grantedKey is the JSON output of "key grant". The secret is printed only here;
// the configuration stores its hash.
type grantedKey struct {
	ID     string             `json:"id"`
	Team   string             `json:"team"`
	Secret string             `json:"secret"`
	Change front.ChangeAnswer `json:"change"`
}

func grantKey(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("key grant needs a team", ExitUsage)
	}
	granted := grantedKey{ID: c.String("id"), Team: c.Args().First(), Secret: randomHex(secretSize)}
	if granted.ID == "" {
		granted.ID = granted.Team + "-" + randomHex(4)
	}
	object := contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: granted.ID},
		Key: &contract.Key{ID: granted.ID, Team: granted.Team, Hash: traffic.HashSecret(granted.Secret)},
	}
	answer, err := commitObject(c, object, 0)
	if err != nil {
		return err
	}
	granted.Change = answer
	return newClient(c).print(granted, append([][]string{
		{"KEY", "TEAM", "REVISION", "SECRET (shown once)"},
		{granted.ID, granted.Team, fmt.Sprint(answer.Revision), granted.Secret},
	}, propagationRows(answer.Propagation)...))
}

// randomHex returns size random bytes in hexadecimal.
func randomHex(size int) string {
	data := make([]byte, size)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

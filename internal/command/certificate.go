package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/peer"
)

// testCertificateValidity is the default validity period of test certificates.
const testCertificateValidity = 30 * 24 * time.Hour

func certificateCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificate",
		Usage: "manage the certificates of entry instances",
		Commands: []*cli.Command{{
			Name:      "create",
			Usage:     "write a test CA and a certificate for each member id",
			ArgsUsage: "MEMBER...",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the files", Required: true},
				&cli.DurationFlag{Name: "validity", Usage: "`TIME` until the certificates expire", Value: testCertificateValidity},
			},
			Action: createCertificates,
		}},
	}
}

func createCertificates(ctx context.Context, c *cli.Command) error {
	members := c.Args().Slice()
	if len(members) == 0 {
		return cli.Exit("certificate create needs at least one member id", ExitUsage)
	}
	dir := c.String("out")
	if err := peer.WriteTestCertificates(dir, members, time.Now(), c.Duration("validity")); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "wrote a CA and %d certificates to %s\n", len(members), dir)
	return err
}

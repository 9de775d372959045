package command

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/crocusjunction/crocusjunction/internal/standin"
)

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` as ip:port", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an external system",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "run a platform with its key-value service and instance list", Flags: []cli.Flag{listen}, Action: runPlatform},
			{
				Name:  "endpoint",
				Usage: "run an endpoint that echoes requests",
				Flags: []cli.Flag{
					listen,
					&cli.DurationFlag{Name: "work", Usage: "`TIME` spent on each request", Value: time.Millisecond},
				},
				Action: runEndpoint,
			},
		},
	}
}

// standinServer is the common interface of the stand-ins.
type standinServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	return serveUntilDone(ctx, c.String("listen"), standin.NewPlatformServer(standin.NewStore(time.Now)))
}

func runEndpoint(ctx context.Context, c *cli.Command) error {
	return serveUntilDone(ctx, c.String("listen"), standin.NewEndpoint(c.Duration("work")))
}

// serveUntilDone serves on address until ctx ends.
func serveUntilDone(ctx context.Context, address string, s standinServer) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	logrus.Infof("standin: listening on %s", l.Addr())
	cancelShutdown := context.AfterFunc(ctx, func() { _ = s.Shutdown(context.Background()) })
	defer cancelShutdown()
	return s.Serve(l)
}

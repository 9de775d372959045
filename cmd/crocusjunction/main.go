// Command crocusjunction manages the capacity and maintenance of a shared fleet.
// It runs entry instances and nodes, and the commands of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocusjunction/crocusjunction/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}

// Package command is the command line of crocusjunction, one command a file.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	// ExitFailed means that the command did not do what was asked.
	ExitFailed = 1
	// ExitUsage means that the arguments or a file were not accepted.
	ExitUsage = 2
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 3
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "crocusjunction",
		Usage: "manage the capacity and maintenance of a shared fleet",
		// Run reports errors and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(),
			nodeCommand(),
			traceCommand(),
			standinCommand(),
			settingsCommand(),
			explainCommand(),
			documentCommand(),
			endpointCommand(),
			workCommand(),
			loadCommand(),
			ticketCommand(),
			poolCommand(),
			waveCommand(),
			instanceCommand(),
			budgetCommand(),
			teamCommand(),
			keyCommand(),
			dataCentreCommand(),
			memberCommand(),
			configCommand(),
			demoCommand(),
			taskCommand(),
			workerCommand(),
			shareCommand(),
			certificateCommand(),
			limitCommand(),
		},
	}
}

// exitCode returns the exit code that an error carries.
func exitCode(err error) int {
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailed
}

// Run runs the program and returns its exit code.
func Run(ctx context.Context, args []string) int {
	if err := New().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "crocusjunction:", err)
		return exitCode(err)
	}
	return 0
}

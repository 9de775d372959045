// Package command implements the command line of crocusjunction, with one file
// for each command.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the program other than 0.
const (
	// ExitFailed means that the command failed and had no effect, or only part of
	// its effect.
	ExitFailed = 1
	// ExitUsage means that the arguments or an input file are invalid.
	ExitUsage = 2
	// ExitUnknown means that it is unknown whether the command has taken effect.
	ExitUnknown = 3
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "crocusjunction",
		Usage: "manage the capacity and maintenance of a shared fleet",
		// The library's default handler prints the error and exits the process. Run
		// prints it and returns the exit code instead.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(),
			nodeCommand(),
			traceCommand(),
			quarantineCommand(),
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

// exitCode returns the exit code that err carries, or ExitFailed when it carries
// none.
func exitCode(err error) int {
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailed
}

// Run runs the program with the given arguments, the program name first. It prints
// an error to standard error and returns the exit code.
func Run(ctx context.Context, args []string) int {
	if err := New().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "crocusjunction:", err)
		return exitCode(err)
	}
	return 0
}

package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// table writes one row for each step to out.
type table struct {
	out    *tabwriter.Writer
	failed bool
}

func newTable(out io.Writer) *table {
	t := &table{out: tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	fmt.Fprintln(t.out, "STEP\tSEEN\tTIME\tRESULT")
	return t
}

// runStep runs a step and adds a row with its observed result, its duration and
// its error.
func (t *table) runStep(name string, run func() (string, error)) {
	started := time.Now()
	observed, err := run()
	result := "ok"
	if err != nil {
		t.failed = true
		result = "FAILED: " + err.Error()
	}
	fmt.Fprintf(t.out, "%s\t%s\t%s\t%s\n", name, observed, time.Since(started).Round(time.Millisecond), result)
}

// finish flushes the table. It returns ErrStepFailed if a step failed.
func (t *table) finish() error {
	if err := t.out.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if t.failed {
		return ErrStepFailed
	}
	return nil
}

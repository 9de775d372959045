package rig

import (
	"fmt"
	"os"
	"testing"
)

// TestMain plays the case that REVIEW_CASE names and writes its record to the file
// that REVIEW_RECORD names. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
func TestMain(*testing.M) {
	cases := map[string]func() (*deployment, []string, error){
		"lost-progress-answers": lostProgressAnswers,
		"withdrawn-then-stored": withdrawnThenStored,
		"crashed-lasting-job":   crashedLastingJob,
	}
	play, record := cases[os.Getenv("REVIEW_CASE")], os.Getenv("REVIEW_RECORD")
	if play == nil || record == "" {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE or REVIEW_RECORD is missing")
		os.Exit(2)
	}
	d, broken, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		if d != nil {
			d.note("could not run: %v", err)
			d.finish(record, nil)
		}
		os.Exit(2)
	}
	os.Exit(d.finish(record, broken))
}

// Package rig3 plays the cases of review/ that are scripts. It plays the users' platform
// and their clients, starts nodes as separate processes and checks one rule.
package rig3

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is one case. It returns whether the rule was broken, and an error if the case
// could not run.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"given-up": playGivenUp,
	"renamed":  playRenamed,
	"advice":   playAdvice,
	"quota":    playQuota,
}

// TestMain plays the case that the first argument names, with the folder that the second
// one names. This is a test binary so that it stays out of what the project builds, and
// may use the platform's names as other stand-ins in tests do.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// timeLimit is less than the 120 s that a script may take.
const timeLimit = 112 * time.Second

func run(p play, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r := &recorder{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		r.log("cannot run: %v", err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, r, dir)
	if err != nil {
		r.log("cannot run: %v", err)
		return notRun
	}
	defer f.stopAll()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := p(f, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.log("cannot run: %v", o.err)
			return notRun
		case o.broken:
			r.log("RESULT: the rule was broken")
			return ruleBroken
		}
		r.log("RESULT: the rule held")
		return ruleHeld
	case <-signals:
		r.log("cannot run: ended by a signal")
	case <-time.After(timeLimit):
		r.log("cannot run: not finished after %v", timeLimit)
	}
	return notRun
}

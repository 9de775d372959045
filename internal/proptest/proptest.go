// Package proptest runs property tests with a fixed seed, so that every run has
// the same result. Only tests import it.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// DefaultSeed is the seed of property tests that do not set their own with
// Check.
const DefaultSeed = 20261204

const seedFlag = "rapid.seed"

// Main runs the tests of a package with DefaultSeed and without rapid's fail
// files, and exits the process. Further flags of rapid are given as name, value
// pairs. Flags on the command line take precedence.
func Main(m *testing.M, flags ...string) {
	setFlag(seedFlag, fmt.Sprint(DefaultSeed))
	setFlag("rapid.nofailfile", "true")
	for i := 0; i+1 < len(flags); i += 2 {
		setFlag(flags[i], flags[i+1])
	}
	os.Exit(m.Run())
}

// Check checks a property with the given seed, unless the command line sets a
// seed. It changes a global flag, so that tests that call it must not run in
// parallel.
func Check(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	if !setOnCommandLine(seedFlag) {
		previous := flag.Lookup(seedFlag).Value.String()
		setFlag(seedFlag, fmt.Sprint(seed))
		defer setFlag(seedFlag, previous)
	}
	rapid.Check(t, property)
}

// setFlag changes the value of a flag. Unlike flag.Set, it does not mark the
// flag as set on the command line. It panics if the flag or the value is invalid.
func setFlag(name, value string) {
	if err := flag.Lookup(name).Value.Set(value); err != nil {
		panic(fmt.Sprintf("proptest: flag %s: %v", name, err))
	}
}

// setOnCommandLine reports whether the command line sets a flag.
func setOnCommandLine(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

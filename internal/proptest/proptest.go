// Package proptest gives property tests a fixed seed, so that every run has the
// same verdict. Only tests import it.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// DefaultSeed is the seed of property tests that name none.
const DefaultSeed = 20261204

const seedFlag = "rapid.seed"

// Main runs the tests of a package with DefaultSeed and without files for
// failed runs. Values of further flags of rapid are given as name, value pairs.
// Flags on the command line take precedence.
func Main(m *testing.M, flags ...string) {
	set(seedFlag, fmt.Sprint(DefaultSeed))
	set("rapid.nofailfile", "true")
	for i := 0; i+1 < len(flags); i += 2 {
		set(flags[i], flags[i+1])
	}
	os.Exit(m.Run())
}

// Check checks a property with a seed of its own, unless the command line names
// one.
func Check(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	if !onCommandLine(seedFlag) {
		before := flag.Lookup(seedFlag).Value.String()
		set(seedFlag, fmt.Sprint(seed))
		defer set(seedFlag, before)
	}
	rapid.Check(t, property)
}

// set changes a flag's value without marking the flag as given, which flag.Set
// would do.
func set(name, value string) {
	if err := flag.Lookup(name).Value.Set(value); err != nil {
		panic(fmt.Sprintf("proptest: flag %s: %v", name, err))
	}
}

func onCommandLine(name string) bool {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	return given
}

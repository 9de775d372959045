// Command capacity runs the benchmarks of the control paths, writes their raw
// output to a file, and prints a table with the median and the range of each
// benchmark at each size, and a fitted line for benchmarks with three sizes or
// more.
//
// The size is the number in the last "name=number" part of a benchmark's name,
// as in BenchmarkPlan/workers=1200. Earlier parts of this form are expected to
// grow with it, so their numbers are ignored.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

func main() {
	count := flag.Int("count", 5, "number of runs of each benchmark")
	bench := flag.String("bench", ".", "regular expression that selects benchmarks")
	benchtime := flag.String("benchtime", "200ms", "duration or iterations of each run")
	rawFile := flag.String("raw", "docs/capacity-raw.txt", "file with the raw benchmark output")
	useExisting := flag.Bool("read", false, "read the raw file and do not run the benchmarks")
	flag.Parse()
	if err := run(*count, *bench, *benchtime, *rawFile, *useExisting); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(count int, bench, benchtime, rawFile string, useExisting bool) error {
	if !useExisting {
		if err := runBenchmarks(count, bench, benchtime, rawFile); err != nil {
			return err
		}
	}
	data, err := os.ReadFile(rawFile)
	if err != nil {
		return errors.Wrap(err, "read raw benchmark output")
	}
	r, err := parse(data)
	if err != nil {
		return err
	}
	return writeTable(os.Stdout, r)
}

// runBenchmarks runs the benchmarks and writes their output to rawFile. It runs
// one package after the other, so that benchmarks do not compete for cores.
func runBenchmarks(count int, bench, benchtime, rawFile string) error {
	args := []string{"test", "-run", "^$", "-bench", bench, "-benchmem", "-p", "1",
		"-count", strconv.Itoa(count), "-benchtime", benchtime, "./internal/..."}
	cmd := exec.Command("go", args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	if err := cmd.Run(); err != nil {
		return errors.Wrapf(err, "go %s", strings.Join(args, " "))
	}
	header := "# go " + strings.Join(args, " ") + "\n"
	if err := os.WriteFile(rawFile, append([]byte(header), out.Bytes()...), 0o644); err != nil {
		return errors.Wrap(err, "write raw benchmark output")
	}
	return nil
}

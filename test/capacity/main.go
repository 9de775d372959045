// Command capacity runs the benchmarks of the control paths, writes the raw
// output to a file, and prints a table with the median, the range and the
// fitted slope of each benchmark that has several sizes.
//
// A size is the last "name=number" part of a benchmark's name, as in
// BenchmarkPlan/workers=1200. Earlier parts of this form grow with it.
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
	count := flag.Int("count", 5, "runs of each benchmark")
	bench := flag.String("bench", ".", "pattern of benchmarks")
	benchtime := flag.String("benchtime", "200ms", "time or iterations of each run")
	raw := flag.String("raw", "docs/capacity-raw.txt", "file for the raw output")
	read := flag.Bool("read", false, "read the raw file instead of running the benchmarks")
	flag.Parse()
	if err := run(*count, *bench, *benchtime, *raw, *read); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(count int, bench, benchtime, raw string, read bool) error {
	if !read {
		if err := measure(count, bench, benchtime, raw); err != nil {
			return err
		}
	}
	data, err := os.ReadFile(raw)
	if err != nil {
		return errors.Wrap(err, "read raw figures")
	}
	samples, err := parse(data)
	if err != nil {
		return err
	}
	return writeTable(os.Stdout, samples)
}

// measure runs one package after the other, so that benchmarks do not compete
// for cores.
func measure(count int, bench, benchtime, raw string) error {
	args := []string{"test", "-run", "^$", "-bench", bench, "-benchmem", "-p", "1",
		"-count", strconv.Itoa(count), "-benchtime", benchtime, "./internal/..."}
	cmd := exec.Command("go", args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	if err := cmd.Run(); err != nil {
		return errors.Wrapf(err, "go %s", strings.Join(args, " "))
	}
	header := "# go " + strings.Join(args, " ") + "\n"
	if err := os.WriteFile(raw, append([]byte(header), out.Bytes()...), 0o644); err != nil {
		return errors.Wrap(err, "write raw figures")
	}
	return nil
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// series holds the values of one benchmark in one unit, by size. A benchmark
// without a size has the size 0.
type series struct {
	name, unit string
	// sizes are in the order of the benchmark output; values[i] has the values of
	// all runs at sizes[i].
	sizes  []float64
	values [][]float64
}

// results holds all series in the order of the benchmark output, and by key.
type results struct {
	ordered []*series
	byKey   map[string]*series
}

var (
	// resultPattern matches a result line: the name without the GOMAXPROCS suffix,
	// the iterations, and pairs of value and unit.
	resultPattern = regexp.MustCompile(`^(Benchmark\S+?)(?:-\d+)?\s+\d+\s+(.+)$`)
	// sizePattern matches one "name=number" part of a benchmark's name.
	sizePattern = regexp.MustCompile(`/([a-z_]+)=(\d+)`)
)

// parse reads the output of go test -bench.
func parse(data []byte) (*results, error) {
	r := &results{byKey: make(map[string]*series)}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := resultPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		if err := r.add(match[1], strings.Fields(match[2])); err != nil {
			return nil, err
		}
	}
	if len(r.ordered) == 0 {
		return nil, errors.New("output contains no benchmark results")
	}
	return r, scanner.Err()
}

// add adds the pairs of value and unit from one result line.
func (r *results) add(name string, fields []string) error {
	size := 0.0
	if matches := sizePattern.FindAllStringSubmatch(name, -1); matches != nil {
		size, _ = strconv.ParseFloat(matches[len(matches)-1][2], 64)
		name = sizePattern.ReplaceAllString(name, "/$1")
	}
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return errors.Wrapf(err, "parse value of benchmark %s", name)
		}
		r.seriesOf(name, fields[i+1]).add(size, value)
	}
	return nil
}

// seriesOf returns the series of a benchmark and unit, and creates it if needed.
func (r *results) seriesOf(name, unit string) *series {
	key := name + " " + unit
	if known, ok := r.byKey[key]; ok {
		return known
	}
	added := &series{name: name, unit: unit}
	r.byKey[key] = added
	r.ordered = append(r.ordered, added)
	return added
}

func (s *series) add(size, value float64) {
	i := slices.Index(s.sizes, size)
	if i < 0 {
		i = len(s.sizes)
		s.sizes = append(s.sizes, size)
		s.values = append(s.values, nil)
	}
	s.values[i] = append(s.values[i], value)
}

// writeTable writes a Markdown table with one row for each series: the median
// and the range at each size, and the least-squares line through the medians.
func writeTable(w io.Writer, r *results) error {
	if _, err := fmt.Fprint(w, "| benchmark | unit | size: median (lowest to highest) | fit |\n|---|---|---|---|\n"); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, row := range r.ordered {
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s |\n", row.name, row.unit, row.sizeColumn(), row.fitColumn()); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}

// sizeColumn returns "size: median (lowest to highest)" for each size.
func (s *series) sizeColumn() string {
	var parts []string
	for i, size := range s.sizes {
		values := slices.Clone(s.values[i])
		slices.Sort(values)
		parts = append(parts, fmt.Sprintf("%g: %s (%s to %s)", size,
			formatNumber(median(values)), formatNumber(values[0]), formatNumber(values[len(values)-1])))
	}
	return strings.Join(parts, "; ")
}

// fitColumn returns the fitted line "a + b*size", or "-" for fewer than three
// sizes.
func (s *series) fitColumn() string {
	if len(s.sizes) < 3 {
		return "-"
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range s.sizes {
		values := slices.Clone(s.values[i])
		slices.Sort(values)
		y := median(values)
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	n := float64(len(s.sizes))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return fmt.Sprintf("%s + %s*size", formatNumber((sumY-slope*sumX)/n), formatNumber(slope))
}

// median returns the median of sorted values.
func median(values []float64) float64 {
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// formatNumber formats v with three significant digits and no exponent.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return strconv.FormatFloat(v, 'f', digits, 64)
}

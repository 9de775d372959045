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

// series holds the figures of one benchmark and one unit by size.
type series struct {
	name, unit string
	// sizes are in the order of the output; values[i] belongs to sizes[i].
	sizes  []float64
	values [][]float64
}

// samples holds all series in the order of the output.
type samples struct {
	list  []*series
	index map[string]*series
}

var (
	linePattern = regexp.MustCompile(`^(Benchmark\S+?)(?:-\d+)?\s+\d+\s+(.+)$`)
	sizePattern = regexp.MustCompile(`/([a-z_]+)=(\d+)`)
)

// parse reads the output of go test -bench.
func parse(data []byte) (*samples, error) {
	s := &samples{index: make(map[string]*series)}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := linePattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		if err := s.add(match[1], strings.Fields(match[2])); err != nil {
			return nil, err
		}
	}
	if len(s.list) == 0 {
		return nil, errors.New("no benchmark figures")
	}
	return s, scanner.Err()
}

// add records the value and unit pairs of one line.
func (s *samples) add(name string, fields []string) error {
	size := 0.0
	if matches := sizePattern.FindAllStringSubmatch(name, -1); matches != nil {
		size, _ = strconv.ParseFloat(matches[len(matches)-1][2], 64)
		name = sizePattern.ReplaceAllString(name, "/$1")
	}
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return errors.Wrapf(err, "benchmark %s", name)
		}
		s.series(name, fields[i+1]).add(size, value)
	}
	return nil
}

func (s *samples) series(name, unit string) *series {
	key := name + " " + unit
	if known, ok := s.index[key]; ok {
		return known
	}
	added := &series{name: name, unit: unit}
	s.index[key] = added
	s.list = append(s.list, added)
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

// writeTable prints one row for each series: median and range at each size, and
// the least-squares line through the medians.
func writeTable(w io.Writer, s *samples) error {
	if _, err := fmt.Fprint(w, "| benchmark | unit | size: median (lowest to highest) | fit |\n|---|---|---|---|\n"); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, one := range s.list {
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s |\n", one.name, one.unit, one.points(), one.fit()); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}

func (s *series) points() string {
	var parts []string
	for i, size := range s.sizes {
		values := slices.Clone(s.values[i])
		slices.Sort(values)
		parts = append(parts, fmt.Sprintf("%g: %s (%s to %s)", size,
			number(median(values)), number(values[0]), number(values[len(values)-1])))
	}
	return strings.Join(parts, "; ")
}

// fit returns "a + b*size", or "-" for fewer than three sizes.
func (s *series) fit() string {
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
	return fmt.Sprintf("%s + %s*size", number((sumY-slope*sumX)/n), number(slope))
}

// median expects sorted values.
func median(values []float64) float64 {
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// number prints three significant digits without an exponent.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return strconv.FormatFloat(v, 'f', digits, 64)
}

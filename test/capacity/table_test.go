package main

import (
	"bytes"
	"strings"
	"testing"
)

const benchmarkOutput = `
BenchmarkPlan/workers=10-10   100   110 ns/op   5 B/op
BenchmarkPlan/workers=10-10   100   130 ns/op   5 B/op
BenchmarkPlan/workers=10-10   100   120 ns/op   5 B/op
BenchmarkPlan/workers=20-10   100   220 ns/op   5 B/op
BenchmarkPlan/workers=30-10   100   320 ns/op   5 B/op
BenchmarkOnce-10   100   7 ns/op
BenchmarkShares/workers=5/full=true/teams=2-10   100   7 ns/op
BenchmarkShares/workers=9/full=true/teams=4-10   100   9 ns/op
`

// TestTableFitsSlope guards against a wrong median, range or slope in the table
// of the capacity page, and against a size that is read from the wrong part of
// a benchmark's name.
func TestTableFitsSlope(t *testing.T) {
	s, err := parse([]byte(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := writeTable(&table, s); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| BenchmarkPlan/workers | ns/op | 10: 120 (110 to 130); 20: 220 (220 to 220); 30: 320 (320 to 320) | 20.0 + 10.0*size |",
		"| BenchmarkOnce | ns/op | 0: 7.00 (7.00 to 7.00) | - |",
		"| BenchmarkShares/workers/full=true/teams | ns/op | 2: 7.00 (7.00 to 7.00); 4: 9.00 (9.00 to 9.00) | - |",
	} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("table lacks %s:\n%s", want, table.String())
		}
	}
}

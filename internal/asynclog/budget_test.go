package asynclog

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestRareLinesAreNotDropped guards against dropping rare lines, which often
// explain a flood of other lines, because the flood has used up the rate limit.
func TestRareLinesAreNotDropped(t *testing.T) {
	b := newLineBudget()
	for kind := range 5 {
		passed := 0
		for range 3 * maxLinesOfKindPerSecond {
			if b.allow(fmt.Sprint("flood", kind)) {
				passed++
			}
		}
		if passed > maxLinesOfKindPerSecond {
			t.Errorf("%d lines of one kind were allowed in one second", passed)
		}
	}
	for range reservedLinesOfKindPerSecond {
		if !b.allow("rare") {
			t.Fatal("a rare line was dropped")
		}
	}
}

// BenchmarkWrite measures formatting a line and writing it to the output.
func BenchmarkWrite(b *testing.B) {
	l := New(io.Discard, logrus.Fields{"instance": "edge-1"})
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	for b.Loop() {
		l.emit(line{part: "scheduler", text: "task started", fields: logrus.Fields{
			"job": "5c0e7a21d94b36f8", "task": "5c0e7a21d94b36f8.0.1.17", "run": 1, "worker": "i-fdaa4b09c4", "fence": 7, "free_millicores": 550, "resumed": false,
		}})
	}
	stop()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

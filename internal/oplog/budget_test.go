package oplog

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestRareLinesPass guards against a flood of one kind of line that drops the
// lines which explain it.
func TestRareLinesPass(t *testing.T) {
	b := newBudget()
	for kind := range 5 {
		passed := 0
		for range 3 * kindPerSecond {
			if b.take(fmt.Sprint("flood", kind)) {
				passed++
			}
		}
		if passed > kindPerSecond {
			t.Errorf("%d lines of one kind", passed)
		}
	}
	for range rarePerSecond {
		if !b.take("rare") {
			t.Fatal("a rare line is dropped")
		}
	}
}

// BenchmarkWrite measures a line from its decision to the output.
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

package oplog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stalled never takes a byte until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledReader guards against a reader of the log that blocks the process
// or makes its memory grow.
func TestStalledReader(t *testing.T) {
	out := stalled{make(chan struct{})}
	l := New(out, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	const lines = 3 * queueLines
	for range lines {
		l.Write("test", "line", logrus.Fields{"n": 1})
	}
	if got := l.Dropped(); got < lines-queueLines-1 {
		t.Errorf("%d lines dropped, want at least %d", got, lines-queueLines-1)
	}
	close(out.release)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestDropsAreReported guards against lines that vanish without a trace.
func TestDropsAreReported(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, logrus.Fields{"instance": "edge-1"})
	for range queueLines + 7 {
		l.Write("test", "line", nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"dropped":7`) || !strings.Contains(out.String(), `"msg":"log: lines dropped"`) {
		t.Errorf("no line reports the 7 drops: %s", out.String()[max(0, out.Len()-200):])
	}
	if time.Duration(l.Written()) == 0 {
		t.Error("no line is counted")
	}
}

package asynclog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockCallers guards against an output that nobody reads
// and that therefore blocks the process or makes its memory grow.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	l := New(out, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	const lines = 3 * queueSize
	for range lines {
		l.Write("test", "line", logrus.Fields{"n": 1})
	}
	if got := l.Dropped(); got < lines-queueSize-1 {
		t.Errorf("%d lines dropped, want at least %d", got, lines-queueSize-1)
	}
	close(out.release)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestDroppedLinesAreReported guards against lines that are dropped without a
// line that reports their number.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, logrus.Fields{"instance": "edge-1"})
	for range queueSize + 7 {
		l.Write("test", "line", nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"dropped":7`) || !strings.Contains(out.String(), `"msg":"log: lines dropped"`) {
		t.Errorf("no line reports the 7 dropped lines: %s", out.String()[max(0, out.Len()-200):])
	}
	if time.Duration(l.Written()) == 0 {
		t.Error("written lines are not counted")
	}
}

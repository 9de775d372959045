// Package asynclog writes structured log lines without blocking the caller. Lines
// pass through a bounded queue to one writer; lines beyond the queue or the
// rate limits are dropped and counted.
package asynclog

import (
	"context"
	"io"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Queue size and rate limits.
const (
	// queueSize bounds the memory of queued lines while the output is blocked.
	queueSize = 2048
	// maxLinesPerSecond limits all lines together. A busy scheduler writes about
	// 1,300 lines a second with about 50 machines and 3,000 with about 350.
	maxLinesPerSecond = 2000
	// maxLinesOfKindPerSecond limits the lines with one text, so that many starts
	// and ends of tasks leave room for other lines.
	maxLinesOfKindPerSecond = 900
	// reservedLinesOfKindPerSecond is the number of lines with one text that are
	// written even if maxLinesPerSecond is exceeded.
	reservedLinesOfKindPerSecond = 50
	// reportInterval is the interval at which dropped lines are reported and the
	// rate limits are reset.
	reportInterval = time.Second
)

// Log is a structured log. It is safe for concurrent use.
type Log struct {
	logger  *logrus.Logger
	fields  logrus.Fields
	lines   chan line
	dropped atomic.Int64
	written atomic.Int64
}

type line struct {
	at     time.Time
	part   string
	text   string
	fields logrus.Fields
}

// New returns a log that writes to out. Fields are added to every line. Lines
// are written only while Run executes.
func New(out io.Writer, fields logrus.Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(jsonFormatter{})
	return &Log{logger: logger, fields: fields, lines: make(chan line, queueSize)}
}

// Write queues a line, or drops it if the queue is full. Part is the component
// that logs and becomes the prefix of the message. The caller must not use fields
// after the call.
func (l *Log) Write(part, text string, fields logrus.Fields) {
	select {
	case l.lines <- line{time.Now(), part, text, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines that were written.
func (l *Log) Written() int64 { return l.written.Load() }

// Run writes lines until ctx is done, then the lines that are still queued.
// Only one goroutine may call it.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	budget := newLineBudget()
	var reported int64
	for {
		select {
		case next := <-l.lines:
			if !budget.allow(next.part + next.text) {
				l.dropped.Add(1)
				continue
			}
			l.emit(next)
		case <-ticker.C:
			budget = newLineBudget()
			reported = l.reportDropped(reported)
		case <-ctx.Done():
			l.writeQueued()
			l.reportDropped(reported)
			return nil
		}
	}
}

// lineBudget limits the lines of one reportInterval.
type lineBudget struct {
	remaining     int
	allowedByKind map[string]int
}

func newLineBudget() lineBudget { return lineBudget{maxLinesPerSecond, make(map[string]int)} }

// allow reports whether one more line of a kind may be written. If so, it counts
// the line.
func (b *lineBudget) allow(kind string) bool {
	n := b.allowedByKind[kind]
	if n >= maxLinesOfKindPerSecond || b.remaining <= 0 && n >= reservedLinesOfKindPerSecond {
		return false
	}
	b.allowedByKind[kind] = n + 1
	b.remaining--
	return true
}

// writeQueued writes the queued lines without a rate limit.
func (l *Log) writeQueued() {
	for {
		select {
		case next := <-l.lines:
			l.emit(next)
		default:
			return
		}
	}
}

// reportDropped writes a line about the drops since the last report, if any.
// reported is the total at that report; the result is the present total.
func (l *Log) reportDropped(reported int64) int64 {
	dropped := l.dropped.Load()
	if dropped > reported {
		l.emit(line{time.Now(), "log", "lines dropped", logrus.Fields{"dropped": dropped - reported}})
	}
	return dropped
}

func (l *Log) emit(next line) {
	if next.fields == nil {
		next.fields = make(logrus.Fields, len(l.fields))
	}
	maps.Copy(next.fields, l.fields)
	entry := logrus.Entry{Logger: l.logger, Data: next.fields, Time: next.at}
	entry.Info(next.part + ": " + next.text)
	l.written.Add(1)
}

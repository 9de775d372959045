// Package oplog writes structured log lines without ever blocking the caller.
// Lines go through a bounded queue to one writer; lines beyond the bounds are
// dropped and counted.
package oplog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the log's volume.
const (
	// queueLines bounds memory while the reader of the log stalls.
	queueLines = 2048
	// linesPerSecond bounds the volume; a scheduler's busy turn writes about 1,300
	// lines a second on the small sites, 3,000 on the grown ones.
	linesPerSecond = 2000
	// kindPerSecond bounds the lines of one text, so that a second of starts and
	// ends leaves room for others.
	kindPerSecond = 900
	// rarePerSecond lines of each text are written whatever the others take.
	rarePerSecond = 50
	// reportEvery is how often drops are reported.
	reportEvery = time.Second
)

// Log is safe for concurrent use.
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

// New returns a log that writes to out. Fields are part of every line. Run must
// be called for lines to be written.
func New(out io.Writer, fields logrus.Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{logger: logger, fields: fields, lines: make(chan line, queueLines)}
}

// Write queues a line. Part is the fixed prefix of the part that writes.
func (l *Log) Write(part, text string, fields logrus.Fields) {
	select {
	case l.lines <- line{time.Now(), part, text, fields}:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines that were written.
func (l *Log) Written() int64 { return l.written.Load() }

// Run writes lines until ctx ends, then those that are queued.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	budget := newBudget()
	var reported int64
	for {
		select {
		case next := <-l.lines:
			if !budget.take(next.part + next.text) {
				l.dropped.Add(1)
				continue
			}
			l.emit(next)
		case <-ticker.C:
			budget = newBudget()
			reported = l.report(reported)
		case <-ctx.Done():
			l.drain()
			l.report(reported)
			return nil
		}
	}
}

// budget is what may be written in one second.
type budget struct {
	left   int
	ofKind map[string]int
}

func newBudget() budget { return budget{linesPerSecond, make(map[string]int)} }

// take reports whether one more line of a kind may be written.
func (b *budget) take(kind string) bool {
	n := b.ofKind[kind]
	if n >= kindPerSecond || b.left <= 0 && n >= rarePerSecond {
		return false
	}
	b.ofKind[kind] = n + 1
	b.left--
	return true
}

func (l *Log) drain() {
	for {
		select {
		case next := <-l.lines:
			l.emit(next)
		default:
			return
		}
	}
}

func (l *Log) report(reported int64) int64 {
	dropped := l.dropped.Load()
	if dropped > reported {
		l.emit(line{time.Now(), "log", "lines dropped", logrus.Fields{"dropped": dropped - reported}})
	}
	return dropped
}

func (l *Log) emit(next line) {
	entry := l.logger.WithTime(next.at).WithFields(l.fields)
	if len(next.fields) > 0 {
		entry = entry.WithFields(next.fields)
	}
	entry.Info(next.part + ": " + next.text)
	l.written.Add(1)
}

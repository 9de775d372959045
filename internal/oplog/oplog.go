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
	// lines a second.
	linesPerSecond = 2000
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
	budget := linesPerSecond
	var reported int64
	for {
		select {
		case next := <-l.lines:
			if budget == 0 {
				l.dropped.Add(1)
				continue
			}
			budget--
			l.emit(next)
		case <-ticker.C:
			budget = linesPerSecond
			reported = l.report(reported)
		case <-ctx.Done():
			l.drain()
			l.report(reported)
			return nil
		}
	}
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

package machine

import (
	"sync/atomic"
	"time"
)

// Load counts the requests that one entry instance runs at one endpoint.
// Traffic goroutines share it; it is not control state.
type Load struct {
	running    atomic.Int32
	lastAnswer atomic.Int64
}

// Acquire adds one running request and returns true, unless bound or more are
// running.
func (l *Load) Acquire(bound int) bool {
	for {
		n := l.running.Load()
		if int(n) >= bound {
			return false
		}
		if l.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release removes one running request. It panics if none is running.
func (l *Load) Release() {
	if l.running.Add(-1) < 0 {
		panic("machine: more requests released than acquired")
	}
}

// Running returns the number of running requests.
func (l *Load) Running() int { return int(l.running.Load()) }

// RecordAnswer records that a complete answer arrived at now.
func (l *Load) RecordAnswer(now time.Time) { l.lastAnswer.Store(now.UnixNano()) }

// AnsweredSince reports whether a complete answer arrived after t.
func (l *Load) AnsweredSince(t time.Time) bool { return l.lastAnswer.Load() > t.UnixNano() }

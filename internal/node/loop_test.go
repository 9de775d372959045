package node

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// busyEvent keeps the control thread busy for its duration.
type busyEvent struct{ duration time.Duration }

// Apply implements scheduler.Event.
func (e busyEvent) Apply(*scheduler.Scheduler, time.Time) { time.Sleep(e.duration) }

// TestSlowEventIsReported guards against a control thread that loses its lease without
// a trace in the logs of what kept it busy.
func TestSlowEventIsReported(t *testing.T) {
	loop := newControlLoop(scheduler.NewGuard(scheduler.Options{NodeName: "node"}, debug.Stack), newBootClock(), func(scheduler.Action) {})
	var reported []scheduler.Event
	loop.reportSlow = func(e scheduler.Event, _ time.Duration, _ int) { reported = append(reported, e) }
	loop.apply(busyEvent{slowEvent})
	if len(reported) != 1 {
		t.Errorf("%d events reported, want 1", len(reported))
	}
}

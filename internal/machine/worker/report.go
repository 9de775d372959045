package worker

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Refusal is the reason why a worker rejected an order. The order had no
// effect.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedFence means that the worker has received an order with a higher
	// fence.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun means that a run of the task with that number or a higher
	// one has ended on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedExpired means that the order arrived after EndsAt.
	RefusedExpired Refusal = "late"
	// RefusedResources means that the worker lacks free resources for the task.
	RefusedResources Refusal = "room"
	// RefusedTicket means that the advice service does not allow the worker.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker is unhealthy or overloaded.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedUnsent means that the order was not sent, because the time until
	// which the scheduler may send it had passed.
	RefusedUnsent Refusal = "unsent"
	// RefusedOther covers reasons that this version does not know.
	RefusedOther Refusal = "other"
)

// Target identifies a worker process by id and address.
type Target struct{ ID, Address string }

// Target returns the id and address to which orders for the worker are sent.
func (w *Worker) Target() Target { return Target{w.ID, w.Address} }

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Task    job.TaskName
	Run     int
	Payload string
	// EndsAt is a time on the worker's clock, in ms, after which the order has
	// no effect.
	EndsAt int64
	Fence  int64
	// Saved is the checkpoint from which the run resumes, empty for none.
	Saved string
	// Ticket is the permission of the advice service, empty for none.
	Ticket string
}

// PollRequest asks a worker for its runs and for the runs that have ended.
type PollRequest struct {
	// HoldUntil extends the lease of everything on the worker to this time on
	// its clock, in ms; 0 leaves the lease unchanged.
	HoldUntil int64
	Fence     int64
	// Acknowledged is the number of the last end that the worker may discard.
	Acknowledged int64
	// Wait is the longest time for which the worker delays its answer while no run
	// ends.
	Wait time.Duration
}

// RunReport is one run in a worker's report.
type RunReport struct {
	Task    job.TaskName
	Run     int
	Saved   string
	Percent int
	// Measured is the tail latency in ms of a serving task, or the millicores
	// in use by any other task, over about the last half second.
	Measured int
}

// EndReason is the reason why a run ended.
type EndReason string

// Reasons of an end.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"
	EndBroken  EndReason = "broken"
	EndAlone   EndReason = "alone"
)

// EndReport is one ended run in a worker's report. The worker repeats it until
// the scheduler acknowledges its number.
type EndReport struct {
	Number int64
	Task   job.TaskName
	Run    int
	Reason EndReason
	Saved  string
}

// Report is a worker's answer to a PollRequest.
type Report struct {
	ClockMillis int64
	Running     []RunReport
	Ended       []EndReport
	// StartedMillis is the start of the incarnation in Unix milliseconds, 0 if not
	// reported.
	StartedMillis int64
}

// maxReportedEnds is the maximum number of ended runs in one report. A report with
// that many may omit further unacknowledged ones.
const maxReportedEnds = 500

// Complete reports whether the report lists every unacknowledged end.
func (r *Report) Complete() bool { return len(r.Ended) < maxReportedEnds }

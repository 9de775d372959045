package worker

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Refusal of an order by a worker. The worker has done nothing.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedFence means that the worker has heard a newer scheduler.
	RefusedFence Refusal = "fence"
	// RefusedOld means that a run of that number or a higher one ended there.
	RefusedOld Refusal = "old"
	// RefusedLate means that the order's time was over when it arrived.
	RefusedLate Refusal = "late"
	// RefusedRoom means that the task does not fit.
	RefusedRoom Refusal = "room"
	// RefusedTicket means that the advice service does not allow the worker.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker is unhealthy or overloaded.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedUnsent means that the right to send the order had ended.
	RefusedUnsent Refusal = "unsent"
	// RefusedOther covers reasons that this version does not know.
	RefusedOther Refusal = "other"
)

// Target names one incarnation of a worker.
type Target struct{ ID, Address string }

// Target returns the worker's target.
func (w *Worker) Target() Target { return Target{w.ID, w.Address} }

// StartOrder asks a worker to run a task.
type StartOrder struct {
	Task    job.TaskName
	Run     int
	Payload string
	// EndsAt is on the worker's clock, in ms: the order has no effect later.
	EndsAt int64
	Fence  int64
	// Saved is the checkpoint to resume from, empty for none.
	Saved string
	// Ticket is the advice service's permission, empty for none.
	Ticket string
}

// Question asks a worker for its runs and ends.
type Question struct {
	// HoldUntil extends the lease of everything on the worker to this time of its
	// clock in ms; 0 leaves it.
	HoldUntil int64
	Fence     int64
	// Acknowledged is the highest end that may be forgotten.
	Acknowledged int64
	// Wait is how long the answer waits for an end.
	Wait time.Duration
}

// RunReport is one run that a worker lists.
type RunReport struct {
	Task    job.TaskName
	Run     int
	Saved   string
	Percent int
	// Measured is the tail latency in ms of a serving task, milli-cores in use of
	// any other, for about the last half second.
	Measured int
}

// EndReason says how a run ended.
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

// EndReport is one end that a worker lists until it is acknowledged.
type EndReport struct {
	Number int64
	Task   job.TaskName
	Run    int
	Reason EndReason
	Saved  string
}

// Report is a worker's answer to a question.
type Report struct {
	ClockMillis int64
	Running     []RunReport
	Ended       []EndReport
	// Born is the start of the incarnation in Unix milliseconds, 0 if not told.
	Born int64
}

// maxEnds is the number of ends that one answer carries at most.
const maxEnds = 500

// Complete reports whether the answer lists every unacknowledged end.
func (r *Report) Complete() bool { return len(r.Ended) < maxEnds }

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Action is an effect outside the scheduler. It is a plain value; package node
// performs it and feeds the result back as an event.
type Action interface{ isAction() }

// AcquireLease tries to acquire the scheduler lease. The result is LeaseGranted or
// LeaseRefused.
type AcquireLease struct {
	// Epoch is the epoch of the new scheduler. EpochRevision is the revision of the
	// key that stores the epoch, 0 when the key does not exist.
	Epoch         int
	EpochRevision int64
	// Replaces is the fencing token of the holder to replace, whose process has
	// ended. It is 0 when nobody holds the lease. ReplacedLease is that holder's
	// lease.
	Replaces, ReplacedLease int64
}

// WatchHolder watches the process that holds the scheduler lease; HolderEnded
// reports its end. It replaces the previous watch. An empty Address ends the
// watch.
type WatchHolder struct {
	Fence   int64
	Address string
	// Process distinguishes the holder's process from later ones at its address.
	Process string
}

// RenewLease renews the scheduler lease. The result is LeaseRenewed.
type RenewLease struct{ Lease int64 }

// ReleaseLease releases the scheduler lease and records that the scheduler of
// Epoch released it instead of letting it expire.
type ReleaseLease struct {
	Lease, Fence int64
	Epoch        int
}

// PollWorker polls a worker for its running and ended runs. The result is
// WorkerAnswered.
type PollWorker struct {
	Target  worker.Target
	Request worker.PollRequest
	// NotAfter is the time from which this node may no longer send the poll,
	// because its authority has expired.
	NotAfter time.Time
}

// StartTask orders a worker to start a run. The result is StartAnswered.
type StartTask struct {
	Target   worker.Target
	Order    worker.StartOrder
	NotAfter time.Time
}

// RunKeyOf returns the key of the run that an order starts.
func RunKeyOf(a StartTask) worker.RunKey {
	return worker.RunKey{Task: a.Order.Task, Number: a.Order.Run}
}

// StopRun orders a worker to stop a run. The result is StopAnswered.
type StopRun struct {
	Target   worker.Target
	Run      worker.RunKey
	Fence    int64
	NotAfter time.Time
}

// SetPace sets the pace of a run, in percent of full speed. It has no result: a
// lost order is not repeated, because the next change of pace replaces it.
type SetPace struct {
	Target   worker.Target
	Run      worker.RunKey
	Percent  int
	Fence    int64
	NotAfter time.Time
}

// ProgressWrite is the progress of one job in a StoreProgress.
type ProgressWrite struct {
	Job      job.ID
	Progress job.Progress
	Version  int64
	// Expected is the revision that the job's progress must have in the store, 0
	// when the store must not hold any.
	Expected int64
}

// StoreProgress stores the progress of jobs on condition that this node still
// holds the scheduler lease. The result is ProgressStored.
type StoreProgress struct {
	Fence  int64
	Writes []ProgressWrite
}

// StoreRoster stores the list of workers that may run tasks. The result is
// RosterStored.
type StoreRoster struct {
	Fence   int64
	Members []RosterMember
	// Expected is the revision that the list must have in the store, 0 for none.
	Expected int64
}

// RemoveJobs removes ended jobs from the store. It has no result of its own: the
// removals arrive as JobRemoved.
type RemoveJobs struct {
	Fence int64
	Jobs  []JobRemoval
}

// JobRemoval names a job to remove. Revision is that of its creation: a removal that is
// carried out late must not remove a later job with the same ID.
type JobRemoval struct {
	ID       job.ID
	Revision int64
}

// RemoveCancels removes cancellations of jobs that are not stored. It has no result of
// its own: the removals arrive as CancelRemoved.
type RemoveCancels struct {
	Fence   int64
	Cancels []CancelRemoval
}

// CancelRemoval names a cancellation to remove. Revision is its own.
type CancelRemoval struct {
	ID       job.ID
	Revision int64
}

// ListMachines reads the list of machines. The result is MachinesListed.
type ListMachines struct{}

// OrderUpkeep orders the upkeep of a machine. The result is UpkeepAnswered.
type OrderUpkeep struct {
	Machine  string
	Wave     int64
	Fence    int64
	NotAfter time.Time
}

// OrderMove orders the move of a machine to Pool. The result is MoveAnswered.
type OrderMove struct {
	Machine, Pool string
	Fence         int64
	NotAfter      time.Time
}

// PublishWave stores the state of a wave for operators and later schedulers. The
// result is WavePublished.
type PublishWave struct {
	Wave      int64
	Completed bool
	// Begun are the machines whose upkeep has begun.
	Begun []string
	Fence int64
	// Expected is the revision that the wave's progress must have in the store, 0 for
	// none.
	Expected int64
}

// CloseWorker closes the connections to a worker that was removed.
type CloseWorker struct{ Address string }

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// LogLine is one log line about a decision.
type LogLine struct {
	// Text names the event.
	Text   string
	Fields []Field
}

// JobMilestone is a point in a job's life cycle whose time is measured.
type JobMilestone string

// JobStarted is when the first start of a job is sent. The end of a job is
// measured under the name of its final state.
const JobStarted JobMilestone = "started"

// JobMeasured reports to the metrics the time from a job's acceptance to a point
// of its life cycle.
type JobMeasured struct {
	Queue     string
	Milestone JobMilestone
	Elapsed   time.Duration
}

// RefusalCounted reports a refused start to the metrics.
type RefusalCounted struct{ Reason worker.Refusal }

func (AcquireLease) isAction()   {}
func (JobMeasured) isAction()    {}
func (RefusalCounted) isAction() {}
func (WatchHolder) isAction()    {}
func (RenewLease) isAction()     {}
func (ReleaseLease) isAction()   {}
func (PollWorker) isAction()     {}
func (StartTask) isAction()      {}
func (StopRun) isAction()        {}
func (SetPace) isAction()        {}
func (StoreProgress) isAction()  {}
func (StoreRoster) isAction()    {}
func (RemoveJobs) isAction()     {}
func (RemoveCancels) isAction()  {}
func (ListMachines) isAction()   {}
func (OrderUpkeep) isAction()    {}
func (OrderMove) isAction()      {}
func (PublishWave) isAction()    {}
func (CloseWorker) isAction()    {}
func (LogLine) isAction()        {}

// log queues a log line. Keys and values alternate in pairs.
func (s *Scheduler) log(text string, pairs ...any) {
	line := LogLine{Text: text, Fields: make([]Field, 0, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		key, _ := pairs[i].(string)
		line.Fields = append(line.Fields, Field{key, pairs[i+1]})
	}
	s.act(line)
}

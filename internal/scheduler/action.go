package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Action is an effect outside the scheduler. It is a plain value; package node
// runs it and feeds the result back as an event.
type Action interface{ isAction() }

// SeekLease asks for the scheduler's lease. The answer is LeaseGranted or
// LeaseRefused.
type SeekLease struct {
	// Epoch is the number that the new scheduler gets, EpochRevision the revision
	// of its key, 0 when there is none.
	Epoch         int
	EpochRevision int64
	// Replaces is the fencing token of a holder whose process has ended, 0 when
	// nobody holds the lease. ReplacedLease is that holder's lease.
	Replaces, ReplacedLease int64
}

// WatchHolder asks to be told, by HolderLost, when the process that holds the
// scheduler's lease has ended. It replaces the previous one; an empty Address
// ends it.
type WatchHolder struct {
	Fence   int64
	Address string
	// Process tells the holder's process from later ones at the same address.
	Process string
}

// RenewLease renews the scheduler's lease. The answer is LeaseRenewed.
type RenewLease struct{ Lease int64 }

// EndLease gives the scheduler's lease up and records that the scheduler of
// Epoch left in order.
type EndLease struct {
	Lease, Fence int64
	Epoch        int
}

// AskWorker asks a worker for its runs and ends. The answer is WorkerAnswered.
type AskWorker struct {
	Target   worker.Target
	Question worker.Question
	// NotAfter is when the right to send the question ends.
	NotAfter time.Time
}

// StartTask sends a start. The answer is StartAnswered.
type StartTask struct {
	Target   worker.Target
	Order    worker.StartOrder
	NotAfter time.Time
}

// StopRun sends a stop. The answer is StopAnswered.
type StopRun struct {
	Target   worker.Target
	Run      worker.RunKey
	Fence    int64
	NotAfter time.Time
}

// PaceRun sets the pace of a run. A lost one is sent again at the next report.
type PaceRun struct {
	Target   worker.Target
	Run      worker.RunKey
	Percent  int
	Fence    int64
	NotAfter time.Time
}

// ProgressWrite is the progress of one job to store.
type ProgressWrite struct {
	Job      job.ID
	Progress job.Progress
	Version  int64
	// Expected is the revision that the store must hold, 0 for none.
	Expected int64
}

// StoreProgress stores progress under the condition that this node is still
// the scheduler. The answer is ProgressStored.
type StoreProgress struct {
	Fence  int64
	Writes []ProgressWrite
}

// StoreRoster stores the list of workers that may run tasks. The answer is
// RosterStored.
type StoreRoster struct {
	Fence   int64
	Members []RosterMember
}

// RemoveJobs removes ended jobs from the store.
type RemoveJobs struct {
	Fence int64
	Jobs  []job.ID
}

// ListMachines reads the list of machines. The answer is MachinesListed.
type ListMachines struct{}

// OrderUpkeep orders the upkeep of a machine. The answer is UpkeepAnswered.
type OrderUpkeep struct {
	Machine  string
	Wave     int64
	Fence    int64
	NotAfter time.Time
}

// OrderMove orders a machine into another pool. The answer is MoveAnswered.
type OrderMove struct {
	Machine, Pool string
	Fence         int64
	NotAfter      time.Time
}

// PublishWave tells operators the state of a wave. The answer is WavePublished.
type PublishWave struct {
	Wave      int64
	Completed bool
	// Begun are the machines whose upkeep has begun.
	Begun []string
	Fence int64
}

// ForgetWorker drops the connections to a worker that is gone.
type ForgetWorker struct{ Address string }

// Field is one input or outcome of a decision.
type Field struct {
	Key   string
	Value any
}

// Note is one log line about a decision.
type Note struct {
	// Text is a short sentence.
	Text   string
	Fields []Field
}

// JobPoint is a point in the life of a job.
type JobPoint string

// Points of a job's life. One that has ended is at the point of its final state.
const JobStarted JobPoint = "started"

// JobMeasured reports to the metrics how long after its acceptance a job reached
// a point.
type JobMeasured struct {
	Queue string
	Point JobPoint
	Took  time.Duration
}

// RefusalCounted reports a refused start to the metrics.
type RefusalCounted struct{ Reason worker.Refusal }

func (SeekLease) isAction()      {}
func (JobMeasured) isAction()    {}
func (RefusalCounted) isAction() {}
func (WatchHolder) isAction()    {}
func (RenewLease) isAction()     {}
func (EndLease) isAction()       {}
func (AskWorker) isAction()      {}
func (StartTask) isAction()      {}
func (StopRun) isAction()        {}
func (PaceRun) isAction()        {}
func (StoreProgress) isAction()  {}
func (StoreRoster) isAction()    {}
func (RemoveJobs) isAction()     {}
func (ListMachines) isAction()   {}
func (OrderUpkeep) isAction()    {}
func (OrderMove) isAction()      {}
func (PublishWave) isAction()    {}
func (ForgetWorker) isAction()   {}
func (Note) isAction()           {}

// note queues a log line; keys and values alternate.
func (s *Scheduler) note(text string, pairs ...any) {
	n := Note{Text: text, Fields: make([]Field, 0, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		key, _ := pairs[i].(string)
		n.Fields = append(n.Fields, Field{key, pairs[i+1]})
	}
	s.act(n)
}

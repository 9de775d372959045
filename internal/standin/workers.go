package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// WorkerFaults are the faults that a test injects into the calls about workers.
// The zero value injects none.
type WorkerFaults struct {
	// Outage fails every call about workers with platform.ErrUnavailable.
	Outage bool `json:"outage"`
	// FailsAll lists the ids of workers on which every task fails right after
	// its start.
	FailsAll []string `json:"fails_all,omitempty"`
	// LoseStartAnswers is how many of the next starts take effect but return
	// platform.ErrOutcomeUnknown.
	LoseStartAnswers int `json:"lose_start_answers"`
	// LoseStarts is how many of the next starts have no effect and return
	// platform.ErrOutcomeUnknown.
	LoseStarts int `json:"lose_starts"`
	// UsageLagMS is how long after its start a task is reported with zero
	// usage, in milliseconds.
	UsageLagMS int64 `json:"usage_lag_ms"`
}

// StartRecord records one task start that took effect on a worker.
type StartRecord struct {
	Worker     string    `json:"worker"`
	Task       string    `json:"task"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	At         time.Time `json:"at"`
}

// workerTask is one task on its worker.
type workerTask struct {
	report platform.TaskReport
	// until is when the lease expires while the task is running, and afterwards
	// the time at which the task ended.
	until     time.Time
	startedAt time.Time
	// finishesAt is when the task succeeds if its lease is renewed until then.
	finishesAt time.Time
}

// workerState is one worker with its tasks.
type workerState struct {
	listed platform.Worker
	tasks  map[string]*workerTask
	// version is the list version in which the worker last changed.
	version uint64
}

// Workers is an in-memory implementation of platform.Workers. A task succeeds
// after the duration that SetTaskTime sets, 1 s by default, if its lease does
// not expire before. It is safe for concurrent use.
type Workers struct {
	mu       sync.Mutex
	clock    func() time.Time
	workers  map[string]*workerState
	version  uint64
	faults   WorkerFaults
	taskTime time.Duration
	starts   []StartRecord
	calls    int64
}

// endedTaskRetention is how long a worker reports a task that has ended.
const endedTaskRetention = 10 * time.Minute

// workerWatchInterval is the polling interval of a watch of workers. A watch must
// poll because usage changes and leases expire without an event that wakes it.
const workerWatchInterval = 20 * time.Millisecond

// NewWorkers returns an empty set of workers whose tasks end by clock.
func NewWorkers(clock func() time.Time) *Workers {
	return &Workers{clock: clock, workers: make(map[string]*workerState), taskTime: time.Second}
}

// SetWorkerFaults replaces the injected faults.
func (w *Workers) SetWorkerFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetTaskTime sets the duration of the tasks that start from now on.
func (w *Workers) SetTaskTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taskTime = d
}

// UpdateWorker adds or replaces a worker. The tasks of a worker that is marked
// as gone are dropped.
func (w *Workers) UpdateWorker(listed platform.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.workers[listed.ID]
	if known == nil {
		known = &workerState{tasks: make(map[string]*workerTask)}
		w.workers[listed.ID] = known
	}
	known.listed = listed
	if listed.Gone {
		known.tasks = make(map[string]*workerTask)
	}
	w.markChanged(known)
}

// Starts returns the starts that took effect, oldest first.
func (w *Workers) Starts() []StartRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]StartRecord(nil), w.starts...)
}

// WorkerCalls returns the number of calls about workers received so far,
// including failed ones.
func (w *Workers) WorkerCalls() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// ExpireTaskLeases expires the leases of all tasks, which ends the running ones.
func (w *Workers) ExpireTaskLeases() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			t.until = w.clock()
		}
	}
	w.endDueTasks()
}

// markChanged marks a worker as changed in a new version of the list. The caller
// holds w.mu.
func (w *Workers) markChanged(worker *workerState) {
	w.version++
	worker.version = w.version
}

// endTask sets the final state of a task and clears its usage. The caller holds
// w.mu.
func (w *Workers) endTask(worker *workerState, t *workerTask, s platform.TaskState, reason string) {
	t.report.State, t.report.Reason = s, reason
	t.report.MilliCores, t.report.MemoryMB = 0, 0
	t.until = w.clock()
	worker.listed.Sequence++
	w.markChanged(worker)
}

// endDueTasks ends the tasks that are finished or whose lease has expired, and
// drops the ended tasks whose retention has passed. The caller holds w.mu.
func (w *Workers) endDueTasks() {
	now := w.clock()
	for _, worker := range w.workers {
		for id, t := range worker.tasks {
			switch {
			case t.report.State != platform.StateRunning:
				if now.Sub(t.until) > endedTaskRetention {
					delete(worker.tasks, id)
				}
			case !now.Before(t.finishesAt):
				w.endTask(worker, t, platform.StateDone, "")
			case !now.Before(t.until):
				w.endTask(worker, t, platform.StateExpired, "lease lapsed")
			}
		}
	}
}

// beginCall counts a call and applies the injected outage. On success it returns
// with w.mu locked, which the caller unlocks.
func (w *Workers) beginCall(ctx context.Context) error {
	w.mu.Lock()
	w.calls++
	if w.faults.Outage || ctx.Err() != nil {
		w.mu.Unlock()
		return platform.ErrUnavailable
	}
	w.endDueTasks()
	return nil
}

// WatchWorkers implements platform.Workers.
func (w *Workers) WatchWorkers(ctx context.Context, dataCentre string, after uint64, wait time.Duration) (platform.WorkerList, error) {
	if err := w.beginCall(ctx); err != nil {
		return platform.WorkerList{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		list := w.changedWorkers(dataCentre, after)
		outage := w.faults.Outage
		w.mu.Unlock()
		if outage {
			return platform.WorkerList{}, platform.ErrUnavailable
		}
		if len(list.Workers) > 0 || time.Now().After(deadline) {
			return list, nil
		}
		if sleep(ctx, min(workerWatchInterval, max(time.Until(deadline), time.Millisecond))) != nil {
			return platform.WorkerList{}, platform.ErrOutcomeUnknown
		}
		w.mu.Lock()
		w.endDueTasks()
	}
}

// changedWorkers returns the workers of a data centre that changed after a
// version of the list. The caller holds w.mu.
func (w *Workers) changedWorkers(dataCentre string, after uint64) platform.WorkerList {
	list := platform.WorkerList{Version: w.version}
	for _, worker := range w.workers {
		if worker.listed.DataCentre != dataCentre || worker.version <= after || after == 0 && worker.listed.Gone {
			continue
		}
		list.Workers = append(list.Workers, w.listing(worker))
	}
	sort.Slice(list.Workers, func(i, j int) bool { return list.Workers[i].ID < list.Workers[j].ID })
	return list
}

// listing returns a worker as the platform lists it, with its tasks ordered by
// id.
func (w *Workers) listing(worker *workerState) platform.Worker {
	listed := worker.listed
	listed.Tasks = nil
	lag := time.Duration(w.faults.UsageLagMS) * time.Millisecond
	for _, t := range worker.tasks {
		report := t.report
		if w.clock().Sub(t.startedAt) < lag {
			report.MilliCores, report.MemoryMB = 0, 0
		}
		listed.Tasks = append(listed.Tasks, report)
	}
	sort.Slice(listed.Tasks, func(i, j int) bool { return listed.Tasks[i].ID < listed.Tasks[j].ID })
	return listed
}

// StartTask implements platform.Workers.
func (w *Workers) StartTask(ctx context.Context, worker string, spec platform.TaskSpec, ttl time.Duration) (uint64, error) {
	if err := w.beginCall(ctx); err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.faults.LoseStarts > 0 {
		w.faults.LoseStarts--
		return 0, platform.ErrOutcomeUnknown
	}
	target, ok := w.workers[worker]
	if !ok || target.listed.Gone {
		return 0, platform.ErrNoWorker
	}
	if _, ok := target.tasks[spec.ID]; ok {
		return target.listed.Sequence, platform.ErrTaskExists
	}
	if target.runningTasks() >= slotsPerWorker {
		return 0, platform.ErrTaskRefused
	}
	w.startTask(target, spec, ttl)
	if w.faults.LoseStartAnswers > 0 {
		w.faults.LoseStartAnswers--
		return 0, platform.ErrOutcomeUnknown
	}
	return target.listed.Sequence, nil
}

// slotsPerWorker is the number of tasks that one worker runs at a time.
const slotsPerWorker = 8

func (s *workerState) runningTasks() int {
	n := 0
	for _, t := range s.tasks {
		if t.report.State == platform.StateRunning {
			n++
		}
	}
	return n
}

// startTask starts a task on a worker. The caller holds w.mu.
func (w *Workers) startTask(target *workerState, spec platform.TaskSpec, ttl time.Duration) {
	now := w.clock()
	t := &workerTask{
		report:    platform.TaskReport{ID: spec.ID, State: platform.StateRunning, MilliCores: 500, MemoryMB: 256},
		startedAt: now, until: now.Add(ttl), finishesAt: now.Add(w.taskTime),
	}
	target.tasks[spec.ID] = t
	target.listed.Sequence++
	w.starts = append(w.starts, StartRecord{Worker: target.listed.ID, Task: spec.ID, Checkpoint: spec.Checkpoint, At: now})
	w.markChanged(target)
	for _, id := range w.faults.FailsAll {
		if id == target.listed.ID {
			w.endTask(target, t, platform.StateFailed, "worker fault")
		}
	}
}

// findTask returns the worker and the task of ref, each nil if unknown. The
// caller holds w.mu.
func (w *Workers) findTask(ref platform.TaskRef) (*workerState, *workerTask) {
	target := w.workers[ref.Worker]
	if target == nil {
		return nil, nil
	}
	return target, target.tasks[ref.Task]
}

// RenewTasks implements platform.Workers.
func (w *Workers) RenewTasks(ctx context.Context, tasks []platform.TaskRef, ttl time.Duration) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, ref := range tasks {
		if _, t := w.findTask(ref); t != nil && t.report.State == platform.StateRunning {
			t.until = w.clock().Add(ttl)
		}
	}
	return nil
}

// CheckpointTask implements platform.Workers.
func (w *Workers) CheckpointTask(ctx context.Context, ref platform.TaskRef) (string, error) {
	if err := w.beginCall(ctx); err != nil {
		return "", err
	}
	defer w.mu.Unlock()
	target, t := w.findTask(ref)
	if t == nil || t.report.State != platform.StateRunning {
		return "", platform.ErrNotFound
	}
	t.report.Checkpoint = fmt.Sprintf("%s@%d", ref.Task, target.listed.Sequence)
	w.endTask(target, t, platform.StateCheckpointed, "")
	return t.report.Checkpoint, nil
}

// ThrottleTask implements platform.Workers.
func (w *Workers) ThrottleTask(ctx context.Context, ref platform.TaskRef, milliCores int64) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	target, t := w.findTask(ref)
	if t == nil || t.report.State != platform.StateRunning {
		return platform.ErrNotFound
	}
	if milliCores > 0 {
		t.report.MilliCores = min(t.report.MilliCores, milliCores)
	}
	w.markChanged(target)
	return nil
}

// StopTasks implements platform.Workers.
func (w *Workers) StopTasks(ctx context.Context, refs []platform.TaskRef) error {
	if err := w.beginCall(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, ref := range refs {
		target, t := w.findTask(ref)
		if target == nil {
			continue
		}
		if t == nil {
			// Records a stopped task, so that a start that arrives later is refused.
			t = &workerTask{report: platform.TaskReport{ID: ref.Task, State: platform.StateRunning}}
			target.tasks[ref.Task] = t
		}
		if t.report.State == platform.StateRunning {
			w.endTask(target, t, platform.StateStopped, "stopped")
		}
	}
	return nil
}

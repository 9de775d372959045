package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// WorkerFaults are what a test can switch on in the workers of the platform
// stand-in. The zero value means that everything works.
type WorkerFaults struct {
	// Outage refuses every call about workers.
	Outage bool `json:"outage"`
	// FailsAll names workers that fail every task right after its start.
	FailsAll []string `json:"fails_all,omitempty"`
	// LoseStartAnswers is the number of following starts that take effect while
	// their answer is lost.
	LoseStartAnswers int `json:"lose_start_answers"`
	// LoseStarts is the number of following starts that are lost before they
	// take effect, with no answer.
	LoseStarts int `json:"lose_starts"`
	// UsageLagMS is the age of reported usage, in milliseconds.
	UsageLagMS int64 `json:"usage_lag_ms"`
}

// StartRecord is one start that a worker carried out.
type StartRecord struct {
	Worker     string    `json:"worker"`
	Task       string    `json:"task"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	At         time.Time `json:"at"`
}

// standinTask is one task at its worker.
type standinTask struct {
	report   platform.TaskReport
	until    time.Time
	started  time.Time
	finishes time.Time
}

type standinWorker struct {
	listed  platform.Worker
	tasks   map[string]*standinTask
	version uint64
}

// Workers is the part of the platform stand-in that runs tasks. A task runs for
// TaskTime and then succeeds. It is safe for concurrent use.
type Workers struct {
	mu       sync.Mutex
	clock    func() time.Time
	workers  map[string]*standinWorker
	version  uint64
	faults   WorkerFaults
	taskTime time.Duration
	starts   []StartRecord
	calls    int64
}

// standinRetention is how long ended tasks are reported.
const standinRetention = 10 * time.Minute

// watchStep is how often a waiting watch of workers looks for changes. Usage
// changes with time alone, so that no event could wake the watch.
const watchStep = 20 * time.Millisecond

// NewWorkers returns a platform without workers.
func NewWorkers(clock func() time.Time) *Workers {
	return &Workers{clock: clock, workers: make(map[string]*standinWorker), taskTime: time.Second}
}

// SetWorkerFaults replaces the faults.
func (w *Workers) SetWorkerFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetTaskTime sets how long each task that starts from now on runs.
func (w *Workers) SetTaskTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taskTime = d
}

// UpdateWorker adds a worker, or removes it when it is marked as gone.
func (w *Workers) UpdateWorker(listed platform.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.workers[listed.ID]
	if known == nil {
		known = &standinWorker{tasks: make(map[string]*standinTask)}
		w.workers[listed.ID] = known
	}
	known.listed = listed
	if listed.Gone {
		known.tasks = make(map[string]*standinTask)
	}
	w.touch(known)
}

// Starts returns every start that was carried out, in order.
func (w *Workers) Starts() []StartRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]StartRecord(nil), w.starts...)
}

// WorkerCalls returns the number of calls about workers so far.
func (w *Workers) WorkerCalls() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// LapseTasks ends the leases of all running tasks.
func (w *Workers) LapseTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			t.until = w.clock()
		}
	}
	w.advance()
}

func (w *Workers) touch(worker *standinWorker) {
	w.version++
	worker.version = w.version
}

func (w *Workers) end(worker *standinWorker, t *standinTask, s platform.TaskState, reason string) {
	t.report.State, t.report.Reason = s, reason
	t.report.MilliCores, t.report.MemoryMB = 0, 0
	t.until = w.clock()
	worker.listed.Sequence++
	w.touch(worker)
}

// advance ends tasks that are finished or whose lease has lapsed. The lock is
// held.
func (w *Workers) advance() {
	now := w.clock()
	for _, worker := range w.workers {
		for id, t := range worker.tasks {
			switch {
			case t.report.State != platform.StateRunning:
				if now.Sub(t.until) > standinRetention {
					delete(worker.tasks, id)
				}
			case !now.Before(t.finishes):
				w.end(worker, t, platform.StateDone, "")
			case !now.Before(t.until):
				w.end(worker, t, platform.StateLapsed, "lease lapsed")
			}
		}
	}
}

// begin locks the workers on success.
func (w *Workers) begin(ctx context.Context) error {
	w.mu.Lock()
	w.calls++
	if w.faults.Outage || ctx.Err() != nil {
		w.mu.Unlock()
		return platform.ErrUnavailable
	}
	w.advance()
	return nil
}

// WatchWorkers implements platform.Workers.
func (w *Workers) WatchWorkers(ctx context.Context, dataCentre string, after uint64, wait time.Duration) (platform.WorkerList, error) {
	if err := w.begin(ctx); err != nil {
		return platform.WorkerList{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		list := w.changed(dataCentre, after)
		outage := w.faults.Outage
		w.mu.Unlock()
		if outage {
			return platform.WorkerList{}, platform.ErrUnavailable
		}
		if len(list.Workers) > 0 || time.Now().After(deadline) {
			return list, nil
		}
		if sleep(ctx, min(watchStep, max(time.Until(deadline), time.Millisecond))) != nil {
			return platform.WorkerList{}, platform.ErrUnknown
		}
		w.mu.Lock()
		w.advance()
	}
}

// changed returns the workers that changed after a version. The lock is held.
func (w *Workers) changed(dataCentre string, after uint64) platform.WorkerList {
	list := platform.WorkerList{Version: w.version}
	for _, worker := range w.workers {
		if worker.listed.DataCentre != dataCentre || worker.version <= after || after == 0 && worker.listed.Gone {
			continue
		}
		list.Workers = append(list.Workers, w.report(worker))
	}
	sort.Slice(list.Workers, func(i, j int) bool { return list.Workers[i].ID < list.Workers[j].ID })
	return list
}

func (w *Workers) report(worker *standinWorker) platform.Worker {
	listed := worker.listed
	listed.Tasks = nil
	lag := time.Duration(w.faults.UsageLagMS) * time.Millisecond
	for _, t := range worker.tasks {
		report := t.report
		if w.clock().Sub(t.started) < lag {
			report.MilliCores, report.MemoryMB = 0, 0
		}
		listed.Tasks = append(listed.Tasks, report)
	}
	sort.Slice(listed.Tasks, func(i, j int) bool { return listed.Tasks[i].ID < listed.Tasks[j].ID })
	return listed
}

// StartTask implements platform.Workers.
func (w *Workers) StartTask(ctx context.Context, worker string, spec platform.TaskSpec, ttl time.Duration) (uint64, error) {
	if err := w.begin(ctx); err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.faults.LoseStarts > 0 {
		w.faults.LoseStarts--
		return 0, platform.ErrUnknown
	}
	on, ok := w.workers[worker]
	if !ok || on.listed.Gone {
		return 0, platform.ErrNoWorker
	}
	if _, ok := on.tasks[spec.ID]; ok {
		return on.listed.Sequence, platform.ErrTaskExists
	}
	if on.running() >= standinSlots {
		return 0, platform.ErrTaskRefused
	}
	w.start(on, spec, ttl)
	if w.faults.LoseStartAnswers > 0 {
		w.faults.LoseStartAnswers--
		return 0, platform.ErrUnknown
	}
	return on.listed.Sequence, nil
}

// standinSlots is the number of slots of each worker.
const standinSlots = 8

func (s *standinWorker) running() int {
	n := 0
	for _, t := range s.tasks {
		if t.report.State == platform.StateRunning {
			n++
		}
	}
	return n
}

func (w *Workers) start(on *standinWorker, spec platform.TaskSpec, ttl time.Duration) {
	now := w.clock()
	t := &standinTask{
		report:  platform.TaskReport{ID: spec.ID, State: platform.StateRunning, MilliCores: 500, MemoryMB: 256},
		started: now, until: now.Add(ttl), finishes: now.Add(w.taskTime),
	}
	on.tasks[spec.ID] = t
	on.listed.Sequence++
	w.starts = append(w.starts, StartRecord{Worker: on.listed.ID, Task: spec.ID, Checkpoint: spec.Checkpoint, At: now})
	w.touch(on)
	for _, id := range w.faults.FailsAll {
		if id == on.listed.ID {
			w.end(on, t, platform.StateFailed, "worker fault")
		}
	}
}

// find returns a task that was started on a worker. The lock is held.
func (w *Workers) find(ref platform.TaskRef) (*standinWorker, *standinTask) {
	on := w.workers[ref.Worker]
	if on == nil {
		return nil, nil
	}
	return on, on.tasks[ref.Task]
}

// RenewTasks implements platform.Workers.
func (w *Workers) RenewTasks(ctx context.Context, tasks []platform.TaskRef, ttl time.Duration) error {
	if err := w.begin(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, ref := range tasks {
		if _, t := w.find(ref); t != nil && t.report.State == platform.StateRunning {
			t.until = w.clock().Add(ttl)
		}
	}
	return nil
}

// CheckpointTask implements platform.Workers.
func (w *Workers) CheckpointTask(ctx context.Context, ref platform.TaskRef) (string, error) {
	if err := w.begin(ctx); err != nil {
		return "", err
	}
	defer w.mu.Unlock()
	on, t := w.find(ref)
	if t == nil || t.report.State != platform.StateRunning {
		return "", platform.ErrNotFound
	}
	t.report.Checkpoint = fmt.Sprintf("%s@%d", ref.Task, on.listed.Sequence)
	w.end(on, t, platform.StateCheckpointed, "")
	return t.report.Checkpoint, nil
}

// ThrottleTask implements platform.Workers.
func (w *Workers) ThrottleTask(ctx context.Context, ref platform.TaskRef, milliCores int64) error {
	if err := w.begin(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	on, t := w.find(ref)
	if t == nil || t.report.State != platform.StateRunning {
		return platform.ErrNotFound
	}
	if milliCores > 0 {
		t.report.MilliCores = min(t.report.MilliCores, milliCores)
	}
	w.touch(on)
	return nil
}

// StopTasks implements platform.Workers.
func (w *Workers) StopTasks(ctx context.Context, refs []platform.TaskRef) error {
	if err := w.begin(ctx); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, ref := range refs {
		on, t := w.find(ref)
		if on == nil {
			continue
		}
		if t == nil {
			t = &standinTask{report: platform.TaskReport{ID: ref.Task, State: platform.StateRunning}}
			on.tasks[ref.Task] = t
		}
		if t.report.State == platform.StateRunning {
			w.end(on, t, platform.StateStopped, "stopped")
		}
	}
	return nil
}

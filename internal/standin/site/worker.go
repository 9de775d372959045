package site

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is the result of a run that ends by itself, that is, without a stop, an
// expired lease or a crash of the worker.
type Outcome string

// Outcomes of a run.
const (
	Done   Outcome = "done"
	Failed Outcome = "failed"
)

// WorkerFault selects how a Worker mishandles calls.
type WorkerFault int

// Faults of a Worker.
const (
	// WorkerNoFault injects no fault.
	WorkerNoFault WorkerFault = iota
	// WorkerSilent ignores every call and closes the connection without an
	// answer after one second.
	WorkerSilent
	// WorkerLosesAnswers executes every call and closes the connection without an
	// answer.
	WorkerLosesAnswers
	// WorkerLate closes the connection without an answer and executes the call
	// after lateDelay.
	WorkerLate
	// WorkerRejectsStarts rejects every start with 503.
	WorkerRejectsStarts
)

// maxLease is the longest lease that a worker grants.
const maxLease = 6 * time.Second

// RunBehavior returns the duration and the outcome of a run of a task. With
// duration 0 the run does not end by itself.
type RunBehavior func(payload, task string, run int) (time.Duration, Outcome)

// RunRecord is one run of a task on a Worker. End and EndState are zero while
// it is running; EndState is an Outcome, "stopped", "lapsed" or "lost"
// afterwards.
type RunRecord struct {
	Worker, Task, Payload string
	Run                   int
	Start, End            time.Time
	EndState              string
	// Fence is the fencing token of the call that started the run.
	Fence int64
}

// activeRun is a run that has not ended. The timer ends it; a run of unlimited
// duration has none.
type activeRun struct {
	record RunRecord
	timer  *time.Timer
}

// Worker is a stand-in for a worker of the users' platform. It is safe for
// concurrent use.
type Worker struct {
	ID, Service, Zone, Rack string
	Machine                 string
	CPU, MemoryMB           int64

	mu sync.Mutex
	// startedAt is when the current incarnation started. The worker's clock
	// counts from this time; bornMS is the same time in Unix milliseconds.
	startedAt time.Time
	bornMS    int64
	// highestFence is the fencing token below which calls are rejected.
	highestFence int64
	// The lease covers all runs; leaseTimer ends them at leaseExpiry.
	leaseExpiry time.Time
	leaseTimer  *time.Timer
	// running holds the active runs by task.
	running map[string]*activeRun
	// lastClosedRun holds, by task, the highest run number that has ended or was
	// stopped. Calls that start this run or an earlier one are rejected.
	lastClosedRun map[string]int
	// endedRuns holds the rows of ended runs that no call has acknowledged.
	endedRuns [][]any
	lastEndID int64
	// changed is closed and replaced when a run ends.
	changed   chan struct{}
	fault     WorkerFault
	behavior  RunBehavior
	reportEnd func(RunRecord)
	// admits reports whether a task may start with a ticket, nil for always.
	admits func(worker, task, ticket string) bool
}

// NewWorker returns a worker that passes each ended run to reportEnd, which must
// not call the worker.
func NewWorker(id, service, zone, rack string, cpu, memoryMB int64, behavior RunBehavior, reportEnd func(RunRecord)) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Rack: rack, CPU: cpu, MemoryMB: memoryMB, behavior: behavior, reportEnd: reportEnd}
	w.reset()
	return w
}

// reset starts a new incarnation without runs.
func (w *Worker) reset() {
	w.startedAt = time.Now()
	w.bornMS = w.startedAt.UnixMilli()
	w.highestFence, w.lastEndID, w.endedRuns = 0, 0, nil
	w.running, w.lastClosedRun = make(map[string]*activeRun), make(map[string]int)
	w.changed = make(chan struct{})
}

// Restart simulates a crash: it ends all runs as lost and starts a new
// incarnation, which has no record of earlier runs and fencing tokens.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		w.endRun(task, "lost", "")
	}
	close(w.changed)
	w.reset()
}

// SetFault replaces the injected fault.
func (w *Worker) SetFault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// ActiveRuns returns the active runs, in no particular order.
func (w *Worker) ActiveRuns() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []RunRecord
	for _, r := range w.running {
		list = append(list, r.record)
	}
	return list
}

// Entry returns the worker's entry for the store, with its "ip:port" and state.
func (w *Worker) Entry(address, state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.Service, "address": address, "zone": w.Zone, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": map[string]int64{"cpu": w.CPU, "mem-mb": w.MemoryMB, "gpu": 0},
		"labels": []string{"a", w.Rack}, "clock-ms": w.clockMS(), "seq": 1, "born": w.bornMS,
	}
}

// clockMS returns the worker's clock: milliseconds since startedAt, from 1 on.
func (w *Worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// workerCall is the body of every call to a worker. UntilMS is on the worker's
// clock; LastSeen is the id of the last end row that the caller received.
type workerCall struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
	Ticket   string `json:"ticket"`
}

// Serve handles one HTTP call to the worker, with the injected fault.
func (w *Worker) Serve(c *fasthttp.RequestCtx) {
	if string(c.Request.Header.Peek("Target-Instance")) != w.ID {
		c.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var call workerCall
	if json.Unmarshal(c.PostBody(), &call) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	path := string(c.Path())
	w.mu.Lock()
	fault := w.fault
	w.mu.Unlock()
	switch {
	case fault == WorkerSilent:
		time.Sleep(time.Second)
		abort(c)
	case fault == WorkerLosesAnswers:
		w.dispatch(c, path, call)
		abort(c)
	case fault == WorkerLate:
		late := &fasthttp.RequestCtx{}
		time.AfterFunc(lateDelay, func() { w.dispatch(late, path, call) })
		abort(c)
	case fault == WorkerRejectsStarts && path == "/run-start":
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		w.dispatch(c, path, call)
	}
}

func (w *Worker) dispatch(c *fasthttp.RequestCtx, path string, call workerCall) {
	w.mu.Lock()
	if call.Fence < w.highestFence {
		w.replyConflict(c, "fence")
		w.mu.Unlock()
		return
	}
	w.highestFence = call.Fence
	switch path {
	case "/run-start":
		w.startRun(c, call)
	case "/run-stop":
		w.stopRun(call)
		w.replyClock(c)
	case "/pace":
		w.replyClock(c)
	case "/hold":
		w.serveHold(c, call)
		return
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
	w.mu.Unlock()
}

func (w *Worker) replyClock(c *fasthttp.RequestCtx) {
	replyJSON(c, map[string]any{"clock-ms": w.clockMS(), "born": w.bornMS})
}

func (w *Worker) replyConflict(c *fasthttp.RequestCtx, reason string) {
	c.SetStatusCode(fasthttp.StatusConflict)
	replyJSON(c, map[string]any{"clock-ms": w.clockMS(), "reason": reason})
}

// extendLease extends the lease of all runs to untilMS on the worker's clock, but
// to no later than maxLease from now. It never shortens the lease. The caller
// holds w.mu.
func (w *Worker) extendLease(untilMS int64) {
	until := w.startedAt.Add(time.Duration(untilMS) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if !until.After(w.leaseExpiry) {
		return
	}
	w.leaseExpiry = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(until), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.leaseExpiry) {
			return
		}
		for task := range w.running {
			w.endRun(task, "lapsed", "")
		}
	})
}

// startRun starts a run. A repeated start of a running run has no effect. The
// start is rejected if the run was closed before, if another run of the task is
// active, if the lease in the call has already expired, or without a valid ticket of the
// advice service. The caller holds w.mu.
func (w *Worker) startRun(c *fasthttp.RequestCtx, call workerCall) {
	if running := w.running[call.Task]; running != nil && running.record.Run == call.Run {
		w.replyClock(c)
		return
	}
	if call.Run <= w.lastClosedRun[call.Task] || w.running[call.Task] != nil {
		w.extendLease(call.UntilMS)
		w.replyConflict(c, "old")
		return
	}
	if w.clockMS() > call.UntilMS {
		w.replyConflict(c, "late")
		return
	}
	if w.admits != nil && !w.admits(w.ID, call.Task, call.Ticket) {
		w.replyConflict(c, "ticket")
		return
	}
	w.extendLease(call.UntilMS)
	duration, outcome := w.behavior(call.Spec, call.Task, call.Run)
	run := &activeRun{record: RunRecord{Worker: w.ID, Task: call.Task, Payload: call.Spec, Run: call.Run, Start: time.Now(), Fence: call.Fence}}
	w.running[call.Task] = run
	if duration > 0 {
		run.timer = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[call.Task] == run {
				w.endRun(call.Task, string(outcome), "")
			}
		})
	}
	w.replyClock(c)
}

// stopRun stops a run if it is active, and closes it so that a start that arrives
// later is rejected. The caller holds w.mu.
func (w *Worker) stopRun(call workerCall) {
	if running := w.running[call.Task]; running != nil && running.record.Run == call.Run {
		w.endRun(call.Task, "stopped", "saved")
	}
	w.lastClosedRun[call.Task] = max(w.lastClosedRun[call.Task], call.Run)
}

// endRun ends the active run of a task and adds its row to endedRuns. The caller
// holds w.mu.
func (w *Worker) endRun(task, endState, checkpoint string) {
	run := w.running[task]
	delete(w.running, task)
	if run.timer != nil {
		run.timer.Stop()
	}
	run.record.End, run.record.EndState = time.Now(), endState
	w.lastClosedRun[task] = max(w.lastClosedRun[task], run.record.Run)
	w.lastEndID++
	w.endedRuns = append(w.endedRuns, []any{w.lastEndID, task, run.record.Run, endState, checkpoint})
	w.reportEnd(run.record)
	close(w.changed)
	w.changed = make(chan struct{})
}

// serveHold extends the lease, drops the acknowledged rows of ended runs, and
// answers with the running and the ended runs. If no ended run remains, it waits
// for one for up to WaitMS of the call. The caller holds w.mu; serveHold releases
// it while it waits and before it returns.
func (w *Worker) serveHold(c *fasthttp.RequestCtx, call workerCall) {
	if call.UntilMS > 0 {
		w.extendLease(call.UntilMS)
	}
	w.endedRuns = slices.DeleteFunc(w.endedRuns, func(row []any) bool { return row[0].(int64) <= call.LastSeen })
	deadline := time.After(time.Duration(call.WaitMS) * time.Millisecond)
	for waiting := call.WaitMS > 0; waiting && len(w.endedRuns) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		w.mu.Lock()
	}
	runningRows := [][]any{}
	for task, r := range w.running {
		runningRows = append(runningRows, []any{task, r.record.Run, "", 100, 0})
	}
	endedRows := append([][]any{}, w.endedRuns...)
	replyJSON(c, map[string]any{"clock-ms": w.clockMS(), "born": w.bornMS, "running": runningRows, "ended": endedRows})
	w.mu.Unlock()
}

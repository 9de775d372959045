package site

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is how a stand-in's task ends.
type Outcome string

// Outcomes of a task.
const (
	Done   Outcome = "done"
	Failed Outcome = "failed"
)

// WorkerFault is how a worker treats calls.
type WorkerFault int

// Faults of a worker.
const (
	WorkerWell WorkerFault = iota
	// WorkerSilent never answers and carries nothing out.
	WorkerSilent
	// WorkerMute carries orders out and closes the connection without an answer.
	WorkerMute
	// WorkerLate closes the connection at once and carries orders out later.
	WorkerLate
	// WorkerShed refuses every start with 503.
	WorkerShed
)

// longestHold is the longest lease that a worker grants.
const longestHold = 6 * time.Second

// Work says how long a task of a payload runs and how it ends. Zero time means
// that it lasts.
type Work func(payload, task string, run int) (time.Duration, Outcome)

// RunRecord is one run that a stand-in worker has had.
type RunRecord struct {
	Worker, Task, Payload string
	Run                   int
	Start, End            time.Time
	How                   string
	// Fence is the token of the order that started it.
	Fence int64
}

type liveRun struct {
	record RunRecord
	timer  *time.Timer
}

// Worker is a stand-in for one incarnation of a worker.
type Worker struct {
	ID, Service, Zone, Rack string
	Machine                 string
	CPU, MemoryMB           int64

	mu      sync.Mutex
	begun   time.Time
	born    int64
	fence   int64
	until   time.Time
	lapse   *time.Timer
	live    map[string]*liveRun
	barred  map[string]int
	ends    [][]any
	nextEnd int64
	changed chan struct{}
	fault   WorkerFault
	work    Work
	record  func(RunRecord)
}

// NewWorker returns a worker that reports each ended run to record.
func NewWorker(id, service, zone, rack string, cpu, memoryMB int64, work Work, record func(RunRecord)) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Rack: rack, CPU: cpu, MemoryMB: memoryMB, work: work, record: record}
	w.reset()
	return w
}

func (w *Worker) reset() {
	w.begun = time.Now()
	w.born = w.begun.UnixMilli()
	w.fence, w.nextEnd, w.ends = 0, 0, nil
	w.live, w.barred = make(map[string]*liveRun), make(map[string]int)
	w.changed = make(chan struct{})
}

// Restart ends everything and forgets all, as a crash does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.live {
		w.end(task, "lost", "")
	}
	close(w.changed)
	w.reset()
}

// Fault switches a fault on.
func (w *Worker) Fault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Live returns the runs that are alive.
func (w *Worker) Live() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []RunRecord
	for _, r := range w.live {
		list = append(list, r.record)
	}
	return list
}

// Entry returns what the worker writes into the store's list.
func (w *Worker) Entry(address, state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.Service, "address": address, "zone": w.Zone, "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "capacity": map[string]int64{"cpu": w.CPU, "mem-mb": w.MemoryMB, "gpu": 0},
		"labels": []string{"a", w.Rack}, "clock-ms": w.clock(), "seq": 1, "born": w.born,
	}
}

func (w *Worker) clock() int64 { return time.Since(w.begun).Milliseconds() + 1 }

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until-ms"`
	Fence  int64  `json:"fencing-token"`
	Seen   int64  `json:"last-seen"`
	WaitMS int64  `json:"wait-ms"`
}

// Serve handles one call.
func (w *Worker) Serve(c *fasthttp.RequestCtx) {
	if string(c.Request.Header.Peek("Target-Instance")) != w.ID {
		c.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(c.PostBody(), &o) != nil {
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
	case fault == WorkerMute:
		w.serve(c, path, o)
		abort(c)
	case fault == WorkerLate:
		late := &fasthttp.RequestCtx{}
		time.AfterFunc(lateAfter, func() { w.serve(late, path, o) })
		abort(c)
	case fault == WorkerShed && path == "/run-start":
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		w.serve(c, path, o)
	}
}

func (w *Worker) serve(c *fasthttp.RequestCtx, path string, o order) {
	w.mu.Lock()
	if o.Fence < w.fence {
		w.refuse(c, "fence")
		w.mu.Unlock()
		return
	}
	w.fence = o.Fence
	switch path {
	case "/run-start":
		w.start(c, o)
	case "/run-stop":
		w.stop(o)
		w.answer(c)
	case "/pace":
		w.answer(c)
	case "/hold":
		w.hold(c, o)
		return
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
	w.mu.Unlock()
}

func (w *Worker) answer(c *fasthttp.RequestCtx) {
	reply(c, map[string]any{"clock-ms": w.clock(), "born": w.born})
}

func (w *Worker) refuse(c *fasthttp.RequestCtx, reason string) {
	c.SetStatusCode(fasthttp.StatusConflict)
	reply(c, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

// extend lengthens the lease of everything on the worker.
func (w *Worker) extend(untilMS int64) {
	until := w.begun.Add(time.Duration(untilMS) * time.Millisecond)
	if longest := time.Now().Add(longestHold); until.After(longest) {
		until = longest
	}
	if !until.After(w.until) {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(until), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.until) {
			return
		}
		for task := range w.live {
			w.end(task, "lapsed", "")
		}
	})
}

func (w *Worker) start(c *fasthttp.RequestCtx, o order) {
	if live := w.live[o.Task]; live != nil && live.record.Run == o.Run {
		w.answer(c)
		return
	}
	if o.Run <= w.barred[o.Task] || w.live[o.Task] != nil {
		w.extend(o.Until)
		w.refuse(c, "old")
		return
	}
	if w.clock() > o.Until {
		w.refuse(c, "late")
		return
	}
	w.extend(o.Until)
	takes, outcome := w.work(o.Spec, o.Task, o.Run)
	run := &liveRun{record: RunRecord{Worker: w.ID, Task: o.Task, Payload: o.Spec, Run: o.Run, Start: time.Now(), Fence: o.Fence}}
	w.live[o.Task] = run
	if takes > 0 {
		run.timer = time.AfterFunc(takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.live[o.Task] == run {
				w.end(o.Task, string(outcome), "")
			}
		})
	}
	w.answer(c)
}

func (w *Worker) stop(o order) {
	if live := w.live[o.Task]; live != nil && live.record.Run == o.Run {
		w.end(o.Task, "stopped", "saved")
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
}

// end lists the end of a run.
func (w *Worker) end(task, how, saved string) {
	run := w.live[task]
	delete(w.live, task)
	if run.timer != nil {
		run.timer.Stop()
	}
	run.record.End, run.record.How = time.Now(), how
	w.barred[task] = max(w.barred[task], run.record.Run)
	w.nextEnd++
	w.ends = append(w.ends, []any{w.nextEnd, task, run.record.Run, how, saved})
	w.record(run.record)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold answers with both lists. It unlocks the worker while it waits.
func (w *Worker) hold(c *fasthttp.RequestCtx, o order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	w.ends = slices.DeleteFunc(w.ends, func(row []any) bool { return row[0].(int64) <= o.Seen })
	deadline := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, r := range w.live {
		running = append(running, []any{task, r.record.Run, "", 100, 0})
	}
	ended := append([][]any{}, w.ends...)
	reply(c, map[string]any{"clock-ms": w.clock(), "born": w.born, "running": running, "ended": ended})
	w.mu.Unlock()
}

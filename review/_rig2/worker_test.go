package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of a worker, from the bounds of cascade-coop.
const (
	maxHold     = 6 * time.Second
	startupTime = 300 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
)

// task is what a task of the scripts does. Its payload says it.
type task struct {
	duration time.Duration // 0 runs until it is stopped
	cpu      int64
}

// run is one run of a task on a worker, as the worker saw it.
type run struct {
	worker, task string
	number       int
	born         int64
	cpu          int64
	fence        int64
	start, end   time.Time
	how          string
	duration     time.Duration
	endNumber    int64
	// lapsed means that the lease lapsed after the end, noted that last-seen has reached
	// the end before that. Both are guarded by worker.mu.
	lapsed, noted bool
	timer         *time.Timer
}

// worker is a stand-in for a worker of the users' platform. It keeps to PROTOCOL.md:
// it guards its capacity, refuses lower fencing tokens and closed runs, ends everything
// when its lease expires, and returns each end until it is acknowledged.
type worker struct {
	d                                *deployment
	id, service, zone, rack, machine string
	capacity                         int64
	address                          string

	mu          sync.Mutex
	up          bool
	dark        chan struct{}
	server      *http.Server
	startedAt   time.Time
	born        int64
	fence       int64
	leaseUntil  time.Time
	leaseTimer  *time.Timer
	running     map[string]*run
	closed      map[string]int
	ended       [][]any
	lastEnd     int64
	listed      []*run
	changed     chan struct{}
	seq         int
	stopBeating chan struct{}
}

// start begins a life of the worker at its address.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.mu.Lock()
	w.up, w.startedAt, w.fence = true, time.Now(), 0
	w.born = w.startedAt.UnixMilli()
	w.running, w.closed, w.ended, w.lastEnd, w.listed = map[string]*run{}, map[string]int{}, nil, 0, nil
	w.changed, w.stopBeating, w.dark = make(chan struct{}), make(chan struct{}), make(chan struct{})
	w.leaseUntil = time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.serve(w.serveStop))
	mux.HandleFunc("POST /pace", w.serve(func(call) (int, any) { return 200, w.answer(nil) }))
	mux.HandleFunc("POST /hold", w.serve(w.serveHold))
	w.server = &http.Server{Handler: mux}
	server, stop := w.server, w.stopBeating
	w.mu.Unlock()
	w.d.note("worker %s of %s starts at %s", w.id, w.service, w.address)
	go func() { _ = server.Serve(listener) }()
	go w.beat(stop)
	return nil
}

// crash ends the process of the worker: its connections are reset, and what it ran is
// lost.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.stopBeating)
	for name := range w.running {
		w.endRun(name, "lost with its worker")
	}
	_ = w.server.Close()
	w.d.note("TROUBLE: worker %s crashes", w.id)
}

// loseForGood ends the worker without a sign: what it ran is lost, its entry lapses after
// three heartbeats, and no call to it is answered any more.
func (w *worker) loseForGood() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	close(w.dark)
	close(w.stopBeating)
	for name := range w.running {
		w.endRun(name, "lost with its worker")
	}
	w.d.note("TROUBLE: worker %s is lost for good, silently", w.id)
	time.AfterFunc(3*heartbeat, func() { w.d.store.Delete("servers/" + w.id) })
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.seq++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"seq": w.seq, "capacity": map[string]int64{"cpu": w.capacity, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack}, "born": w.born, "machine": w.machine,
		}
		up := w.up
		w.mu.Unlock()
		if !up {
			return
		}
		w.d.store.Put("servers/"+w.id, entry)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// call is the body of any call to a worker.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// serve decodes a call and answers it with what handle returns. Handle is called with
// w.mu held.
func (w *worker) serve(handle func(call) (int, any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var c call
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Target-Instance") != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if w.isDark() {
			select {}
		}
		w.mu.Lock()
		status, body := http.StatusConflict, any(w.answer(map[string]any{"reason": "fence"}))
		if c.Fence >= w.fence {
			w.fence = c.Fence
			status, body = handle(c)
		}
		w.mu.Unlock()
		if w.isDark() {
			select {}
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body)
	}
}

// isDark reports whether the worker is lost, so that nothing is answered.
func (w *worker) isDark() bool {
	select {
	case <-w.dark:
		return true
	default:
		return false
	}
}

func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

func (w *worker) answer(fields map[string]any) map[string]any {
	body := map[string]any{"clock-ms": w.clock(), "born": w.born}
	for k, v := range fields {
		body[k] = v
	}
	return body
}

func (w *worker) inUse() int64 {
	var sum int64
	for _, r := range w.running {
		sum += r.cpu
	}
	return sum
}

func (w *worker) serveStart(c call) (int, any) {
	refuse := func(reason string) (int, any) { return 409, w.answer(map[string]any{"reason": reason}) }
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return 200, w.answer(nil)
	}
	t := taskOf(c.Spec, c.Task)
	switch {
	case c.Run <= w.closed[c.Task] || w.running[c.Task] != nil:
		w.extendLease(c.Until)
		return refuse("old")
	case w.clock() > c.Until:
		return refuse("late")
	case w.inUse()+t.cpu > w.capacity:
		w.extendLease(c.Until)
		return refuse("room")
	}
	r := &run{worker: w.id, task: c.Task, number: c.Run, born: w.born, cpu: t.cpu, fence: c.Fence, start: time.Now(), duration: t.duration}
	w.running[c.Task] = r
	w.extendLease(c.Until)
	if t.duration > 0 {
		r.timer = time.AfterFunc(t.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[c.Task] == r {
				w.endRun(c.Task, "done")
			}
		})
	}
	w.d.note("run %s %d starts on %s", c.Task, c.Run, w.id)
	return 200, w.answer(nil)
}

func (w *worker) serveStop(c call) (int, any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		w.endRun(c.Task, "stopped")
	}
	w.closed[c.Task] = max(w.closed[c.Task], c.Run)
	return 200, w.answer(nil)
}

// endRun ends a run and lists its end. The caller holds w.mu.
func (w *worker) endRun(name, how string) {
	r := w.running[name]
	delete(w.running, name)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.closed[name] = max(w.closed[name], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, name, r.number, how, ""})
	r.end, r.how, r.endNumber = time.Now(), how, w.lastEnd
	w.listed = append(w.listed, r)
	w.d.addRun(r)
	w.d.note("run %s %d ends on %s: %s", name, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extendLease extends the lease to a time on the worker's clock. It never shortens it.
func (w *worker) extendLease(until int64) {
	at := w.startedAt.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(maxHold); at.After(latest) {
		at = latest
	}
	if !at.After(w.leaseUntil) {
		return
	}
	w.leaseUntil = at
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.leaseUntil) {
			return
		}
		for _, r := range w.listed {
			r.lapsed = true
		}
		for name := range w.running {
			w.endRun(name, "lapsed")
		}
	})
}

func (w *worker) serveHold(c call) (int, any) {
	if c.Until > 0 {
		w.extendLease(c.Until)
	}
	for len(w.listed) > 0 && w.listed[0].endNumber <= c.LastSeen {
		r := w.listed[0]
		r.noted = !r.lapsed
		w.d.note("the end of run %s %d is taken note of on %s, fencing token %d", r.task, r.number, w.id, c.Fence)
		w.listed = w.listed[1:]
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	deadline := time.After(time.Duration(c.Wait) * time.Millisecond)
	for waiting := c.Wait > 0; waiting && len(w.ended) == 0; {
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
	for name, r := range w.running {
		total := r.duration
		if total == 0 {
			total = startupTime
		}
		percent := min(100, int(100*time.Since(r.start)/total))
		running = append(running, []any{name, r.number, "", percent, r.cpu})
	}
	return 200, w.answer(map[string]any{"running": running, "ended": append([][]any{}, w.ended...)})
}

// runsOn returns the names of the tasks that a worker runs.
func (w *worker) runsOn() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := map[string]time.Time{}
	for name, r := range w.running {
		names[name] = r.start
	}
	return names
}

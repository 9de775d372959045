package placement

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Waits decides whether a task or gang that has room elsewhere waits for room near its
// data or in a single rack, and keeps the waits under way. A wait reserves nothing. It
// belongs to one term of a scheduler.
type Waits struct {
	// factor is how many times as long a task takes elsewhere.
	factor float64
	// list holds the waits by task, those of a gang by its first task.
	list map[job.TaskName]*wait
	// outlooks are the outlooks of this round, prospects supplies what they need.
	outlooks  map[*Pool]*outlook
	prospects func(service string) Prospects
	// crowded are the least needs of tasks that had no room in the last round, by service,
	// short those in this round.
	crowded, short map[string]machine.Resources
	// budget is how many workers may still be looked at in this round.
	budget int
}

const (
	// roundBudget bounds the workers that are looked at in a round. Beyond it no wait
	// begins, and those under way go on until the time at which they expect room.
	roundBudget = 2048
	// recheckInterval is the time after which the expectation of a wait is computed anew.
	// Until then the wait goes on if the workers that it counts on may still be used.
	recheckInterval = 100 * time.Millisecond
)

// wait is a wait of a task or gang.
type wait struct {
	task          *job.Task
	service, rack string
	began         time.Time
	limits        limits
	gain          time.Duration
	// expected is when the rack is expected to have room, use the places that the task
	// expects to get, checkAt when both are computed anew.
	expected, checkAt time.Time
	use               []places
}

// Verdict is the decision about a task or gang for which a place was found.
type Verdict int

// Verdicts. With the first three, the task starts.
const (
	// StartNow means that the task never waited.
	StartNow Verdict = iota
	// WaitMet means that the place that the task waited for has become free.
	WaitMet
	// WaitGivenUp means that the task starts elsewhere after a wait.
	WaitGivenUp
	// WaitBegins means that the task waits from now on.
	WaitBegins
	// WaitGoesOn means that the task continues to wait.
	WaitGoesOn
)

// Waits reports whether the task does not start now.
func (v Verdict) Waits() bool { return v >= WaitBegins }

// Decision is a verdict with the figures behind it.
type Decision struct {
	Verdict Verdict
	Rack    string
	// Gain is the run time that the wait saves.
	Gain time.Duration
	// Expected is how long the wait is expected to take. It is set for a wait that
	// begins or goes on.
	Expected time.Duration
	// Waited is the length of the wait so far.
	Waited time.Duration
	// Until is when the wait ends at the latest.
	Until time.Time
}

// NewWaits returns the waits of a scheduler that has just become active. Tasks take
// factor times as long outside their preferred rack; with a factor of 1 or less nothing
// waits.
func NewWaits(factor float64) *Waits {
	return &Waits{factor: factor, list: make(map[job.TaskName]*wait)}
}

// Enabled reports whether anything may wait.
func (ws *Waits) Enabled() bool { return ws.factor > 1 }

// BeginRound begins a round of placement. It drops the waits of tasks that have started
// in another way or need no start any longer. Prospects is called at most once for each
// service during the round.
func (ws *Waits) BeginRound(prospects func(service string) Prospects) {
	ws.prospects, ws.outlooks = prospects, nil
	ws.crowded, ws.short, ws.budget = ws.short, nil, roundBudget
	for name, w := range ws.list {
		if w.task.Done() || len(w.task.Runs) > 0 || w.task.Occurrence.Job.Ended() {
			delete(ws.list, name)
		}
	}
}

// Copy returns a copy at the beginning of the next round, whose decisions leave the
// original unchanged.
func (ws *Waits) Copy(prospects func(service string) Prospects) *Waits {
	c := &Waits{factor: ws.factor, list: make(map[job.TaskName]*wait, len(ws.list)), short: ws.short}
	for name, w := range ws.list {
		own := *w
		c.list[name] = &own
	}
	c.BeginRound(prospects)
	return c
}

// RecordShortage records that a task or gang of a service found no room in this round. It
// uses the room that waiting tasks leave free, unless it cannot use every worker or is a
// gang that is larger than the pool.
func (ws *Waits) RecordShortage(service string, p *Pool, t *job.Step) {
	if !ws.Enabled() || t.Label != "" || t.MaxPerWorker > 0 || t.Gang && !p.holds(t) {
		return
	}
	if ws.short == nil {
		ws.short = make(map[string]machine.Resources)
	}
	need := t.CountedNeed()
	if least, ok := ws.short[service]; !ok || need.FitsIn(least) {
		ws.short[service] = need
	}
}

// isCrowded reports whether other work waits for room on such a worker. It may need more
// than is free: it starts sooner if nothing else takes the room.
func (ws *Waits) isCrowded(w *worker.Worker) bool {
	need, ok := ws.crowded[w.Service]
	return ok && need.FitsIn(w.Capacity)
}

// holds reports whether the pool has the capacity for a gang.
func (p *Pool) holds(t *job.Step) bool {
	var capacity machine.Resources
	for _, w := range p.workers {
		capacity = capacity.Plus(w.Capacity)
	}
	return t.CountedNeed().Times(float64(t.Count)).FitsIn(capacity)
}

// Count returns the number of waits of a service at now, of all services if it is empty.
func (ws *Waits) Count(service string, now time.Time) int {
	n := 0
	for _, w := range ws.list {
		if (service == "" || w.service == service) && now.Before(w.limits.last) {
			n++
		}
	}
	return n
}

// Awaited returns the racks in which tasks of a service wait for room at now.
func (ws *Waits) Awaited(service string, now time.Time) map[string]bool {
	var racks map[string]bool
	for _, w := range ws.list {
		if w.service == service && now.Before(w.limits.last) {
			if racks == nil {
				racks = make(map[string]bool)
			}
			racks[w.rack] = true
		}
	}
	return racks
}

// NextEnd returns the earliest end of a wait after now, zero if there is none.
func (ws *Waits) NextEnd(now time.Time) time.Time {
	var next time.Time
	for _, w := range ws.list {
		for _, end := range []time.Time{w.limits.elsewhere, w.limits.last} {
			if end.After(now) && (next.IsZero() || end.Before(next)) {
				next = end
			}
		}
	}
	return next
}

// Task decides about a task for which chosen has room. Allowed is nil if the task may run
// on every worker.
func (ws *Waits) Task(p *Pool, t *job.Task, chosen *worker.Worker, allowed func(*worker.Worker) bool) Decision {
	spec := t.Spec()
	if !ws.Enabled() || spec.Rack == "" || !mayWait(t) {
		return Decision{}
	}
	d := demand{task: t, count: 1, allowed: allowed}
	if spec.MaxPerWorker > 0 {
		d.allowed = func(w *worker.Worker) bool {
			return (allowed == nil || allowed(w)) && w.CountStep(t.Occurrence, t.Step) < spec.MaxPerWorker
		}
	}
	return ws.decide(p, d, chosen, []string{spec.Rack}, chosen.Rack() == spec.Rack)
}

// Gang decides about a gang for whose tasks the chosen workers have room. Allowed is nil if
// its tasks may run on every worker.
func (ws *Waits) Gang(p *Pool, tasks []job.Task, chosen []*worker.Worker, allowed func(*worker.Worker) bool) Decision {
	t := &tasks[0]
	if !ws.Enabled() || !t.Spec().SameRack || !mayWait(t) {
		return Decision{}
	}
	elsewhere := func(w *worker.Worker) bool { return w.Rack() != chosen[0].Rack() }
	return ws.decide(p, demand{t, len(tasks), allowed}, chosen[0], p.racks(), !slices.ContainsFunc(chosen, elsewhere))
}

// mayWait reports whether a wait can pay for a task. A long-running task serves from its
// start on, the speed of a filler task is not known, and a suspect or second run is
// needed where there is room.
func mayWait(t *job.Task) bool {
	spec := t.Spec()
	return !spec.LongRunning && !spec.Filler && len(t.Runs) == 0 && t.Isolation() == job.NotIsolated
}

// decide compares the wait for room in one of the racks with an immediate start. A task
// waits only while it is expected to complete earlier than after a start elsewhere, and
// only up to the end of its wait. Room that is expected later than that counts if a start
// elsewhere is late as well and other work uses the room meanwhile.
func (ws *Waits) decide(p *Pool, d demand, chosen *worker.Worker, racks []string, preferred bool) Decision {
	name, now := d.task.Name(), p.now
	w := ws.list[name]
	if preferred {
		if w == nil {
			return Decision{}
		}
		delete(ws.list, name)
		return w.decision(WaitMet, now)
	}
	gain := time.Duration(float64(d.task.Spec().ExpectedRunTime()) * (ws.factor - 1))
	l := limitsOf(d.task, gain, now)
	if w != nil {
		l = w.limits
	}
	crowded := ws.isCrowded(chosen)
	if end := l.end(crowded); now.Before(end) {
		o := ws.outlook(p, chosen.Service)
		if w != nil && w.holds(now, end, crowded, ws.budget <= 0) && o.claim(d, w.expected, w.use) {
			return w.decision(WaitGoesOn, now)
		}
		if at, use, rack, ok := ws.expect(o, d, racks, l, gain, crowded); ok {
			o.claim(d, at, use)
			verdict := WaitGoesOn
			if w == nil {
				w = &wait{task: d.task, service: chosen.Service, began: now, limits: l, gain: gain}
				ws.list[name], verdict = w, WaitBegins
			}
			w.rack, w.expected, w.use, w.checkAt = rack, at, use, now.Add(recheckInterval)
			if at.Before(w.checkAt) {
				w.checkAt = at
			}
			return w.decision(verdict, now)
		}
	}
	if w == nil {
		return Decision{}
	}
	delete(ws.list, name)
	return w.decision(WaitGivenUp, now)
}

// holds reports whether the expectation of the wait need not be computed anew.
func (w *wait) holds(now, end time.Time, crowded, spent bool) bool {
	return (crowded || !w.expected.After(end)) && (now.Before(w.checkAt) || spent && now.Before(w.expected))
}

// decision returns a verdict about the wait.
func (w *wait) decision(v Verdict, now time.Time) Decision {
	d := Decision{Verdict: v, Rack: w.rack, Gain: w.gain, Waited: now.Sub(w.began), Until: w.limits.last}
	if v.Waits() {
		d.Expected = w.expected.Sub(now)
	}
	return d
}

// expect returns when one of the racks is expected to have room for the demand, and the
// places that it would use, if a wait for it is worthwhile.
func (ws *Waits) expect(o *outlook, d demand, racks []string, l limits, gain time.Duration, crowded bool) (at time.Time, use []places, rack string, ok bool) {
	now := o.pool.now
	longest := gain
	if !crowded {
		longest = time.Duration(float64(gain) / (1 + uncertainty))
	}
	limit := now.Add(longest)
	if end := l.end(crowded); (!crowded || !now.After(l.elsewhere)) && !limit.Before(end) {
		limit = end.Add(1)
	}
	for _, r := range racks {
		if t, u, possible := o.earliest(d, r, limit); possible && (!ok || t.Before(at)) {
			at, use, rack, ok = t, slices.Clone(u), r, true
		}
	}
	return at, use, rack, ok && at.After(now)
}

// uncertainty is the part by which an expected wait may be exceeded. It is that of the
// run times: in the simulations tasks take up to 1.3 times their estimates. It counts
// against a wait that leaves room unused, that is if no other work waits for room.
const uncertainty = 0.3

// limits are the times that end a wait. They follow from the slack of the job and are fixed
// when the wait begins.
type limits struct {
	// elsewhere is the last time at which a start elsewhere completes the job on time, zero
	// if it had passed when the wait began.
	elsewhere time.Time
	// last ends the wait in any case: at the last time at which a start in the preferred
	// rack completes the job on time, or when the wait has taken as long as its gain. The
	// latter bounds what a wait in vain costs.
	last time.Time
}

// limitsOf returns the limits of a wait that begins now. A job that is late does not wait.
func limitsOf(t *job.Task, gain time.Duration, now time.Time) limits {
	j := t.Occurrence.Job
	l := limits{last: time.UnixMilli(j.DueAt(t.Occurrence.Number)).Add(j.CompletionObjective() - j.CriticalPath(t.Step))}
	if elsewhere := l.last.Add(-gain); !now.After(elsewhere) {
		l.elsewhere = elsewhere
	}
	if longest := now.Add(gain); longest.Before(l.last) {
		l.last = longest
	}
	return l
}

// end returns when the wait ends. If other work waits for room, it uses what the waiting
// task leaves free. If not, the wait must not make a job late that a start elsewhere
// would complete on time.
func (l limits) end(crowded bool) time.Time {
	if !crowded && !l.elsewhere.IsZero() && l.elsewhere.Before(l.last) {
		return l.elsewhere
	}
	return l.last
}

func (ws *Waits) outlook(p *Pool, service string) *outlook {
	if ws.outlooks == nil {
		ws.outlooks = make(map[*Pool]*outlook)
	}
	o := ws.outlooks[p]
	if o == nil {
		o = newOutlook(p, ws.factor, ws.prospects(service), &ws.budget)
		ws.outlooks[p] = o
	}
	return o
}

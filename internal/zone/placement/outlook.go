package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Arrival is a machine that is on its way to a pool.
type Arrival struct {
	Rack string
	// At is when its worker is expected to accept tasks.
	At       time.Time
	Capacity machine.Resources
}

// Prospects are the changes of a pool that are under way.
type Prospects struct {
	// Leaving are the ids of the workers that will be taken down for upkeep.
	Leaving  map[string]bool
	Arriving []Arrival
}

// outlook estimates when workers of a pool will have room. It is valid for one round
// of placement and counts the places that waiting tasks of the round expect to get.
type outlook struct {
	pool      *Pool
	factor    float64
	prospects Prospects
	// workers are the workers of the pool by id, byRack those of each rack.
	workers map[string]*worker.Worker
	byRack  map[string][]*worker.Worker
	// budget is how many workers may still be looked at in the round.
	budget *int
	// sources are the expected changes of workers and arrivals, filled when needed.
	sources map[string]*source
	// bounds hold, by rack, the times before which demands find no room. Room only
	// shrinks during a round.
	bounds map[string][]bound
	// offered, levels and room are buffers.
	offered []places
	levels  []machine.Resources
	room    []int
}

func newOutlook(p *Pool, factor float64, prospects Prospects, budget *int) *outlook {
	o := &outlook{
		pool: p, factor: factor, prospects: prospects, budget: budget,
		workers: make(map[string]*worker.Worker, len(p.workers)), byRack: make(map[string][]*worker.Worker),
		sources: make(map[string]*source), bounds: make(map[string][]bound),
	}
	for _, w := range p.workers {
		o.workers[w.ID] = w
		o.byRack[w.Rack()] = append(o.byRack[w.Rack()], w)
	}
	return o
}

// source is a worker or an arrival with the changes of its free resources that are
// expected, in order of time. Runs is the number of runs that they include.
type source struct {
	changes, claims []change
	runs            int
}

// change is a change of a source's free resources.
type change struct {
	at    time.Time
	taken bool
	by    machine.Resources
}

// compareChanges orders changes by time, those that free resources first.
func compareChanges(a, b change) int {
	if c := a.at.Compare(b.at); c != 0 || a.taken == b.taken {
		return c
	}
	if b.taken {
		return -1
	}
	return 1
}

// places are places for tasks that a source offers from a time on.
type places struct {
	source string
	from   time.Time
	count  int
}

// demand is what a task or gang needs of a rack.
type demand struct {
	task  *job.Task
	count int
	// allowed is nil if tasks may run on every worker.
	allowed func(*worker.Worker) bool
}

// bound is the time before which a demand that needs at least this finds no room.
type bound struct {
	need  machine.Resources
	count int
	label string
	at    time.Time
}

// earliest returns when a rack is expected to have room for all tasks of the demand,
// and the places that they would use, until the next call. It returns false if that is
// not foreseeable before the limit.
func (o *outlook) earliest(d demand, rack string, limit time.Time) (time.Time, []places, bool) {
	spec := d.task.Spec()
	need := spec.CountedNeed()
	for _, b := range o.bounds[rack] {
		if !b.at.Before(limit) && b.count <= d.count && (b.label == "" || b.label == spec.Label) && b.need.FitsIn(need) {
			return time.Time{}, nil, false
		}
	}
	if *o.budget <= 0 {
		return time.Time{}, nil, false
	}
	at, use, ok := o.search(d, rack)
	if !ok {
		at = limit
	}
	if unconstrained := d.allowed == nil && spec.MaxPerWorker == 0 && d.task.FailedOn == ""; unconstrained && !at.Before(limit) {
		o.bounds[rack] = append(o.bounds[rack], bound{need, d.count, spec.Label, at})
	}
	return at, use, ok && at.Before(limit)
}

// search is earliest without its shortcut.
func (o *outlook) search(d demand, rack string) (time.Time, []places, bool) {
	o.offered = o.offered[:0]
	*o.budget -= len(o.byRack[rack])
	for _, w := range o.byRack[rack] {
		if o.mayUse(d, w) {
			o.offer(w.ID, w.Free(), o.sourceOf(w).changes, d)
		}
	}
	for i, a := range o.prospects.Arriving {
		if a.Rack == rack && d.task.Spec().Label == "" {
			o.offer(arrivalName(i), machine.Resources{}, o.arrival(i).changes, d)
		}
	}
	slices.SortStableFunc(o.offered, func(a, b places) int { return a.from.Compare(b.from) })
	missing := d.count
	for i := range o.offered {
		p := &o.offered[i]
		p.count = min(p.count, missing)
		if missing -= p.count; missing == 0 {
			return p.from, o.offered[:i+1], true
		}
	}
	return time.Time{}, nil, false
}

func arrivalName(i int) string { return "arrival " + strconv.Itoa(i) }

// arrival returns the source of an arriving machine.
func (o *outlook) arrival(i int) *source {
	s := o.sources[arrivalName(i)]
	if s == nil {
		a := o.prospects.Arriving[i]
		s = &source{changes: []change{{at: a.At, by: a.Capacity}}}
		o.sources[arrivalName(i)] = s
	}
	return s
}

// sourceOf returns the source of a worker with its present runs.
func (o *outlook) sourceOf(w *worker.Worker) *source {
	s := o.sources[w.ID]
	if s == nil {
		s = &source{runs: -1}
		o.sources[w.ID] = s
	}
	if s.runs != len(w.Runs()) {
		s.runs, s.changes = len(w.Runs()), slices.Clone(s.claims)
		for _, r := range w.Runs() {
			if end, ok := o.expectedEnd(w, r); ok {
				s.changes = append(s.changes, change{at: end, by: r.Task.Spec().CountedNeed()})
			}
		}
		slices.SortFunc(s.changes, compareChanges)
	}
	return s
}

// claim records that a demand is expected to use places from a time on, so that further
// tasks of the round do not wait for the same ones. It returns false if one of the sources
// does not exist any longer.
func (o *outlook) claim(d demand, at time.Time, use []places) bool {
	spec := d.task.Spec()
	for _, p := range use {
		if w := o.workers[p.source]; w != nil && !o.mayUse(d, w) || w == nil && o.sources[p.source] == nil {
			return false
		}
	}
	for _, p := range use {
		s := o.sources[p.source]
		if w := o.workers[p.source]; w != nil {
			s = o.sourceOf(w)
		}
		by := spec.CountedNeed().Times(float64(p.count))
		for _, c := range []change{{at, true, by}, {at.Add(spec.ExpectedRunTime()), false, by}} {
			s.claims = append(s.claims, c)
			i, _ := slices.BinarySearchFunc(s.changes, c, compareChanges)
			s.changes = slices.Insert(s.changes, i, c)
		}
	}
	return true
}

// mayUse reports whether tasks of the demand may run on a worker once it has room.
func (o *outlook) mayUse(d demand, w *worker.Worker) bool {
	return w.HasLabel(d.task.Spec().Label) && w.ID != d.task.FailedOn && !o.prospects.Leaving[w.ID] && w.Admits(job.NotIsolated, o.pool.now) && (d.allowed == nil || d.allowed(w))
}

// overdueShare is the part of a run's elapsed time for which it is expected to go on
// when it has exceeded its estimate. Estimates are rough: tasks of the simulations take
// up to 1.3 times theirs.
const overdueShare = 0.25

// expectedEnd returns when a run is expected to end, and false if it lasts until its
// job is cancelled.
func (o *outlook) expectedEnd(w *worker.Worker, r *job.Run) (time.Time, bool) {
	spec, now := r.Task.Spec(), o.pool.now
	if spec.LongRunning {
		return time.Time{}, false
	}
	total := spec.ExpectedRunTime()
	if spec.Rack != "" && spec.Rack != w.Rack() {
		total = time.Duration(float64(total) * o.factor)
	}
	elapsed := now.Sub(r.OrderedAt)
	end := r.OrderedAt.Add(total)
	if r.ProgressPercent > 0 && r.ProgressPercent < 100 {
		end = r.ReportedAt.Add(total * time.Duration(100-r.ProgressPercent) / 100)
	}
	if least := now.Add(time.Duration(float64(elapsed) * overdueShare)); end.Before(least) && !end.After(now) {
		end = least
	}
	return end, true
}

// offer adds the places for tasks of the demand on a source with the given free resources
// and changes to come. A place counts only if no later change takes it away.
func (o *outlook) offer(source string, free machine.Resources, changes []change, d demand) {
	o.levels = append(o.levels[:0], free)
	for _, c := range changes {
		if c.taken {
			free = free.Minus(c.by)
		} else {
			free = free.Plus(c.by)
		}
		o.levels = append(o.levels, free)
	}
	o.room = slices.Grow(o.room[:0], len(o.levels))[:len(o.levels)]
	for i, least := len(o.levels)-1, d.count; i >= 0; i-- {
		least = min(least, d.fitting(o.levels[i]))
		o.room[i] = least
	}
	if o.room[0] > 0 {
		o.offered = append(o.offered, places{source, o.pool.now, o.room[0]})
	}
	for i, c := range changes {
		if more := o.room[i+1] - o.room[i]; more > 0 {
			o.offered = append(o.offered, places{source, c.at, more})
		}
	}
}

// fitting returns how many tasks of the demand fit in free resources.
func (d *demand) fitting(free machine.Resources) int {
	spec := d.task.Spec()
	need, n := spec.CountedNeed(), d.count
	if spec.MaxPerWorker > 0 {
		n = min(n, spec.MaxPerWorker)
	}
	for _, r := range [][2]int64{{free.MilliCores, need.MilliCores}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if r[1] > 0 {
			n = min(n, int(max(0, r[0])/r[1]))
		}
	}
	return n
}

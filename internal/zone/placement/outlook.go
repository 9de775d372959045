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
	// claims are, by source, the expected uses of places that become free.
	claims map[string][]change
}

// change is a change of a source's free resources.
type change struct {
	at    time.Time
	taken bool
	by    machine.Resources
}

// places are places for tasks that a source offers from a time on.
type places struct {
	source string
	from   time.Time
	count  int
}

// demand is what a task or gang needs of a rack.
type demand struct {
	task    *job.Task
	count   int
	allowed func(*worker.Worker) bool
}

// earliest returns when a rack is expected to have room for all tasks of the demand,
// and the places that they would use. It returns false if that is not foreseeable.
func (o *outlook) earliest(d demand, rack string) (time.Time, []places, bool) {
	var offers []places
	for _, w := range o.pool.workers {
		if w.Rack() == rack && o.mayUse(d, w) {
			offers = o.offers(offers, d, w)
		}
	}
	for i, a := range o.prospects.Arriving {
		if a.Rack == rack && d.task.Spec().Label == "" {
			source := "arrival " + strconv.Itoa(i)
			offers = appendPlaces(offers, source, o.pool.now, machine.Resources{}, append(slices.Clone(o.claims[source]), change{at: a.At, by: a.Capacity}), d)
		}
	}
	slices.SortStableFunc(offers, func(a, b places) int { return a.from.Compare(b.from) })
	missing := d.count
	for i := range offers {
		offers[i].count = min(offers[i].count, missing)
		if missing -= offers[i].count; missing == 0 {
			return offers[i].from, offers[:i+1], true
		}
	}
	return time.Time{}, nil, false
}

// mayUse reports whether tasks of the demand may run on a worker once it has room.
func (o *outlook) mayUse(d demand, w *worker.Worker) bool {
	return w.HasLabel(d.task.Spec().Label) && w.ID != d.task.FailedOn && !o.prospects.Leaving[w.ID] && w.Admits(job.NotIsolated, o.pool.now) && d.allowed(w)
}

// offers appends the places that a worker is expected to offer.
func (o *outlook) offers(list []places, d demand, w *worker.Worker) []places {
	changes := slices.Clone(o.claims[w.ID])
	for _, r := range w.Runs() {
		if end, ok := o.expectedEnd(w, r); ok {
			changes = append(changes, change{at: end, by: r.Task.Spec().CountedNeed()})
		}
	}
	return appendPlaces(list, w.ID, o.pool.now, w.Free(), changes, d)
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

// appendPlaces appends the places for tasks of the demand on a source with the given
// free resources and changes to come. A place counts only if no later change takes it
// away.
func appendPlaces(list []places, source string, now time.Time, free machine.Resources, changes []change, d demand) []places {
	slices.SortFunc(changes, func(a, b change) int {
		if c := a.at.Compare(b.at); c != 0 || a.taken == b.taken {
			return c
		}
		if b.taken {
			return -1
		}
		return 1
	})
	levels := make([]machine.Resources, 1, len(changes)+1)
	levels[0] = free
	for _, c := range changes {
		if c.taken {
			free = free.Minus(c.by)
		} else {
			free = free.Plus(c.by)
		}
		levels = append(levels, free)
	}
	room := make([]int, len(levels))
	for i, least := len(levels)-1, d.count; i >= 0; i-- {
		least = min(least, d.fitting(levels[i]))
		room[i] = least
	}
	if room[0] > 0 {
		list = append(list, places{source, now, room[0]})
	}
	for i, c := range changes {
		if more := room[i+1] - room[i]; more > 0 {
			list = append(list, places{source, c.at, more})
		}
	}
	return list
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

// claim records that tasks of the demand are expected to use places from a time on, so
// that further tasks of the round do not wait for the same ones.
func (o *outlook) claim(d demand, at time.Time, use []places) {
	if o.claims == nil {
		o.claims = make(map[string][]change)
	}
	spec := d.task.Spec()
	for _, p := range use {
		by := spec.CountedNeed().Times(float64(p.count))
		o.claims[p.source] = append(o.claims[p.source], change{at, true, by}, change{at.Add(spec.ExpectedRunTime()), false, by})
	}
}

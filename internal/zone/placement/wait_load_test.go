package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Options of a task or gang that has room outside its preferred rack only.
const (
	optionNone    = "none"
	optionFixed   = "fixed"   // waits up to fixedWait
	optionGain    = "gain"    // waits by Waits
	optionResume  = "resume"  // starts, and moves to the rack when it has room and the state is saved
	optionMachine = "machine" // starts, and orders a machine of the rack into the pool
)

const (
	loadFactor = 2.0
	fixedWait  = 300 * time.Millisecond
	// stopAndStart is the time without work when a run is moved.
	stopAndStart = 150 * time.Millisecond
	// idleTime is how long an ordered machine stays without runs, machineTime how long it
	// takes to arrive; rackMachines may be there or on their way in each rack.
	idleTime     = time.Second
	machineTime  = 1900 * time.Millisecond
	rackMachines = 4
	loadLength   = 20 * time.Second
	loadRacks    = 6
	loadCores    = 192
)

// rackLoad is an open-loop load on one pool in simulated time, of which a share of the
// jobs prefers a rack or asks for a single one.
type rackLoad struct {
	t           *testing.T
	option      string
	share, load float64
	seed        uint64
	random      *rand.Rand
	now         time.Time
	workers     []*worker.Worker
	waits       *Waits
	pending     []*job.Job
	runs        []*loadRun
	// since is when a task first had room elsewhere only, for optionFixed.
	since    map[*job.Task]time.Time
	machines []loadMachine
	// extra are the ordered machines in the pool with the times of their last runs.
	extra  map[*worker.Worker]time.Time
	result loadResult
}

type loadRun struct {
	tasks      []*job.Task
	workers    []*worker.Worker
	start, end time.Time
	remote     bool
}

// loadMachine is a machine that was ordered into the pool.
type loadMachine struct {
	rack string
	at   time.Time
}

type loadResult struct {
	jobs, onTime, waits, met, moved int
	sum, worst                      time.Duration
	// coreSeconds are those of the runs, paid those of the machines in the pool.
	coreSeconds, paid float64
}

func (r loadResult) onTimeShare() float64 { return float64(r.onTime) / float64(r.jobs) }

func (r loadResult) String() string {
	return fmt.Sprintf("%.3f | %.2f | %.3f | %.0f | %.0f", r.sum.Seconds()/float64(r.jobs), r.worst.Seconds(), r.onTimeShare(), r.coreSeconds, r.paid)
}

func (l *rackLoad) addWorker(rack string) {
	l.workers = append(l.workers, worker.New(worker.Description{
		ID: fmt.Sprintf("i-%d", len(l.workers)), Service: "s", Labels: []string{"a", rack}, Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 16000},
	}))
}

// play plays the load until every job has ended.
func (l *rackLoad) play(seed uint64) loadResult {
	l.seed, l.random, l.now = seed, rand.New(rand.NewPCG(seed, 3)), now
	l.waits, l.since, l.extra = NewWaits(loadFactor), make(map[*job.Task]time.Time), make(map[*worker.Worker]time.Time)
	for i := range loadCores / 8 {
		l.addWorker(fmt.Sprintf("r%d", i%loadRacks))
	}
	// The mean work of a job is 2.75 tasks of 2 cores for 0.8 s, see submit.
	mean := float64(time.Second) * 2.75 * 2 * 0.8 / (l.load * loadCores)
	arrival := now
	for arrival.Before(now.Add(loadLength)) || len(l.pending)+len(l.runs) > 0 {
		next := now.Add(time.Hour)
		if arrival.Before(now.Add(loadLength)) {
			next = arrival
		}
		for _, at := range l.times() {
			if at.After(l.now) && at.Before(next) {
				next = at
			}
		}
		l.result.paid += float64(len(l.workers)*8) * next.Sub(l.now).Seconds()
		l.now = next
		if next.Equal(arrival) {
			l.submit()
			arrival = arrival.Add(time.Duration(l.random.ExpFloat64()*mean) + 1)
		}
		l.end()
		l.place()
	}
	return l.result
}

// times returns the times other than arrivals at which something may change.
func (l *rackLoad) times() []time.Time {
	list := []time.Time{l.waits.NextEnd(l.now)}
	for _, r := range l.runs {
		list = append(list, r.end)
	}
	for _, since := range l.since {
		list = append(list, since.Add(fixedWait))
	}
	for _, m := range l.machines {
		list = append(list, m.at)
	}
	return list
}

func (l *rackLoad) submit() {
	l.result.jobs++
	// A quarter of the jobs have four to six tasks, the others one to three.
	step := job.Step{Count: 1 + l.random.IntN(3) + l.random.IntN(4)/3*3, Need: machine.Resources{MilliCores: int64(1000 + l.random.IntN(2001)), MemoryMB: 500},
		Estimate: time.Duration(400+l.random.IntN(801)) * time.Millisecond, Checkpoints: l.random.IntN(2) == 0}
	rack, prefers := fmt.Sprintf("r%d", l.random.IntN(loadRacks)), l.random.Float64() < l.share
	if prefers && step.Count >= 4 {
		step.Gang, step.SameRack = true, true
	} else if prefers {
		step.Rack = rack
	}
	j := job.New(job.ID(fmt.Sprintf("%016x", l.result.jobs)), job.Terms{Stretch: 1.6, Objective: 600 * time.Millisecond}, job.Spec{Steps: []job.Step{step}}, l.now.UnixMilli(), 1)
	j.StartLeading()
	j.OpenDue(l.now.UnixMilli())
	l.pending = append(l.pending, j)
}

// end ends the runs that are due and adds the machines that have arrived.
func (l *rackLoad) end() {
	l.runs = slices.DeleteFunc(l.runs, func(r *loadRun) bool {
		if r.end.After(l.now) {
			return false
		}
		l.stop(r)
		for _, t := range r.tasks {
			t.MarkDone()
		}
		if j := r.tasks[0].Occurrence.Job; j.Complete(l.now.UnixMilli()) {
			took := l.now.Sub(time.UnixMilli(j.AcceptedAt))
			l.result.sum += took
			l.result.worst = max(l.result.worst, took)
			if took <= j.CompletionObjective() {
				l.result.onTime++
			}
		}
		return true
	})
	l.machines = slices.DeleteFunc(l.machines, func(m loadMachine) bool {
		if m.at.After(l.now) {
			return false
		}
		l.addWorker(m.rack)
		l.extra[l.workers[len(l.workers)-1]] = l.now
		return true
	})
	l.workers = slices.DeleteFunc(l.workers, func(w *worker.Worker) bool {
		used, extra := l.extra[w]
		if len(w.Runs()) > 0 && extra {
			l.extra[w] = l.now
		}
		idle := extra && len(w.Runs()) == 0 && l.now.Sub(used) >= idleTime
		if idle {
			delete(l.extra, w)
		}
		return idle
	})
}

func (l *rackLoad) stop(r *loadRun) {
	for i, t := range r.tasks {
		l.result.coreSeconds += float64(t.Spec().Need.MilliCores) / 1000 * l.now.Sub(r.start).Seconds()
		r.workers[i].Remove(t.Runs[0])
		t.RemoveRun(t.Runs[0])
	}
}

func (l *rackLoad) start(tasks []*job.Task, workers []*worker.Worker) *loadRun {
	spec := tasks[0].Spec()
	r := &loadRun{tasks: tasks, workers: workers, start: l.now}
	for i, t := range tasks {
		run := &job.Run{Task: t, Number: 1, OrderedAt: l.now}
		workers[i].Add(run)
		t.Runs = append(t.Runs, run)
		r.remote = r.remote || spec.Rack != "" && workers[i].Rack() != spec.Rack || spec.SameRack && workers[i].Rack() != workers[0].Rack()
		delete(l.since, t)
	}
	// The run time of a task is the same with every option.
	took := float64(spec.Estimate) * (0.7 + 0.6*rand.New(rand.NewPCG(l.seed, uint64(l.number(tasks[0])))).Float64())
	if r.remote {
		took *= loadFactor
	}
	r.end = l.now.Add(time.Duration(took))
	l.runs = append(l.runs, r)
	return r
}

// number identifies a task in the load.
func (l *rackLoad) number(t *job.Task) int {
	return int(t.Occurrence.Job.AcceptedAt)*8 + t.Index
}

func (l *rackLoad) place() {
	l.waits.BeginRound(func(string) Prospects { return Prospects{} })
	pool := NewPool(l.workers, l.now)
	pool.AvoidAwaited(l.waits.Awaited("s", l.now))
	order := func(j *job.Job) (late bool, key float64) {
		slack := time.UnixMilli(j.AcceptedAt).Add(j.CompletionObjective()).Sub(l.now) - j.CriticalPath(0)
		if slack < 0 {
			return true, float64(j.AcceptedAt)
		}
		return false, j.RemainingWork() * slack.Seconds()
	}
	slices.SortStableFunc(l.pending, func(a, b *job.Job) int {
		lateA, keyA := order(a)
		lateB, keyB := order(b)
		if lateA != lateB {
			if lateB {
				return -1
			}
			return 1
		}
		return cmp.Compare(keyA, keyB)
	})
	l.pending = slices.DeleteFunc(l.pending, func(j *job.Job) bool {
		placed := true
		j.EachOpenOccurrence(func(o *job.Occurrence) { placed = l.placeTasks(pool, o.Tasks(0)) })
		return placed
	})
	if l.option == optionResume {
		l.resume(pool)
	}
}

// placeTasks starts the tasks of a job that have room and do not wait, and reports whether
// all have started.
func (l *rackLoad) placeTasks(pool *Pool, tasks []job.Task) bool {
	if tasks[0].Spec().Gang {
		chosen, ok := pool.ChooseGang(tasks, everywhere)
		if !ok {
			l.waits.RecordShortage("s", pool, tasks[0].Spec())
			return false
		}
		split := slices.ContainsFunc(chosen, func(w *worker.Worker) bool { return w.Rack() != chosen[0].Rack() })
		if l.defers(&tasks[0], chosen[0], chosen[0].Rack(), split, func() Decision { return l.waits.Gang(pool, tasks, chosen, nil) }) {
			return false
		}
		var list []*job.Task
		for i := range tasks {
			list = append(list, &tasks[i])
		}
		l.start(list, chosen)
		return true
	}
	all := true
	for i := range tasks {
		t := &tasks[i]
		if t.Done() || len(t.Runs) > 0 {
			continue
		}
		w := pool.Choose(t, everywhere)
		if w == nil {
			l.waits.RecordShortage("s", pool, t.Spec())
			return false
		}
		if l.defers(t, w, t.Spec().Rack, t.Spec().Rack != "" && w.Rack() != t.Spec().Rack, func() Decision { return l.waits.Task(pool, t, w, nil) }) {
			all = false
			continue
		}
		l.start([]*job.Task{t}, []*worker.Worker{w})
	}
	return all
}

func everywhere(*worker.Worker) bool { return true }

// defers reports whether a task waits. Elsewhere means that it only has room outside its
// preferred rack.
func (l *rackLoad) defers(t *job.Task, chosen *worker.Worker, rack string, elsewhere bool, decide func() Decision) bool {
	switch l.option {
	case optionGain:
		d := decide()
		switch d.Verdict {
		case WaitBegins:
			l.result.waits++
		case WaitMet:
			l.result.met++
		}
		if d.Verdict.Waits() {
			l.check(t, d, l.waits.isCrowded(chosen))
		}
		return d.Verdict.Waits()
	case optionFixed:
		if !elsewhere {
			return false
		}
		if l.since[t].IsZero() {
			l.since[t] = l.now
		}
		return l.now.Before(l.since[t].Add(fixedWait))
	case optionMachine:
		n := 0
		for w := range l.extra {
			if w.Rack() == rack {
				n++
			}
		}
		coming := slices.ContainsFunc(l.machines, func(m loadMachine) bool { return m.rack == rack })
		if elsewhere && !coming && n < rackMachines {
			l.machines = append(l.machines, loadMachine{rack, l.now.Add(machineTime)})
		}
	}
	return false
}

// check fails if a task waits past its objective, for longer than its gain, or beside idle
// workers, although a start elsewhere would complete it on time.
func (l *rackLoad) check(t *job.Task, d Decision, crowded bool) {
	j, spec := t.Occurrence.Job, t.Spec()
	due := time.UnixMilli(j.AcceptedAt).Add(j.CompletionObjective())
	lastElsewhere := due.Add(-time.Duration(loadFactor * float64(spec.Estimate)))
	switch room := l.now.Add(d.Expected); {
	case d.Until.After(due.Add(-spec.Estimate)):
		l.t.Errorf("%s waits past its objective", t.Name())
	case l.now.After(lastElsewhere):
	case d.Waited+d.Expected > d.Gain:
		l.t.Errorf("%s waits %v for %v although a start elsewhere is in time", t.Name(), d.Waited+d.Expected, d.Gain)
	case !crowded && room.After(lastElsewhere):
		l.t.Errorf("%s waits beside idle workers until it is late", t.Name())
	}
}

// resume moves runs whose state is saved to their rack if that completes them earlier.
func (l *rackLoad) resume(pool *Pool) {
	for _, r := range slices.Clone(l.runs) {
		t := r.tasks[0]
		left := r.end.Sub(l.now)
		near := time.Duration(float64(left)/loadFactor) + stopAndStart
		if !r.remote || len(r.tasks) > 1 || !t.Spec().Checkpoints || left-near < stopAndStart {
			continue
		}
		w := pool.Choose(t, func(w *worker.Worker) bool { return w.Rack() == t.Spec().Rack })
		if w == nil {
			continue
		}
		l.stop(r)
		l.runs = slices.DeleteFunc(l.runs, func(other *loadRun) bool { return other == r })
		l.start(r.tasks, []*worker.Worker{w}).end = l.now.Add(near)
		l.result.moved++
	}
}

// TestWaitsAgainstOtherOptions guards against waits that complete fewer jobs on time than
// immediate starts at some load. With PLACEMENT_TABLE set it prints the table of
// docs/MEASUREMENTS.md.
func TestWaitsAgainstOtherOptions(t *testing.T) {
	options, shares, loads, seeds := []string{optionNone, optionGain}, []float64{0.5}, []float64{0.3, 0.7, 1, 1.5}, 1
	table := os.Getenv("PLACEMENT_TABLE") != ""
	if table {
		options, shares, seeds = []string{optionNone, optionFixed, optionGain, optionResume, optionMachine}, []float64{0.1, 0.3, 0.5, 0.7, 0.9}, 3
	}
	for _, load := range loads {
		onTime, jobs := make(map[string]int), 0
		for _, share := range shares {
			for _, option := range options {
				var sum loadResult
				for seed := range seeds {
					l := rackLoad{t: t, option: option, share: share, load: load}
					r := l.play(uint64(seed + 1))
					sum.jobs, sum.onTime, sum.sum, sum.worst = sum.jobs+r.jobs, sum.onTime+r.onTime, sum.sum+r.sum, max(sum.worst, r.worst)
					sum.waits, sum.met, sum.moved = sum.waits+r.waits, sum.met+r.met, sum.moved+r.moved
					sum.coreSeconds, sum.paid = sum.coreSeconds+r.coreSeconds/float64(seeds), sum.paid+r.paid/float64(seeds)
				}
				onTime[option] += sum.onTime
				jobs += sum.jobs
				t.Logf("| %.1f | %.1f | %s | %v | %d waits, %d met, %d moved |", load, share, option, sum, sum.waits, sum.met, sum.moved)
			}
		}
		if onTime[optionGain] < onTime[optionNone] {
			t.Errorf("load %.1f: %d of %d jobs on time with waits, %d without", load, onTime[optionGain], jobs/len(options), onTime[optionNone])
		}
	}
}

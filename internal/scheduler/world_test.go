package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// world runs several schedulers against one store, workers and a machines
// service in virtual time, with seeded delays and faults. It checks the rules
// that must hold at every moment.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	timeline timeline
	sequence int

	nodes    []*simNode
	store    *simStore
	workers  map[string]*simWorker
	machines map[string]*simMachine
	jobs     map[job.ID]job.Spec
	terms    map[job.ID]job.Terms
	cancels  map[job.ID]time.Time
	finished map[string]bool
	failed   map[string]int
	// acknowledged are done tasks whose end was taken note of.
	acknowledged map[string]bool
	trace        []string
	away         map[string]absence
	tickets      map[string]time.Time
	advised      bool
	// lossy is the share of calls whose answer is lost, late of those that are
	// carried out after seconds.
	lossy, late float64
	// interference is what tasks that fill add to the tail of serving ones at full
	// pace, in parts of the objective.
	interference float64
	// skipping makes each list of machines lack one, as pages of a list do while
	// it changes.
	skipping bool
	// powerLoss makes killed nodes end without closing their connections.
	powerLoss bool
	caps      machine.Resources
}

type timed struct {
	at       time.Time
	sequence int
	run      func()
}

type timeline []timed

func (l timeline) Len() int { return len(l) }

func (l timeline) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].sequence < l[j].sequence
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timed)) }

func (l *timeline) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newWorld(t *testing.T, seed uint64, nodes int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000),
		workers: make(map[string]*simWorker), machines: make(map[string]*simMachine),
		jobs: make(map[job.ID]job.Spec), terms: make(map[job.ID]job.Terms), cancels: make(map[job.ID]time.Time),
		finished: make(map[string]bool), failed: make(map[string]int), acknowledged: make(map[string]bool), away: make(map[string]absence), tickets: make(map[string]time.Time),
		caps: machine.Resources{MilliCores: 24000},
	}
	w.store = newSimStore(w)
	for i := range nodes {
		w.addNode(fmt.Sprintf("node-%d", i))
	}
	w.store.put("config", w.config(1), 0)
	return w
}

func (w *world) config(version int64) *policy.Configuration {
	return policy.New(version,
		[]policy.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond, Advised: w.advised}},
		[]policy.Team{{Name: "team", Keys: []string{"k"}, Cap: w.caps}},
		[]policy.Service{{Name: "s", Guarded: true}, {Name: "spare", Spare: true}}, policy.RequestLimits{})
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.timeline, timed{w.now.Add(d), w.sequence, run})
}

// latency is the time of one way between two machines.
func (w *world) latency() time.Duration {
	return time.Duration(500+w.random.IntN(1500)) * time.Microsecond
}

func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timeline) > 0 && !w.timeline[0].at.After(end) {
		next := heap.Pop(&w.timeline).(timed)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	tail := w.trace[max(0, len(w.trace)-60):]
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(tail, "\n"))
}

// submit stores a job as a node does that accepts it.
func (w *world) submit(number int, spec job.Spec) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	terms := job.Terms{Queue: "q", Service: "s", Team: "team", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}
	w.jobs[id], w.terms[id] = spec, terms
	w.store.put("j/"+string(id), jobValue{id, terms, spec, w.now.UnixMilli()}, 0)
	return id
}

func (w *world) cancel(id job.ID) {
	w.cancels[id] = w.now
	w.store.put("x/"+string(id), cancelValue{id}, 0)
}

func (w *world) state(id job.ID) job.State {
	item, ok := w.store.present("s/" + string(id))
	if !ok {
		return job.Queued
	}
	return item.value.(job.Progress).State
}

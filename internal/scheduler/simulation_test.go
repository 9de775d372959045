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
	"github.com/crocusjunction/crocusjunction/internal/contract/usage"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// simulation runs the schedulers of several nodes against one store, workers and a
// machines service in virtual time, with delays and faults from a seed. It checks
// the rules of docs/PROOFS.md at every event.
type simulation struct {
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
	// acknowledged are the done tasks whose end a scheduler has acknowledged.
	acknowledged   map[string]bool
	trace          []string
	absences       map[string]absence
	tickets        map[string]time.Time
	requiresAdvice bool
	// lossRate is the share of calls whose answer is lost, lateRate the share of
	// those that are carried out up to several seconds late.
	lossRate, lateRate float64
	// remoteFactor is how many times as long tasks take outside the rack of their data. It
	// applies to nodes that boot after it was set.
	remoteFactor float64
	// interference is what filler tasks at full pace add to the tail latency of
	// serving ones, as a fraction of the objective.
	interference float64
	// omitMachines makes each list of machines lack one, as happens with a list that
	// changes between the reads of its pages.
	omitMachines bool
	// powerLoss makes killed nodes stop without closing their connections, so that
	// other nodes do not detect it.
	powerLoss bool
	teamLimit machine.Resources
	// shareHalfLife is the half-life of the use of teams that the schedulers remember.
	shareHalfLife time.Duration
	// quiet drops the trace, which takes most of the time of a long simulation.
	quiet bool
	// ended is when the final state of a job was stored, moves the number of moves,
	// cycleWrites that of writes of the queues' cycles.
	ended              map[job.ID]time.Time
	moves, cycleWrites int
	// deadly are the tasks that crash their worker crashDelay after their start,
	// crashes the workers that crashed under each, furtherStarts its starts after
	// three of them.
	deadly     map[string]bool
	crashDelay time.Duration
	// downtime is how long a crashed worker is down, 0 for a random time of up to 2.2 s.
	downtime               time.Duration
	crashes, furtherStarts map[string]int
	// loseMachineOrderLists makes the store not receive the lists of ordered machines.
	loseMachineOrderLists bool
	// lateRecord names a record of the scheduler whose writes get no answer and are
	// carried out after lateRecordDelay; empty for none.
	lateRecord string
	// ignoreCycles sets Options.IgnoreCycles of the nodes that are added later.
	ignoreCycles bool
	// machineOrdersPerSecond sets the option of this name of nodes that boot later.
	machineOrdersPerSecond float64
}

const lateRecordDelay = 3 * time.Second

type timedCall struct {
	at       time.Time
	sequence int
	run      func()
}

type timeline []timedCall

func (l timeline) Len() int { return len(l) }

func (l timeline) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].sequence < l[j].sequence
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timedCall)) }

func (l *timeline) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newSimulation(t *testing.T, seed uint64, nodes int) *simulation {
	w := newEmptySimulation(t, seed)
	w.addNodes(nodes)
	return w
}

// newEmptySimulation returns a simulation without nodes, so that their options can be set.
func newEmptySimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000),
		workers: make(map[string]*simWorker), machines: make(map[string]*simMachine),
		jobs: make(map[job.ID]job.Spec), terms: make(map[job.ID]job.Terms), cancels: make(map[job.ID]time.Time),
		finished: make(map[string]bool), failed: make(map[string]int), acknowledged: make(map[string]bool), absences: make(map[string]absence), tickets: make(map[string]time.Time),
		deadly: make(map[string]bool), crashes: make(map[string]int), furtherStarts: make(map[string]int),
		teamLimit: machine.Resources{MilliCores: 24000}, ended: make(map[job.ID]time.Time), shareHalfLife: usage.HalfLife,
	}
	w.store = newSimStore(w)
	return w
}

func (w *simulation) addNodes(nodes int) {
	for i := range nodes {
		w.addNode(fmt.Sprintf("node-%d", i))
	}
	w.store.put("config", w.config(1), 0)
}

func (w *simulation) config(version int64) *policy.Configuration {
	return policy.New(version,
		[]policy.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond, RequiresAdvice: w.requiresAdvice}},
		[]policy.Team{{Name: "team", Keys: []string{"k"}, UpperLimit: w.teamLimit}},
		[]policy.Service{{Name: "s", ChecksAdmission: true}, {Name: "spare", Spare: true}}, policy.RequestLimits{})
}

func (w *simulation) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.timeline, timedCall{w.now.Add(d), w.sequence, run})
}

// latency returns a random one-way delay between two machines.
func (w *simulation) latency() time.Duration {
	return time.Duration(500+w.random.IntN(1500)) * time.Microsecond
}

func (w *simulation) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timeline) > 0 && !w.timeline[0].at.After(end) {
		next := heap.Pop(&w.timeline).(timedCall)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *simulation) log(format string, args ...any) {
	if w.quiet {
		return
	}
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	tail := w.trace[max(0, len(w.trace)-60):]
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(tail, "\n"))
}

// submit writes a job to the store in the same way as a node that accepts it.
func (w *simulation) submit(number int, spec job.Spec) job.ID {
	return w.submitTo("q", number, spec)
}

// submitTo is submit for a queue other than "q", which has a service of its name.
func (w *simulation) submitTo(queue string, number int, spec job.Spec) job.ID {
	return w.submitAs("team", queue, number, spec)
}

// submitAs is submitTo for a team.
func (w *simulation) submitAs(team, queue string, number int, spec job.Spec) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	service := queue
	if queue == "q" {
		service = "s"
	}
	terms := job.Terms{Queue: queue, Service: service, Team: team, Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}
	w.jobs[id], w.terms[id] = spec, terms
	w.store.put("j/"+string(id), jobValue{id, terms, spec, w.now.UnixMilli()}, 0)
	return id
}

func (w *simulation) cancel(id job.ID) {
	w.cancels[id] = w.now
	w.store.put("x/"+string(id), cancelValue{id}, 0)
}

func (w *simulation) state(id job.ID) job.State {
	item, ok := w.store.get("s/" + string(id))
	if !ok {
		return job.Queued
	}
	return item.value.(job.Progress).State
}

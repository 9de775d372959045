// Package scheduler holds the root of the control state of a node: a copy of
// what the store says about configuration and jobs and, while the node is the
// scheduler, the workers, runs, progress and waves. One control thread owns it.
// It takes typed events, decides, and returns typed actions. It does no I/O and
// reads no clock.
package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Event is one input of the control thread. Apply changes the scheduler; it
// must not block. Actions are queued with Scheduler.act.
type Event interface {
	Apply(s *Scheduler, now time.Time)
}

// Terms are the bounds that the scheduler works with.
type Terms struct {
	// Self names this node, Process this life of it.
	Self, Process string
	// ProcessorShare is the part of a core that this node has.
	ProcessorShare float64
	// Hold is the lease of tasks that each question extends.
	Hold time.Duration
	// LongestHold bounds the lease that any order can have given.
	LongestHold time.Duration
	// StatusKept is how long the state of an ended job is shown.
	StatusKept time.Duration
	// DutyTurn is the least time between the duties of two holders for a machine.
	DutyTurn time.Duration
}

// Scheduler is the control state of a node.
type Scheduler struct {
	terms   Terms
	config  *policy.Configuration
	out     map[string]bool
	jobs    *ordered[job.ID, *job.Job]
	pending pendingCounts
	// earlyCancels are cancellations whose job is not known yet.
	earlyCancels map[job.ID]bool
	fresh        [partCount]lease.Freshness
	election     election

	// The rest is in use only while this node is the scheduler.
	leading bool
	workers *ordered[string, *worker.Worker]
	listed  *ordered[string, worker.Description]
	// lapsed are listed workers whose entry went with an outage of the store, and
	// until when it may come back. storeBackAt is the end of the last outage.
	lapsed      map[string]time.Time
	storeBackAt time.Time
	roster      roster
	usage       map[string]machine.Resources
	// unsettled counts the tasks of which a run of an earlier scheduler may be
	// alive; awaited are the workers that have to answer for them, nil after new
	// ones were added.
	unsettled int
	awaited   map[string]bool
	// held are starts by job that wait until the store holds their workers.
	held     map[job.ID][]*job.Run
	unfinish *ordered[job.ID, *job.Job]
	flush    flushState
	place    placeState
	waves    *ordered[int64, *upkeep.Wave]
	// waveProgress is what the store holds of waves.
	waveProgress map[int64]WaveProgressRead
	duties       dutyState
	advice       adviceState

	// quickAt and slowAt are when the parts of a step are due.
	quickAt, slowAt time.Time
	wakeAt          time.Time
	actions         []Action
	counts          Counts
}

// Counts are totals for the metrics.
type Counts struct {
	Starts, Ends, Failed, Lost, Refused, Takeovers int64
	Running, Unfinished, Workers                   int64
}

// New returns the state of a node that knows nothing yet.
func New(t Terms) *Scheduler {
	return &Scheduler{
		terms:        t,
		out:          make(map[string]bool),
		jobs:         newOrdered[job.ID, *job.Job](),
		earlyCancels: make(map[job.ID]bool),
		pending:      make(pendingCounts),
		election:     election{leftEpoch: -1},
		workers:      newOrdered[string, *worker.Worker](),
		unfinish:     newOrdered[job.ID, *job.Job](),
		listed:       newOrdered[string, worker.Description](),
		lapsed:       make(map[string]time.Time),
		waves:        newOrdered[int64, *upkeep.Wave](),
		waveProgress: make(map[int64]WaveProgressRead),
	}
}

// Apply takes one event, decides and returns the actions that follow.
func (s *Scheduler) Apply(e Event, now time.Time) []Action {
	s.actions = nil
	e.Apply(s, now)
	s.step(now)
	return s.actions
}

// Tick is the event of the control thread's timer.
type Tick struct{}

// Apply implements Event.
func (Tick) Apply(*Scheduler, time.Time) {}

// NextWake returns when the scheduler wants a Tick, zero for never.
func (s *Scheduler) NextWake() time.Time { return s.wakeAt }

// wake asks for a Tick at a time.
func (s *Scheduler) wake(at time.Time) {
	if s.wakeAt.IsZero() || at.Before(s.wakeAt) {
		s.wakeAt = at
	}
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// Pace of the parts of a step. Hundreds of events a second come from workers,
// and each part walks all workers, runs or jobs.
const (
	// quickPace gathers what decides how soon a task starts.
	quickPace = 8 * time.Millisecond
	// slowPace gathers what acts within seconds: stops, waves, moves.
	slowPace = 50 * time.Millisecond
)

// step makes the state follow from what is known now. Each part is
// level-triggered: it looks at the state and not at the event.
func (s *Scheduler) step(now time.Time) {
	s.wakeAt = time.Time{}
	s.stepElection(now)
	if !s.leading {
		return
	}
	if !now.Before(s.slowAt) {
		s.slowAt = now.Add(slowPace)
		s.stepSlow(now)
	}
	s.wake(s.slowAt)
	if now.Before(s.quickAt) {
		s.wake(s.quickAt)
		return
	}
	s.quickAt = now.Add(quickPace)
	s.stepQuick(now)
}

func (s *Scheduler) stepQuick(now time.Time) {
	s.stepWorkers(now)
	s.stepUnsettled(now)
	s.stepJobs(now)
	s.stepPlace(now)
	s.stepFlush(now)
}

func (s *Scheduler) stepSlow(now time.Time) {
	s.stepLapsed(now)
	s.stepRoster(now)
	s.stepRuns(now)
	s.stepPacing(now)
	s.stepWaves(now)
	s.stepMoves(now)
	s.stepRemoval(now)
	s.stepPoolNote(now)
	s.updateCounts()
}

// Config returns the configuration in force, nil when none is known.
func (s *Scheduler) Config() *policy.Configuration { return s.config }

// ConfigAsOf returns the time up to which the configuration is complete.
func (s *Scheduler) ConfigAsOf() time.Time { return s.fresh[Operator].AsOf() }

// JobsAsOf returns the time up to which the copy of the jobs is complete.
func (s *Scheduler) JobsAsOf() time.Time { return s.fresh[Jobs].AsOf() }

// Leading reports whether this node is the scheduler.
func (s *Scheduler) Leading() bool { return s.leading }

// Elected reports whether this node holds the scheduler's lease.
func (s *Scheduler) Elected() bool { return s.election.authority.Held() }

// Counts returns totals for the metrics, at most slowPace old.
func (s *Scheduler) Counts() Counts { return s.counts }

func (s *Scheduler) updateCounts() {
	s.counts.Unfinished = int64(s.unfinish.len())
	s.counts.Workers = int64(s.workers.len())
	s.counts.Running = 0
	for _, w := range s.workers.all() {
		s.counts.Running += int64(len(w.Runs()))
	}
}

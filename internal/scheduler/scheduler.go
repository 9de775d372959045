// Package scheduler is the root of a node's control state: a local copy of the
// configuration and the jobs in the store and, while the node is the active
// scheduler, the workers, runs, job progress and upkeep waves. At any time at
// most one node, the holder of the scheduler lease, is the active scheduler. The
// state belongs to one control thread, which applies typed events and gets typed
// actions back. The package does no I/O and reads no clock.
package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/contract/usage"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Event is one input of the control thread. Apply updates the scheduler and must
// not block; it queues actions with Scheduler.act.
type Event interface {
	Apply(s *Scheduler, now time.Time)
}

// Options identify a node and set the time limits of its scheduler.
type Options struct {
	// NodeName is the name of this node, ProcessID identifies its running process.
	NodeName, ProcessID string
	// CPUShare is the part of one core that this node may use.
	CPUShare float64
	// TaskLease is the task lease that each poll of a worker grants.
	TaskLease time.Duration
	// MaxTaskLease is the longest task lease that any order can grant.
	MaxTaskLease time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// StatusRetention is how long the state of an ended job must stay readable.
	StatusRetention time.Duration
	// MachineOpGap is the least time between the machine operations of two
	// successive holders of the scheduler lease.
	MachineOpGap time.Duration
	// MachineOrdersPerSecond is the rate of machine operations that the machines service
	// accepts, 0 if it is not known.
	MachineOrdersPerSecond float64
	// RemoteFactor is how many times as long a task takes outside the rack of its data,
	// and a gang of one rack when it spans several. With 1 or less nothing waits for room
	// in a rack.
	RemoteFactor float64
	// ShareHalfLife is the half-life of the use by which teams that compete for a full
	// pool are served; 0 means that only their present use counts.
	ShareHalfLife time.Duration
	// JobMemory limits the memory of all known jobs, in bytes, 0 for no limit.
	JobMemory int64
	// IgnoreCycles makes plans of moves depend on the present arrivals only, so that
	// both can be compared.
	IgnoreCycles bool
}

// Scheduler is the control state of a node. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	// copyNumber counts the local copies of the store. Reads for an earlier copy are
	// ignored.
	copyNumber int
	// subject is the record that the decision under way is about.
	subject    Record
	quarantine quarantine
	config     *policy.Configuration
	// newestConfigVersion is the newest version by which a known job was accepted.
	newestConfigVersion int64
	dataCentresOut      map[string]bool
	jobs                *orderedMap[job.ID, *job.Job]
	pending             pendingJobs
	room                roomState
	jobMemory           jobMemoryState
	fairShare           fairShare
	// earlyCancels are the cancellations of jobs that are not stored, or were read before
	// their job.
	earlyCancels map[job.ID]earlyCancel
	fresh        [partCount]lease.Freshness
	election     election

	// The remaining fields are used only while this node is the active scheduler.
	// Of these, listed, expiredEntries, waves, waveProgress, storedOrders and the
	// stored part of turns are updated from the store at all times.
	leading bool
	workers *orderedMap[string, *worker.Worker]
	// busyWorkers is the number of workers with runs, as of the last slow step.
	busyWorkers int
	listed      *orderedMap[string, worker.Description]
	// expiredEntries maps listed workers whose entry expired in an outage of the
	// store to the time until which it may reappear. storeRecoveredAt is the end
	// of the last outage.
	expiredEntries   map[string]time.Time
	storeRecoveredAt time.Time
	roster           roster
	silences         silences
	usage            map[string]machine.Resources
	// unreconciled counts the tasks that may have a run that an earlier scheduler
	// started. awaitedWorkers are the workers that have to report before such tasks
	// can be reconciled, nil after a task was added.
	unreconciled   int
	awaitedWorkers map[string]bool
	// deferredStarts are, by job, the runs whose start is sent once the store holds
	// their placement.
	deferredStarts map[job.ID][]*job.Run
	// lostStarts are, by address, the unproven runs that were lost with silent workers.
	lostStarts map[string][]lostStart
	crashLog   crashLog
	unfinished *orderedMap[job.ID, *job.Job]
	flush      flushState
	place      placeState
	waves      *orderedMap[int64, *upkeep.Wave]
	// waveProgress is the stored progress of each wave.
	waveProgress map[int64]WaveProgressRead
	// storedOrders is the stored list of machines that may have been ordered lately.
	storedOrders MachineOrdersRead
	machineOps   machineOpsState
	turns        turnsState
	advice       adviceState

	// fastStepAt and slowStepAt are when the two parts of a step are due next.
	fastStepAt, slowStepAt time.Time
	nextTickAt             time.Time
	actions                []Action
	counts                 Counts
}

// earlyCancel is the stored cancellation of a job that is not known.
type earlyCancel struct {
	revision int64
	// readAt is when this node first read it.
	readAt time.Time
}

// Counts are the values for the metrics.
type Counts struct {
	// Totals since the process started.
	Starts, Ends, Failed, Lost, GivenUp, Refused, Takeovers, Contained int64
	// Waits for room in a rack that began, that ended with a start there and that were
	// given up, and the run time in ms that the former saved less their lengths.
	Waits, WaitsMet, WaitsGivenUp, WaitGainMillis int64
	// Current values.
	Running, Unfinished, Workers, Quarantined, WaitingForRack int64
	// JobBytes is the memory of all known jobs.
	JobBytes int64
	// ContendedPools is the number of full pools for which two teams or more compete,
	// Shares are the shares of the teams meanwhile, at most fairShareLogInterval old.
	// The slice is not modified.
	ContendedPools int64
	Shares         []usage.Share
	// ForecastPeaks counts the peaks before which a pool's demand was raised, MissedPeaks
	// the expected peaks that did not occur. KnownCycles is the number of queues with a
	// known cycle, UnusedCycles how many of these are not used after a missed peak.
	ForecastPeaks, MissedPeaks, KnownCycles, UnusedCycles int64
}

// New returns the state of a node that has read nothing from the store yet.
func New(o Options) *Scheduler {
	return &Scheduler{
		options:        o,
		quarantine:     newQuarantine(),
		dataCentresOut: make(map[string]bool),
		jobs:           newOrderedMap[job.ID, *job.Job](),
		earlyCancels:   make(map[job.ID]earlyCancel),
		election:       election{releasedEpoch: -1},
		workers:        newOrderedMap[string, *worker.Worker](),
		unfinished:     newOrderedMap[job.ID, *job.Job](),
		listed:         newOrderedMap[string, worker.Description](),
		expiredEntries: make(map[string]time.Time),
		waves:          newOrderedMap[int64, *upkeep.Wave](),
		waveProgress:   make(map[int64]WaveProgressRead),
		turns:          newTurnsState(),
	}
}

// Apply applies one event, runs the steps that are due and returns the actions to
// perform. The caller owns the returned slice.
func (s *Scheduler) Apply(e Event, now time.Time) []Action {
	s.actions = nil
	e.Apply(s, now)
	s.subject = Record{}
	s.step(now)
	s.counts.Quarantined = int64(len(s.quarantine.records))
	return s.actions
}

// Tick is the event of the control thread's timer. It only runs the steps that
// are due.
type Tick struct{}

// Apply implements Event.
func (Tick) Apply(*Scheduler, time.Time) {}

// NextTick returns the time at which the scheduler needs a Tick, zero for never.
func (s *Scheduler) NextTick() time.Time { return s.nextTickAt }

// requestTick makes sure that a Tick comes no later than at.
func (s *Scheduler) requestTick(at time.Time) {
	if s.nextTickAt.IsZero() || at.Before(s.nextTickAt) {
		s.nextTickAt = at
	}
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// Intervals of the parts of a step. Workers send hundreds of events a second,
// and each part walks all workers, runs or jobs, so a step after every event
// would cost too much.
const (
	// fastStepInterval applies to the parts that decide how soon a task starts.
	fastStepInterval = 8 * time.Millisecond
	// slowStepInterval applies to stops, waves and moves, which take seconds to have
	// an effect.
	slowStepInterval = 50 * time.Millisecond
)

// step reconciles the state. Each part is level-triggered: it depends on the
// state and not on the event that was applied.
func (s *Scheduler) step(now time.Time) {
	s.nextTickAt = time.Time{}
	s.stepElection(now)
	s.stepJobMemory(now)
	if !s.leading {
		return
	}
	if !now.Before(s.slowStepAt) {
		s.slowStepAt = now.Add(slowStepInterval)
		s.stepSlow(now)
	}
	s.requestTick(s.slowStepAt)
	if now.Before(s.fastStepAt) {
		s.requestTick(s.fastStepAt)
		return
	}
	s.fastStepAt = now.Add(fastStepInterval)
	s.stepFast(now)
}

// stepFast runs the parts of a step that decide how soon a task starts.
func (s *Scheduler) stepFast(now time.Time) {
	s.stepWorkers(now)
	s.stepUnreconciled(now)
	s.stepJobs(now)
	s.stepJudgements(now)
	s.stepPlace(now)
	s.flushProgress(now)
}

// stepSlow runs the parts of a step whose effects take seconds, and the logging of
// pools.
func (s *Scheduler) stepSlow(now time.Time) {
	s.stepExpiredEntries(now)
	s.stepRoster(now)
	s.stepSilences(now)
	s.stepRuns(now)
	s.stepPacing(now)
	s.stepWaves(now)
	s.stepTurns(now)
	s.stepMoves(now)
	s.stepMachineOrders(now)
	s.stepRemoval(now)
	s.stepPoolLog(now)
	s.stepPending(now)
	s.stepRoom(now)
	s.stepFairShare(now)
	s.updateCounts(now)
}

// Config returns the configuration in force, nil before the first one is read.
func (s *Scheduler) Config() *policy.Configuration { return s.config }

// ConfigAsOf returns the time up to which the local copy of the configuration is
// complete.
func (s *Scheduler) ConfigAsOf() time.Time { return s.fresh[OperatorPart].AsOf() }

// ConfigSuperseded reports whether a job was accepted by a newer version of the
// configuration than the one in force here, unless that version is in quarantine.
func (s *Scheduler) ConfigSuperseded() bool {
	return s.config != nil && s.newestConfigVersion > s.config.Version && !s.quarantine.contains(configRecord(s.newestConfigVersion))
}

// JobsAsOf returns the time up to which the local copy of the jobs is complete.
func (s *Scheduler) JobsAsOf() time.Time { return s.fresh[JobsPart].AsOf() }

// Leading reports whether this node is the active scheduler: it holds the
// scheduler lease and has read everything that its predecessor stored.
func (s *Scheduler) Leading() bool { return s.leading }

// CopyNumber returns the number of the local copy of the store that reads are for.
func (s *Scheduler) CopyNumber() int { return s.copyNumber }

// Elected reports whether this node holds the scheduler lease.
func (s *Scheduler) Elected() bool { return s.election.authority.Held() }

// Counts returns the values for the metrics. The current values are at most about
// slowStepInterval old while this node is the active scheduler.
func (s *Scheduler) Counts() Counts { return s.counts }

func (s *Scheduler) updateCounts(now time.Time) {
	s.counts.Unfinished = int64(s.unfinished.len())
	s.counts.Workers = int64(s.workers.len())
	s.counts.WaitingForRack = int64(s.place.waits.Count("", now))
	s.counts.Running, s.busyWorkers = 0, 0
	for _, w := range s.workers.all() {
		s.counts.Running += int64(len(w.Runs()))
		if len(w.Runs()) > 0 {
			s.busyWorkers++
		}
	}
}

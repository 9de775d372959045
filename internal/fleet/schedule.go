package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Lease TTLs, periods, delays and bounds of the scheduler.
const (
	// SchedulerTTL is the TTL of the scheduler's lease. After a scheduler fails,
	// its successor starts when the lease has expired, so the TTL is part of the
	// 7.7 s within which urgent work must start.
	SchedulerTTL = 3 * time.Second
	// schedulerRenewPeriod is the period in which the scheduler's lease is
	// renewed.
	schedulerRenewPeriod = time.Second
	// TaskTTL is the TTL of the lease of a running task. Running tasks survive
	// outages of the platform of up to TaskTTL less taskRenewPeriod. Together
	// with the time of a call, TaskTTL must not exceed the longest lease of the
	// limits, 65 s by default: other holders reclaim the slots of an expired
	// holder after that time.
	TaskTTL = time.Minute
	// taskRenewPeriod is the period in which the leases of all running tasks are
	// renewed, in one call.
	taskRenewPeriod = 15 * time.Second
	// minRoundInterval is the least time between two placement rounds for up to
	// minRoundIntervalWorkers workers. It grows in proportion to the workers
	// above that, so that rounds of up to 20 ms for 1,200 workers use at most
	// 2.7% of a core.
	minRoundInterval        = 250 * time.Millisecond
	minRoundIntervalWorkers = 300
	// idleRoundDelay is the additional time between two rounds while tasks are
	// queued and no state changes. Rounds are needed then because reservations,
	// back-offs and waiting times expire.
	idleRoundDelay = 500 * time.Millisecond
	// minFlushInterval is the least time between two writes of changed task
	// states that no start waits for.
	minFlushInterval = time.Second
	// maxFlushSegments is the number of segments that one flush writes at most.
	maxFlushSegments = 32
	// sweepPeriod is the period in which old segments are deleted.
	sweepPeriod = 30 * time.Second
	// startRetryDelay is the delay before a start whose answer was lost is sent
	// again to the same worker.
	startRetryDelay = 500 * time.Millisecond
	// refusedStartRetryDelay is the delay before a start that the worker
	// refused is sent again to the same worker.
	refusedStartRetryDelay = 5 * time.Second
	// maxCallDuration is the longest time that a call to the platform takes.
	maxCallDuration = 3 * time.Second
)

// taskLeaseEnd is the longest time for which a task's lease can be valid after
// its last renewal was sent: the TTL, a margin of 1% for different clock rates,
// and the longest call.
const taskLeaseEnd = TaskTTL + TaskTTL/100 + maxCallDuration

// scheduleState is the state of the scheduler role of the process's own data
// centre.
type scheduleState struct {
	// term counts the terms of this process as scheduler. Results of earlier
	// terms are dropped.
	term uint64
	// holder names the process that holds the role, empty when it is unknown.
	holder string
	// active is the current term, nil while this process does not hold the role.
	active *scheduler
	// endedTerms are the slots of ended terms that are not released yet.
	endedTerms []endedTermSlots
	// freed are the allotments that got slots back from tasks since the last tick.
	freed []*contract.Allotment
	// wanted counts the queued tasks that wait for slots of a limit.
	wanted map[contract.Ref]int
}

// endedTermSlots are the slots of the tasks that ran at the end of a term. They
// are released at releaseAt, when the leases of the tasks have expired.
type endedTermSlots struct {
	releaseAt time.Time
	tasks     map[*machine.Task]bool
}

// scheduler is the state of one term as the scheduler of a data centre.
type scheduler struct {
	term  uint64
	lease uint64
	// leaseUntil is when the lease expires, counted from the time at which the
	// last renewal was sent.
	leaseUntil time.Time
	centre     *zone.DataCentre
	ledger     *zone.Ledger
	// queueLoaded and workersLoaded are set when the queue and the workers have
	// been read in full, tasksTakenOver when the running tasks of the previous
	// term have been taken over.
	queueLoaded, workersLoaded, tasksTakenOver bool
	// watchedQueues maps each watched queue to the time of its last new segment.
	watchedQueues map[string]time.Time
	// slotted are the running tasks that hold a slot of their team's upper limit.
	slotted map[*machine.Task]bool
	// recording are the assigned tasks whose start is sent after the assignment is
	// recorded.
	recording map[*machine.Task]bool
	// startsInFlight are the tasks with a StartTask in flight.
	startsInFlight map[*machine.Task]bool
	// startRetries maps the tasks whose start is sent again to the time of the
	// retry.
	startRetries map[*machine.Task]time.Time
	// orphaned maps the running tasks whose worker has left the worker list to the
	// time after which their lease cannot be valid.
	orphaned map[*machine.Task]time.Time
	// stopsInFlight are the start ids with a StopTasks in flight.
	stopsInFlight map[string]bool
	// stopRetries are the failed stops that are retried at stopRetryAt.
	stopRetries []WorkerTask
	stopRetryAt time.Time
	// earlyReports are the worker reports that arrived before the queue was read.
	earlyReports []machine.WorkerReport
	plan         zone.PlacementPlan
	// publishedLargestWorkers is the text of the capacities published last.
	publishedLargestWorkers string
	// changed is set when a state that placement depends on has changed since the
	// last round.
	changed bool
	// leaseExpired is set while the lease may have expired. No work is due
	// until it is renewed.
	leaseExpired bool
	// waitRecorded is set when a round has recorded why starts are not sent.
	waitRecorded bool
	// unslotted are the running tasks that were taken over from another term and
	// hold no slot yet.
	unslotted map[*machine.Task]bool
	roundAt   time.Time
	flushAt   time.Time
	renewAt   time.Time
	sweepAt   time.Time
}

// tickSchedule runs the due work of the scheduler.
func (f *Fleet) tickSchedule(now time.Time) []Action {
	f.releaseEndedTerms(now)
	s := f.schedule.active
	if s == nil || !f.canAct(s, now) {
		if s != nil {
			s.leaseExpired = !now.Before(s.leaseUntil)
		}
		return nil
	}
	actions := f.markOrphanedLost(s, now)
	actions = append(actions, f.retryStarts(s, now)...)
	actions = append(actions, f.retryStops(s, now)...)
	if s.roundDue(now) {
		actions = append(actions, f.runRound(s, now)...)
	}
	actions = append(actions, f.flushSegments(s, now)...)
	actions = append(actions, f.renewTasks(s, now)...)
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(sweepPeriod)
		if removals := s.ledger.Expire(now); len(removals) > 0 {
			actions = append(actions, RemoveSegments{Removals: removals})
		}
	}
	return actions
}

// roundInterval returns the least time between two placement rounds.
func (s *scheduler) roundInterval() time.Duration {
	return minRoundInterval * time.Duration(max(minRoundIntervalWorkers, s.centre.Workers.Len())) / minRoundIntervalWorkers
}

func (s *scheduler) roundDue(now time.Time) bool {
	if now.Before(s.roundAt) {
		return false
	}
	return s.changed || s.centre.Workers.Backlog().Len() > 0 && !now.Before(s.roundAt.Add(idleRoundDelay))
}

// flushSegments writes the segments with changed task states, at most once every
// minFlushInterval.
func (f *Fleet) flushSegments(s *scheduler, now time.Time) []Action {
	if now.Before(s.flushAt) {
		return nil
	}
	var actions []Action
	for _, w := range s.ledger.BeginDirtyWrites(maxFlushSegments) {
		actions = append(actions, WriteSegment{Term: s.term, Write: w})
	}
	s.flushAt = now.Add(minFlushInterval)
	return actions
}

// nextScheduleTick returns when tickSchedule is due. The zero time means that
// it is not.
func (f *Fleet) nextScheduleTick() time.Time {
	var next time.Time
	for _, p := range f.schedule.endedTerms {
		next = earliest(next, p.releaseAt)
	}
	s := f.schedule.active
	if s == nil || s.leaseExpired || !s.queueLoaded || !s.workersLoaded {
		return next
	}
	next = earliest(next, earliest(s.sweepAt, s.renewAt))
	if s.changed {
		next = earliest(next, s.roundAt)
	} else if s.centre.Workers.Backlog().Len() > 0 {
		next = earliest(next, s.roundAt.Add(idleRoundDelay))
	}
	if s.ledger.Dirty() {
		next = earliest(next, s.flushAt)
	}
	if len(s.stopRetries) > 0 {
		next = earliest(next, s.stopRetryAt)
	}
	for _, at := range s.startRetries {
		next = earliest(next, at)
	}
	for _, at := range s.orphaned {
		next = earliest(next, at)
	}
	return next
}

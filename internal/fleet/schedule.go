package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Times of the scheduler.
const (
	// SchedulerTTL is the lease of the scheduler's role. A new scheduler starts
	// after it has lapsed, so that it is part of the 7.7 s in which urgent work
	// starts.
	SchedulerTTL = 3 * time.Second
	// schedulerRenew is the pause between renewals of the lease.
	schedulerRenew = time.Second
	// TaskTTL is the lease of a running task. It bridges outages of the platform
	// of up to TaskTTL less taskRenew. With the time of a call it stays within
	// the longest lease of the limits, 65 s by default, after which the slots of
	// a holder that is gone are given to others.
	TaskTTL = time.Minute
	// taskRenew is the pause between renewals of all running tasks in one call.
	taskRenew = 15 * time.Second
	// roundPause is the least time between two placement rounds for up to
	// roundWorkers workers. It grows in proportion beyond, so that rounds of
	// up to 20 ms for 1,200 workers stay within 2.7% of a core.
	roundPause   = 250 * time.Millisecond
	roundWorkers = 300
	// idleRound is the further pause between rounds while work waits and nothing
	// changes: reservations, back-offs and waiting times end with time alone.
	idleRound = 500 * time.Millisecond
	// flushPause is the least time between writes of changed task states that
	// no start waits for.
	flushPause = time.Second
	// flushLimit bounds the segments of one flush.
	flushLimit = 32
	// sweepPause is the pause between deletions of old segments.
	sweepPause = 30 * time.Second
	// startRetry is the pause before a start whose answer was lost is sent
	// again to the same worker.
	startRetry = 500 * time.Millisecond
	// refusedRetry is the same when the worker had no room for it.
	refusedRetry = 5 * time.Second
	// callBound is the longest time that a call to the platform takes.
	callBound = 3 * time.Second
)

// leaseEnd is how long after the last possible renewal a task's lease has
// ended for certain, with a clock rate margin of 1%.
const leaseEnd = TaskTTL + TaskTTL/100 + callBound

// scheduleState is the scheduler of the process's own data centre. It exists
// while the process holds the role.
type scheduleState struct {
	// term counts the terms of this process. Results of earlier terms are
	// dropped.
	term   uint64
	holder string
	active *scheduler
	// parting are slots of ended terms.
	parting []partingSlots
	// freed are allotments of slots that tasks gave back since the last tick.
	freed []*contract.Allotment
	// wanted counts the queued tasks that wait for slots of a limit.
	wanted map[contract.Ref]int
}

type partingSlots struct {
	until time.Time
	tasks map[*machine.Task]bool
}

// scheduler is one term as the scheduler of a data centre.
type scheduler struct {
	term   uint64
	lease  uint64
	until  time.Time
	centre *zone.DataCentre
	ledger *zone.Ledger
	// queueLoaded and workersLoaded are false until both were read in full;
	// resumed is set once running tasks were taken over.
	queueLoaded, workersLoaded, resumed bool
	roster                              map[string]time.Time
	// slots are the running tasks that hold a slot of their team's upper limit.
	slots map[*machine.Task]bool
	// storing are starts that wait until they are recorded.
	storing map[*machine.Task]bool
	// sending are starts with a call in flight.
	sending map[*machine.Task]bool
	// retries are starts to repeat, and when.
	retries map[*machine.Task]time.Time
	// lost are running tasks whose worker is gone, and when their lease has
	// ended for certain.
	lost map[*machine.Task]time.Time
	// stopping are stops with a call in flight, by start id.
	stopping map[string]bool
	// restops are stops to repeat.
	restops  []WorkerTask
	restopAt time.Time
	// reports arrived before the queue was read.
	reports []machine.WorkerReport
	plan    zone.PlacementPlan
	// offered is the text of the largest workers that were published.
	offered string
	changed bool
	// asleep is set while the lease may have lapsed: nothing is due before its
	// next renewal.
	asleep bool
	// waitExplained is set after the first explained wait of a round.
	waitExplained bool
	// unslotted are running tasks that were taken over and hold no slot yet.
	unslotted map[*machine.Task]bool
	roundAt   time.Time
	flushAt   time.Time
	renewAt   time.Time
	sweepAt   time.Time
}

// tickSchedule runs what is due at now.
func (f *Fleet) tickSchedule(now time.Time) []Action {
	f.releaseParting(now)
	s := f.schedule.active
	if s == nil || !f.mayAct(s, now) {
		if s != nil {
			s.asleep = !now.Before(s.until)
		}
		return nil
	}
	actions := f.endLost(s, now)
	actions = append(actions, f.retryStarts(s, now)...)
	actions = append(actions, f.retryStops(s, now)...)
	if s.roundDue(now) {
		actions = append(actions, f.round(s, now)...)
	}
	actions = append(actions, f.flush(s, now)...)
	actions = append(actions, f.renewTasks(s, now)...)
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(sweepPause)
		if removals := s.ledger.Expire(now); len(removals) > 0 {
			actions = append(actions, RemoveSegments{Removals: removals})
		}
	}
	return actions
}

// pause returns the least time between two rounds.
func (s *scheduler) pause() time.Duration {
	return roundPause * time.Duration(max(roundWorkers, s.centre.Workers.Len())) / roundWorkers
}

func (s *scheduler) roundDue(now time.Time) bool {
	if now.Before(s.roundAt) {
		return false
	}
	return s.changed || s.centre.Workers.Backlog().Len() > 0 && !now.Before(s.roundAt.Add(idleRound))
}

// flush writes changed task states.
func (f *Fleet) flush(s *scheduler, now time.Time) []Action {
	if now.Before(s.flushAt) {
		return nil
	}
	var actions []Action
	for _, w := range s.ledger.WriteDirty(flushLimit) {
		actions = append(actions, WriteSegment{Term: s.term, Write: w})
	}
	s.flushAt = now.Add(flushPause)
	return actions
}

// wakeSchedule returns when tickSchedule has something to do.
func (f *Fleet) wakeSchedule() time.Time {
	var wake time.Time
	for _, p := range f.schedule.parting {
		wake = earliest(wake, p.until)
	}
	s := f.schedule.active
	if s == nil || s.asleep || !s.queueLoaded || !s.workersLoaded {
		return wake
	}
	wake = earliest(wake, earliest(s.sweepAt, s.renewAt))
	if s.changed {
		wake = earliest(wake, s.roundAt)
	} else if s.centre.Workers.Backlog().Len() > 0 {
		wake = earliest(wake, s.roundAt.Add(idleRound))
	}
	if s.ledger.Dirty() {
		wake = earliest(wake, s.flushAt)
	}
	if len(s.restops) > 0 {
		wake = earliest(wake, s.restopAt)
	}
	for _, at := range s.retries {
		wake = earliest(wake, at)
	}
	for _, at := range s.lost {
		wake = earliest(wake, at)
	}
	return wake
}

package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Times of the scheduler.
const (
	// SchedulerTTL is the TTL of the scheduler's lease. After a scheduler fails,
	// its successor starts when the lease has expired, so the TTL is part of the
	// 7.7 s within which urgent work must start.
	SchedulerTTL = 3 * time.Second
	// schedulerRenew is the period in which the scheduler's lease is renewed.
	schedulerRenew = time.Second
	// TaskTTL is the TTL of the lease of a running task. Running tasks survive
	// outages of the platform of up to TaskTTL less taskRenew. Together with the
	// time of a call, TaskTTL must not exceed the longest lease of the limits,
	// 65 s by default: other holders reclaim the slots of an expired holder after
	// that time.
	TaskTTL = time.Minute
	// taskRenew is the period in which the leases of all running tasks are
	// renewed, in one call.
	taskRenew = 15 * time.Second
	// roundPause is the least time between two placement rounds for up to
	// roundWorkers workers. It grows in proportion to the workers above that, so
	// that rounds of up to 20 ms for 1,200 workers use at most 2.7% of a core.
	roundPause   = 250 * time.Millisecond
	roundWorkers = 300
	// idleRound is the additional time between two rounds while tasks are queued
	// and no state changes. Rounds are needed then because reservations, back-offs
	// and waiting times expire.
	idleRound = 500 * time.Millisecond
	// flushPause is the least time between two writes of changed task states that
	// no start waits for.
	flushPause = time.Second
	// flushLimit is the number of segments that one flush writes at most.
	flushLimit = 32
	// sweepPause is the period in which old segments are deleted.
	sweepPause = 30 * time.Second
	// startRetry is the delay before a start whose answer was lost is sent again
	// to the same worker.
	startRetry = 500 * time.Millisecond
	// refusedRetry is the delay before a start that the worker refused is sent
	// again to the same worker.
	refusedRetry = 5 * time.Second
	// callBound is the longest time that a call to the platform takes.
	callBound = 3 * time.Second
)

// leaseEnd is the time after the last possible renewal at which a task's lease
// has certainly expired, with a margin of 1% for different clock rates.
const leaseEnd = TaskTTL + TaskTTL/100 + callBound

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
	// parting are the slots of ended terms that are not released yet.
	parting []partingSlots
	// freed are the allotments whose slots tasks released since the last tick.
	freed []*contract.Allotment
	// wanted counts the queued tasks that wait for slots of a limit.
	wanted map[contract.Ref]int
}

// partingSlots are the slots of the tasks that ran at the end of a term. They
// are released at until, when the leases of the tasks have expired.
type partingSlots struct {
	until time.Time
	tasks map[*machine.Task]bool
}

// scheduler is the state of one term as the scheduler of a data centre.
type scheduler struct {
	term  uint64
	lease uint64
	// until is when the lease expires, counted from the time at which the last
	// renewal was sent.
	until  time.Time
	centre *zone.DataCentre
	ledger *zone.Ledger
	// queueLoaded and workersLoaded are set when the queue and the workers have
	// been read in full, resumed when the running tasks have been taken over.
	queueLoaded, workersLoaded, resumed bool
	// roster are the watched queues and when each last got a segment.
	roster map[string]time.Time
	// slots are the running tasks that hold a slot of their team's upper limit.
	slots map[*machine.Task]bool
	// storing are the started tasks whose start is sent once it is recorded.
	storing map[*machine.Task]bool
	// sending are the tasks with a StartTask in flight.
	sending map[*machine.Task]bool
	// retries are the tasks whose start is sent again, and when.
	retries map[*machine.Task]time.Time
	// lost are the running tasks whose worker is gone, and when their lease has
	// certainly expired.
	lost map[*machine.Task]time.Time
	// stopping are the start ids with a StopTasks in flight.
	stopping map[string]bool
	// restops are the failed stops that are retried at restopAt.
	restops  []WorkerTask
	restopAt time.Time
	// reports are the worker reports that arrived before the queue was read.
	reports []machine.WorkerReport
	plan    zone.PlacementPlan
	// offered is the text of the last published offer.
	offered string
	// changed is set when a state that placement depends on has changed since the
	// last round.
	changed bool
	// asleep is set while the lease may have expired. No work is due until it is
	// renewed.
	asleep bool
	// waitExplained is set when a round has recorded why starts are not sent.
	waitExplained bool
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

// pause returns the least time between two placement rounds.
func (s *scheduler) pause() time.Duration {
	return roundPause * time.Duration(max(roundWorkers, s.centre.Workers.Len())) / roundWorkers
}

func (s *scheduler) roundDue(now time.Time) bool {
	if now.Before(s.roundAt) {
		return false
	}
	return s.changed || s.centre.Workers.Backlog().Len() > 0 && !now.Before(s.roundAt.Add(idleRound))
}

// flush writes the segments with changed task states, at most once every
// flushPause.
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

// wakeSchedule returns when tickSchedule is due. The zero time means that it is
// not.
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

package fleet

import (
	"fmt"
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

// SeekScheduler tries to take the role of the scheduler of a data centre, or
// waits while another process holds it. The result is SchedulerElected or
// SchedulerBusy.
type SeekScheduler struct {
	DataCentre string
	// Holder is written to the lease key for operators.
	Holder string
	Delay  time.Duration
}

// KeepScheduler renews the lease of the role. The result is SchedulerKept.
type KeepScheduler struct {
	Term  uint64
	Lease uint64
	Delay time.Duration
}

// LoadQueue reads the roster and all segments of a data centre. The result is
// QueueLoaded.
type LoadQueue struct {
	Term       uint64
	DataCentre string
	Delay      time.Duration
}

// WatchRoster waits for a new version of the roster. The result is RosterSeen.
type WatchRoster struct {
	Term       uint64
	DataCentre string
	After      uint64
	Delay      time.Duration
}

// WatchSegment waits for the next segment of a queue. The result is
// SegmentSeen.
type WatchSegment struct {
	Term  uint64
	Ref   zone.SegmentRef
	Delay time.Duration
}

// SealQueue adopts a queue by creating its next segment. The result is
// SegmentSeen.
type SealQueue struct {
	Term     uint64
	Ref      zone.SegmentRef
	SealedBy string
}

// DropQueue takes an adopted queue off the roster.
type DropQueue struct{ DataCentre, Queue string }

// WriteSegment stores a changed segment. The result is SegmentStored.
type WriteSegment struct {
	Term  uint64
	Write zone.Write
}

// RemoveSegments deletes old segments. There is no result: what stays is
// deleted by a later term.
type RemoveSegments struct{ Removals []zone.Removal }

func (SeekScheduler) isAction()  {}
func (KeepScheduler) isAction()  {}
func (LoadQueue) isAction()      {}
func (WatchRoster) isAction()    {}
func (WatchSegment) isAction()   {}
func (SealQueue) isAction()      {}
func (DropQueue) isAction()      {}
func (WriteSegment) isAction()   {}
func (RemoveSegments) isAction() {}

// startTasks returns the first actions for tasks.
func (f *Fleet) startTasks() []Action {
	return []Action{
		SeekScheduler{DataCentre: f.self.DataCentre, Holder: f.schedulerName()},
		ReadOffer{DataCentre: f.self.DataCentre},
	}
}

// schedulerName tells operators which process holds the role.
func (f *Fleet) schedulerName() string { return f.self.ID + " at " + f.httpAddress }

// SchedulerBusy reports that another process holds the role or that it could
// not be taken.
type SchedulerBusy struct{ Holder string }

// Apply implements Event.
func (e SchedulerBusy) Apply(f *Fleet, now time.Time) []Action {
	f.schedule.holder = e.Holder
	if f.departing {
		return nil
	}
	delay := time.Duration(0)
	if e.Holder == "" {
		delay = RetryDelay
	}
	return []Action{SeekScheduler{DataCentre: f.self.DataCentre, Holder: f.schedulerName(), Delay: delay}}
}

// SchedulerElected reports that this process holds the role.
type SchedulerElected struct {
	Lease  uint64
	SentAt time.Time
}

// Apply implements Event. The state of workers and tasks is read anew.
func (e SchedulerElected) Apply(f *Fleet, now time.Time) []Action {
	f.schedule.term++
	term := f.schedule.term
	f.schedule.holder = f.schedulerName()
	centre := f.centres[f.self.DataCentre]
	centre.Workers.Reset()
	f.schedule.active = &scheduler{
		term: term, lease: e.Lease, until: e.SentAt.Add(SchedulerTTL), centre: centre,
		ledger:   zone.NewLedger(fmt.Sprintf("%s-%x-%d", f.self.ID, f.self.Incarnation, term)),
		roster:   make(map[string]time.Time),
		slots:    make(map[*machine.Task]bool),
		storing:  make(map[*machine.Task]bool),
		sending:  make(map[*machine.Task]bool),
		retries:  make(map[*machine.Task]time.Time),
		lost:     make(map[*machine.Task]time.Time),
		stopping: make(map[string]bool),

		unslotted: make(map[*machine.Task]bool),
		renewAt:   now.Add(taskRenew),
		sweepAt:   now.Add(sweepPause),
	}
	f.Explain(Decision{At: now, Subject: Subject{SubjectDataCentre, centre.Name}, Action: "schedule", Reason: "this process took the scheduler's lease"})
	return []Action{
		KeepScheduler{Term: term, Lease: e.Lease, Delay: schedulerRenew},
		LoadQueue{Term: term, DataCentre: centre.Name},
		WatchWorkers{Term: term, DataCentre: centre.Name},
	}
}

// SchedulerKept is the end of KeepScheduler.
type SchedulerKept struct {
	Term   uint64
	SentAt time.Time
	// OK is true when the lease was renewed; Lost when it has ended.
	OK, Lost bool
}

// Apply implements Event.
func (e SchedulerKept) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if e.OK {
		s.until = e.SentAt.Add(SchedulerTTL)
		s.asleep = false
	}
	if f.departing {
		return f.endTerm(now, "this process leaves")
	}
	if e.Lost || now.After(s.until) {
		return f.endTerm(now, "the scheduler's lease has lapsed")
	}
	return []Action{KeepScheduler{Term: s.term, Lease: s.lease, Delay: schedulerRenew}}
}

// scheduler returns the present term, nil when it is another one.
func (f *Fleet) scheduler(term uint64) *scheduler {
	if s := f.schedule.active; s != nil && s.term == term {
		return s
	}
	return nil
}

// endTerm gives up the role. What is stored is the state of the next term.
func (f *Fleet) endTerm(now time.Time, reason string) []Action {
	s := f.schedule.active
	// The tasks may go on under the next scheduler. Their slots stay taken until
	// their leases would have ended.
	f.schedule.parting = append(f.schedule.parting, partingSlots{until: now.Add(leaseEnd), tasks: s.slots})
	f.schedule.active, f.schedule.holder, f.schedule.wanted = nil, "", nil
	f.Explain(Decision{At: now, Subject: Subject{SubjectDataCentre, s.centre.Name}, Action: "end schedule", Reason: reason})
	if f.departing {
		return nil
	}
	return []Action{SeekScheduler{DataCentre: s.centre.Name, Holder: f.schedulerName(), Delay: RetryDelay}}
}

// mayAct reports whether a step may be sent: the lease holds and the state is
// read.
func (f *Fleet) mayAct(s *scheduler, now time.Time) bool {
	return now.Before(s.until) && s.queueLoaded && s.workersLoaded
}

// mayStart returns nil when the task may be started now, otherwise why not: the
// lease, the data centre and the age of the configuration are checked again
// right before each start.
func (f *Fleet) mayStart(s *scheduler, t *machine.Task, now time.Time) *Refusal {
	if !f.mayAct(s, now) {
		return &Refusal{Code: CodeNotReady, Reason: "the scheduler's lease has lapsed"}
	}
	if !f.limits.hold.Valid(now) {
		return &Refusal{Code: CodeNotReady, Reason: "this entry instance has no hold on its slots"}
	}
	return f.mayRun(s.centre, t, now)
}

// StoredSegment is one segment as it was read.
type StoredSegment struct {
	Ref     zone.SegmentRef
	Segment zone.Segment
	Version uint64
}

// QueueLoaded is the end of LoadQueue.
type QueueLoaded struct {
	Term          uint64
	OK            bool
	Queues        []string
	RosterVersion uint64
	Segments      []StoredSegment
}

// Apply implements Event. The tasks of a vanished instance or scheduler are
// taken over as they are stored.
func (e QueueLoaded) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{LoadQueue{Term: s.term, DataCentre: s.centre.Name, Delay: RetryDelay}}
	}
	for _, stored := range e.Segments {
		f.addSegment(s, stored, now)
	}
	var actions []Action
	for _, stored := range e.Segments {
		actions = append(actions, f.cancelBatch(s, stored.Segment.Cancels, now)...)
	}
	s.queueLoaded, s.changed = true, true
	actions = append(actions, f.followQueues(s, e.Queues, now)...)
	actions = append(actions, f.resumeAll(s, now)...)
	return append(actions, WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.RosterVersion})
}

func (f *Fleet) addSegment(s *scheduler, stored StoredSegment, now time.Time) []*machine.Task {
	open := s.ledger.Add(stored.Ref, stored.Segment, stored.Version, now)
	for _, t := range open {
		if t.Phase == machine.TaskQueued {
			s.centre.Workers.Backlog().Add(t)
		}
	}
	s.changed = s.changed || len(open) > 0
	return open
}

// followQueues watches queues that are not watched yet.
func (f *Fleet) followQueues(s *scheduler, queues []string, now time.Time) []Action {
	var actions []Action
	for _, queue := range queues {
		if _, ok := s.roster[queue]; ok || s.ledger.Sealed(queue) {
			continue
		}
		s.roster[queue] = now
		actions = append(actions, s.watchNext(queue, 0))
	}
	return actions
}

func (s *scheduler) watchNext(queue string, delay time.Duration) Action {
	ref := zone.SegmentRef{DataCentre: s.centre.Name, Queue: queue, Number: s.ledger.NextSegment(queue)}
	return WatchSegment{Term: s.term, Ref: ref, Delay: delay}
}

// RosterSeen is the end of WatchRoster.
type RosterSeen struct {
	Term    uint64
	OK      bool
	Version uint64
	Queues  []string
}

// Apply implements Event.
func (e RosterSeen) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: RetryDelay}}
	}
	actions := f.followQueues(s, e.Queues, now)
	return append(actions, WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.Version})
}

// SegmentSeen is the end of WatchSegment and SealQueue.
type SegmentSeen struct {
	Term uint64
	OK   bool
	Ref  zone.SegmentRef
	// Found is false when the segment does not exist yet.
	Found   bool
	Segment zone.Segment
	Version uint64
}

// Apply implements Event.
func (e SegmentSeen) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{s.watchNext(e.Ref.Queue, RetryDelay)}
	}
	if !e.Found {
		return f.queueIdle(s, e.Ref, now)
	}
	s.roster[e.Ref.Queue] = now
	open := f.addSegment(s, StoredSegment{e.Ref, e.Segment, e.Version}, now)
	actions := f.stopCancelled(s, s.ledger.CancelEarly(open, now), now)
	actions = append(actions, f.cancelBatch(s, e.Segment.Cancels, now)...)
	if e.Segment.SealedBy != "" {
		return append(actions, DropQueue{DataCentre: s.centre.Name, Queue: e.Ref.Queue})
	}
	actions = append(actions, s.watchNext(e.Ref.Queue, 0))
	return append(actions, f.tickSchedule(now)...)
}

// queueIdle adopts a queue whose writer is gone, and otherwise watches on.
func (f *Fleet) queueIdle(s *scheduler, ref zone.SegmentRef, now time.Time) []Action {
	if now.Sub(s.roster[ref.Queue]) < zone.SealAfter || !f.mayAct(s, now) {
		return []Action{s.watchNext(ref.Queue, 0)}
	}
	f.Explain(Decision{
		At: now, Subject: Subject{SubjectDataCentre, s.centre.Name}, Action: "adopt queue",
		Reason: "nothing was added for " + zone.SealAfter.String(), Inputs: []Input{{"queue", ref.Queue}},
	})
	return []Action{SealQueue{Term: s.term, Ref: ref, SealedBy: f.schedulerName()}}
}

// SegmentStored is the end of WriteSegment.
type SegmentStored struct {
	Term       uint64
	Key, Stamp string
	Version    uint64
	// OK is true when the write is known to have taken effect. Conflict means
	// that another scheduler wrote the segment.
	OK, Conflict bool
}

// Apply implements Event. After a conflict the stored state counts, so that the
// term ends and everything is read anew.
func (e SegmentStored) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if e.Conflict {
		return f.endTerm(now, "another scheduler wrote "+e.Key)
	}
	if !e.OK {
		s.ledger.NotStored(e.Key, e.Stamp)
		return nil
	}
	recorded, since := s.ledger.Stored(e.Key, e.Stamp, e.Version)
	var actions []Action
	for _, t := range recorded {
		if s.storing[t] {
			delete(s.storing, t)
			actions = append(actions, f.sendStart(s, t, now)...)
		}
	}
	return append(actions, s.record(since)...)
}

// record writes the segments of tasks whose start waits to be recorded.
func (s *scheduler) record(tasks []*machine.Task) []Action {
	var waiting []*machine.Task
	for _, t := range tasks {
		if s.storing[t] {
			waiting = append(waiting, t)
		}
	}
	var actions []Action
	for _, w := range s.ledger.WriteOf(waiting) {
		actions = append(actions, WriteSegment{Term: s.term, Write: w})
	}
	return actions
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

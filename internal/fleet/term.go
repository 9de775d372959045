package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// SeekScheduler tries to take the role of the scheduler of a data centre, or
// waits while another process holds it. The result is SchedulerElected or
// SchedulerBusy.
type SeekScheduler struct {
	DataCentre string
	// Holder is written to the lease key for operators.
	Holder string
	Delay  time.Duration
}

func (SeekScheduler) isAction() {}

// KeepScheduler renews the lease of the role. The result is SchedulerKept.
type KeepScheduler struct {
	Term  uint64
	Lease uint64
	Delay time.Duration
}

func (KeepScheduler) isAction() {}

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

package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// AcquireSchedulerLease tries to acquire the scheduler's lease of a data
// centre. While another process holds it, the action waits. The result is
// SchedulerLeaseAcquired or SchedulerLeaseNotAcquired.
type AcquireSchedulerLease struct {
	DataCentre string
	// Holder is the value of the lease's key, which operators see.
	Holder string
	Delay  time.Duration
}

func (AcquireSchedulerLease) isAction() {}

// RenewSchedulerLease renews the scheduler's lease after Delay. The result is
// SchedulerLeaseChecked.
type RenewSchedulerLease struct {
	Term  uint64
	Lease uint64
	Delay time.Duration
}

func (RenewSchedulerLease) isAction() {}

// initialTaskActions returns the first actions of the process for tasks.
func (f *Fleet) initialTaskActions() []Action {
	return []Action{
		AcquireSchedulerLease{DataCentre: f.self.DataCentre, Holder: f.schedulerName()},
		ReadLargestWorkers{DataCentre: f.self.DataCentre},
	}
}

// schedulerName returns the name under which this process holds the scheduler's
// lease: its id and the address to ask.
func (f *Fleet) schedulerName() string { return f.self.ID + " at " + f.httpAddress }

// SchedulerLeaseNotAcquired reports that the scheduler's lease was not acquired.
type SchedulerLeaseNotAcquired struct {
	// Holder is the process that holds the lease, empty when the acquisition
	// failed for another reason.
	Holder string
}

// Apply implements Event.
func (e SchedulerLeaseNotAcquired) Apply(f *Fleet, now time.Time) []Action {
	f.schedule.holder = e.Holder
	if f.departing {
		return nil
	}
	delay := time.Duration(0)
	if e.Holder == "" {
		delay = PlatformRetryDelay
	}
	return []Action{AcquireSchedulerLease{DataCentre: f.self.DataCentre, Holder: f.schedulerName(), Delay: delay}}
}

// SchedulerLeaseAcquired reports that this process acquired the scheduler's lease.
type SchedulerLeaseAcquired struct {
	Lease  uint64
	SentAt time.Time
}

// Apply implements Event. A new term reads all workers and tasks again.
func (e SchedulerLeaseAcquired) Apply(f *Fleet, now time.Time) []Action {
	f.schedule.term++
	term := f.schedule.term
	f.schedule.holder = f.schedulerName()
	centre := f.centres[f.self.DataCentre]
	centre.Workers.Reset()
	f.schedule.active = &scheduler{
		term: term, lease: e.Lease, leaseUntil: e.SentAt.Add(SchedulerTTL), centre: centre,
		ledger:         zone.NewLedger(fmt.Sprintf("%s-%x-%d", f.self.ID, f.self.Incarnation, term)),
		watchedQueues:  make(map[string]time.Time),
		slotted:        make(map[*machine.Task]bool),
		recording:      make(map[*machine.Task]bool),
		startsInFlight: make(map[*machine.Task]bool),
		startRetries:   make(map[*machine.Task]time.Time),
		orphaned:       make(map[*machine.Task]time.Time),
		stopsInFlight:  make(map[string]bool),

		unslotted: make(map[*machine.Task]bool),
		renewAt:   now.Add(taskRenewPeriod),
		sweepAt:   now.Add(sweepPeriod),
	}
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectDataCentre, centre.Name}, Action: "schedule", Reason: "this process acquired the scheduler's lease"})
	return []Action{
		RenewSchedulerLease{Term: term, Lease: e.Lease, Delay: schedulerRenewPeriod},
		LoadQueue{Term: term, DataCentre: centre.Name},
		WatchWorkers{Term: term, DataCentre: centre.Name},
	}
}

// SchedulerLeaseChecked reports the end of a RenewSchedulerLease.
type SchedulerLeaseChecked struct {
	Term   uint64
	SentAt time.Time
	// OK is true when the lease was renewed, Lost when it has expired. Both are
	// false when the result is unknown.
	OK, Lost bool
}

// Apply implements Event.
func (e SchedulerLeaseChecked) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if e.OK {
		s.leaseUntil = e.SentAt.Add(SchedulerTTL)
		s.leaseExpired = false
	}
	if f.departing {
		return f.endTerm(now, "this process is stopping")
	}
	if e.Lost || now.After(s.leaseUntil) {
		return f.endTerm(now, "the scheduler's lease has expired")
	}
	return []Action{RenewSchedulerLease{Term: s.term, Lease: s.lease, Delay: schedulerRenewPeriod}}
}

// scheduler returns the state of the current term, nil when term is not the
// current one.
func (f *Fleet) scheduler(term uint64) *scheduler {
	if s := f.schedule.active; s != nil && s.term == term {
		return s
	}
	return nil
}

// endTerm ends the current term as scheduler. The next term, in this process or
// another one, starts from the stored state.
func (f *Fleet) endTerm(now time.Time, reason string) []Action {
	s := f.schedule.active
	// The tasks may continue to run under the next scheduler. Their slots stay
	// occupied until the leases that this term renewed can no longer be valid.
	f.schedule.endedTerms = append(f.schedule.endedTerms, endedTermSlots{releaseAt: now.Add(taskLeaseEnd), tasks: s.slotted})
	f.schedule.active, f.schedule.holder, f.schedule.wanted = nil, "", nil
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectDataCentre, s.centre.Name}, Action: "end schedule", Reason: reason})
	if f.departing {
		return nil
	}
	return []Action{AcquireSchedulerLease{DataCentre: s.centre.Name, Holder: f.schedulerName(), Delay: PlatformRetryDelay}}
}

// canAct reports whether the scheduler may send steps: its lease is valid and
// the queue and the workers have been read.
func (f *Fleet) canAct(s *scheduler, now time.Time) bool {
	return now.Before(s.leaseUntil) && s.queueLoaded && s.workersLoaded
}

// checkTaskStart returns nil when the task may be started now, otherwise the
// refusal. It is called immediately before each start and checks the
// scheduler's lease, the hold, the data centre and the age of the
// configuration.
func (f *Fleet) checkTaskStart(s *scheduler, t *machine.Task, now time.Time) *Refusal {
	if !f.canAct(s, now) {
		return &Refusal{Code: CodeNotReady, Reason: "the scheduler's lease has expired"}
	}
	if !f.limits.hold.Valid(now) {
		return &Refusal{Code: CodeNotReady, Reason: "this entry instance has no valid hold on its slots"}
	}
	return f.checkTaskConfig(s.centre, t, now)
}

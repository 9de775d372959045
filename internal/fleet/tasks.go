package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Refusal codes of tasks.
const (
	// CodeImpossible means that no worker can run the task as it is declared, or
	// that the upper limit of its team is 0.
	CodeImpossible = "impossible"
	// CodeNotAccepted means that the task was not stored in the platform.
	CodeNotAccepted = "not-accepted"
)

// maxLargestWorkersAge is the age at which the capacities of the largest workers
// of a data centre are read again.
const maxLargestWorkersAge = 30 * time.Second

// taskState is the state of the intakes, which accept tasks for the queues of
// each data centre.
type taskState struct {
	intakes map[string]*zone.Intake
	timer   *timer
	// replies are the reply channels of unanswered requests, by token.
	replies map[uint64]chan<- TaskAnswer
	// lastToken is the last token that was assigned.
	lastToken      uint64
	largestWorkers map[string]largestWorkersState
	// registering are the data centres with a RegisterQueue in flight.
	registering map[string]bool
}

// largestWorkersState holds the last known capacities of the largest workers of a
// data centre.
type largestWorkersState struct {
	largest []machine.Resources
	readAt  time.Time
}

func newTaskState() taskState {
	return taskState{
		intakes:        make(map[string]*zone.Intake),
		replies:        make(map[uint64]chan<- TaskAnswer),
		largestWorkers: make(map[string]largestWorkersState),
		registering:    make(map[string]bool),
	}
}

// TaskAnswer is the answer to SubmitTasks and CancelTasks.
type TaskAnswer struct {
	// Outcome is written, refused or unknown.
	Outcome zone.GroupOutcome
	IDs     []string
	// Refusal is set when the outcome is refused. No task was accepted then.
	Refusal *Refusal
}

// SubmitTasks submits tasks of one team. All of them are accepted, or none. The
// outcome is "written" only after the tasks are stored in the platform. Reply
// must have a free buffer place.
type SubmitTasks struct {
	// DataCentre is where the tasks must run. Empty means the process's own data
	// centre, or another one while that is out of service.
	DataCentre string
	// Tasks are 1 to zone.SegmentTasks tasks without ids. Apply changes them.
	Tasks []machine.Task
	Reply chan<- TaskAnswer
}

// Apply implements Event.
func (e SubmitTasks) Apply(f *Fleet, now time.Time) []Action {
	centre, refusal := f.chooseDataCentre(e.DataCentre)
	if refusal == nil {
		refusal = f.checkTasks(centre, e.Tasks, now)
	}
	if refusal != nil {
		f.recordTaskRefusal(e.Tasks, refusal, now)
		e.Reply <- TaskAnswer{Outcome: zone.GroupRefused, Refusal: refusal}
		return nil
	}
	for i := range e.Tasks {
		e.Tasks[i].Phase, e.Tasks[i].SubmittedAt = machine.TaskQueued, now
	}
	f.intake(centre.Name).Add(zone.Request{Token: f.registerReply(e.Reply), Tasks: e.Tasks}, now)
	return append(f.refreshLargestWorkers(centre.Name, now), f.tickIntakes(now)...)
}

// CancelTasks cancels tasks of one team in one data centre, as one batch. Reply
// must have a free buffer place.
type CancelTasks struct {
	DataCentre string
	Team       string
	// IDs are 1 to zone.MaxCancels task ids.
	IDs   []string
	Reply chan<- TaskAnswer
}

// Apply implements Event. Cancellations are accepted also for a data centre that
// is out of service.
func (e CancelTasks) Apply(f *Fleet, now time.Time) []Action {
	if f.centres[e.DataCentre] == nil {
		e.Reply <- TaskAnswer{Outcome: zone.GroupRefused, Refusal: &Refusal{Code: CodeBadRequest, Reason: "no data centre " + e.DataCentre}}
		return nil
	}
	cancel := &zone.Cancel{Team: e.Team, IDs: e.IDs}
	f.intake(e.DataCentre).Add(zone.Request{Token: f.registerReply(e.Reply), Cancel: cancel}, now)
	return f.tickIntakes(now)
}

func (f *Fleet) registerReply(reply chan<- TaskAnswer) uint64 {
	f.tasks.lastToken++
	f.tasks.replies[f.tasks.lastToken] = reply
	return f.tasks.lastToken
}

func (f *Fleet) intake(dataCentre string) *zone.Intake {
	i := f.tasks.intakes[dataCentre]
	if i == nil {
		id := strings.ReplaceAll(f.self.ID, "/", "-")
		i = zone.NewIntake(dataCentre, fmt.Sprintf("%s-%x", id, f.self.Incarnation))
		f.tasks.intakes[dataCentre] = i
	}
	return i
}

// chooseDataCentre returns the named data centre. For an empty name it returns
// the process's own data centre or, while that is out of service, the preferred
// one of the others.
func (f *Fleet) chooseDataCentre(name string) (*zone.DataCentre, *Refusal) {
	if name != "" {
		centre := f.centres[name]
		if centre == nil {
			return nil, &Refusal{Code: CodeBadRequest, Reason: "no data centre " + name}
		}
		if centre.Out {
			return nil, &Refusal{Code: CodeDataCentreOut, Reason: "operators have taken " + name + " out of service"}
		}
		return centre, nil
	}
	own := f.centres[f.self.DataCentre]
	if own != nil && !own.Out {
		return own, nil
	}
	var best *zone.DataCentre
	for _, centre := range f.centres {
		if !centre.Out && (best == nil || f.preferred(centre, best)) {
			best = centre
		}
	}
	if best == nil {
		return nil, &Refusal{Code: CodeDataCentreOut, Reason: "every data centre is out of service", RetryAfter: 5 * time.Second}
	}
	return best, nil
}

// preferred reports whether data centre a is preferred to b: those of the own
// region come first, then the order of names decides.
func (f *Fleet) preferred(a, b *zone.DataCentre) bool {
	own := f.centres[f.self.DataCentre].Region
	if (a.Region == own) != (b.Region == own) {
		return a.Region == own
	}
	return a.Name < b.Name
}

// checkTasks returns the refusal when one of the tasks is invalid or can never
// run, otherwise nil. While the configuration is too old it refuses all tasks,
// because the caller's key may have been withdrawn.
func (f *Fleet) checkTasks(centre *zone.DataCentre, tasks []machine.Task, now time.Time) *Refusal {
	if len(tasks) == 0 || len(tasks) > zone.SegmentTasks {
		return &Refusal{Code: CodeBadRequest, Reason: fmt.Sprintf("%d tasks; accepted: 1 to %d", len(tasks), zone.SegmentTasks)}
	}
	for i := range tasks {
		t := &tasks[i]
		if refusal := f.checkTaskConfig(centre, t, now); refusal != nil {
			return refusal
		}
		if len(t.Payload) > zone.MaxPayload {
			return &Refusal{Code: CodeBadRequest, Reason: fmt.Sprintf("payload of %d bytes; accepted: up to %d", len(t.Payload), zone.MaxPayload)}
		}
		if t.Declared.MilliCores < 0 || t.Declared.MemoryMB < 0 || t.Declared.Accelerators < 0 || t.Connections < 0 {
			return &Refusal{Code: CodeBadRequest, Reason: "declared sizes must not be negative"}
		}
		if f.upperLimit(t.Team) == 0 {
			return &Refusal{Code: CodeImpossible, Reason: "the upper limit of team " + t.Team + " is 0"}
		}
		if reason := zone.ImpossibleReason(t, centre.Workers.MinimumSize(t), f.tasks.largestWorkers[centre.Name].largest); reason != "" {
			return &Refusal{Code: CodeImpossible, Reason: reason}
		}
	}
	return nil
}

// checkTaskConfig returns nil when the configuration is fresh enough for the
// task's service and the data centre is in service, otherwise the refusal.
func (f *Fleet) checkTaskConfig(centre *zone.DataCentre, t *machine.Task, now time.Time) *Refusal {
	object, ok := f.register.Get(contract.Ref{Kind: contract.KindDocument, Name: t.Service})
	if !ok {
		return &Refusal{Code: CodeUnknownService, Reason: "no document for service " + t.Service}
	}
	return f.CheckStart(object.Document, t.Idempotent, centre.Name, now)
}

func (f *Fleet) recordTaskRefusal(tasks []machine.Task, r *Refusal, now time.Time) {
	if len(tasks) == 0 {
		return
	}
	t := &tasks[0]
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectTeam, t.Team}, Action: "refuse", Reason: r.Code + ": " + r.Reason, Inputs: taskInputs(t)})
}

func taskInputs(t *machine.Task) []Input {
	return []Input{
		{"team", t.Team},
		{"service", t.Service},
		{"declared", fmt.Sprintf("%d millicores, %d MB, %d accelerators", t.Declared.MilliCores, t.Declared.MemoryMB, t.Declared.Accelerators)},
		{"urgent", fmt.Sprint(t.Urgent)},
		{"idempotent", fmt.Sprint(t.Idempotent)},
	}
}

// RegisterQueue adds a new queue to the roster of its data centre. The result is
// QueueRegistered.
type RegisterQueue struct{ DataCentre, Queue string }

func (RegisterQueue) isAction() {}

// QueueRegistered reports the end of a RegisterQueue.
type QueueRegistered struct {
	DataCentre, Queue string
	OK                bool
	SentAt            time.Time
}

// Apply implements Event. When the registration failed, the pending requests of
// the intake are refused.
func (e QueueRegistered) Apply(f *Fleet, now time.Time) []Action {
	delete(f.tasks.registering, e.DataCentre)
	i := f.intake(e.DataCentre)
	if !e.OK {
		f.answerRequests(i.RefuseWaiting())
		return nil
	}
	if e.Queue == i.Queue() {
		i.RecordRegistration(e.SentAt)
	}
	return f.tickIntakes(now)
}

// WriteGroup writes the segment of a group of requests. It fails when the key of
// the segment exists. The result is GroupEnded.
type WriteGroup struct {
	Ref     zone.SegmentRef
	Segment zone.Segment
}

func (WriteGroup) isAction() {}

// GroupEnded reports the end of a WriteGroup.
type GroupEnded struct {
	Ref     zone.SegmentRef
	Outcome zone.GroupOutcome
}

// Apply implements Event.
func (e GroupEnded) Apply(f *Fleet, now time.Time) []Action {
	f.answerRequests(f.intake(e.Ref.DataCentre).FinishWrite(e.Outcome, now))
	return f.tickIntakes(now)
}

func (f *Fleet) answerRequests(list []zone.RequestAnswer) {
	for _, a := range list {
		reply := f.tasks.replies[a.Token]
		delete(f.tasks.replies, a.Token)
		answer := TaskAnswer{Outcome: a.Outcome, IDs: a.IDs}
		if a.Outcome == zone.GroupRefused {
			answer.Refusal = &Refusal{Code: CodeNotAccepted, Reason: "the tasks were not stored in the platform", RetryAfter: time.Second}
		}
		if reply != nil {
			reply <- answer
		}
	}
}

// tickIntakes starts the writes and queue registrations that are due.
func (f *Fleet) tickIntakes(now time.Time) []Action {
	var actions []Action
	for name, i := range f.tasks.intakes {
		due := i.Due()
		if due.IsZero() || now.Before(due) || f.tasks.registering[name] {
			continue
		}
		if i.NeedsQueue(now) {
			f.tasks.registering[name] = true
			actions = append(actions, RegisterQueue{DataCentre: name, Queue: i.Queue()})
			continue
		}
		if g := i.Next(now); g != nil {
			actions = append(actions, WriteGroup{Ref: g.Ref, Segment: g.Segment})
		}
	}
	return actions
}

// tickTasks runs the due work of the intakes and the scheduler.
func (f *Fleet) tickTasks(now time.Time) []Action {
	actions := append(f.tickIntakes(now), f.tickSchedule(now)...)
	return append(actions, f.reconcileFreedAllotments(now)...)
}

// setTaskTimer sets the due time of tickTasks. The time is computed from the
// state each time before the control thread waits, so events need not update it.
func (f *Fleet) setTaskTimer() {
	if len(f.schedule.freed) > 0 {
		// Any time in the past makes the timer due immediately.
		f.tasks.timer.set(time.Unix(0, 1))
		return
	}
	f.tasks.timer.set(earliest(f.nextIntakeTick(), f.nextScheduleTick()))
}

// nextIntakeTick returns when tickIntakes is due. The zero time means that it is
// not.
func (f *Fleet) nextIntakeTick() time.Time {
	var next time.Time
	for name, i := range f.tasks.intakes {
		if due := i.Due(); !f.tasks.registering[name] {
			next = earliest(next, due)
		}
	}
	return next
}

// ReadLargestWorkers reads the capacities of the largest workers, as the scheduler
// of a data centre published them. The result is LargestWorkersRead.
type ReadLargestWorkers struct{ DataCentre string }

func (ReadLargestWorkers) isAction() {}

// PublishLargestWorkers publishes the capacities of the largest workers of a data
// centre. Every entry instance reads them to refuse tasks that no worker can run.
// It has no result.
type PublishLargestWorkers struct {
	DataCentre string
	Largest    []machine.Resources
}

func (PublishLargestWorkers) isAction() {}

// LargestWorkersRead reports the end of a ReadLargestWorkers. Largest is empty
// when nothing is published or the read failed.
type LargestWorkersRead struct {
	DataCentre string
	Largest    []machine.Resources
}

// Apply implements Event.
func (e LargestWorkersRead) Apply(f *Fleet, now time.Time) []Action {
	if len(e.Largest) > 0 {
		f.tasks.largestWorkers[e.DataCentre] = largestWorkersState{largest: e.Largest, readAt: now}
	}
	return nil
}

func (f *Fleet) refreshLargestWorkers(dataCentre string, now time.Time) []Action {
	known := f.tasks.largestWorkers[dataCentre]
	if !known.readAt.IsZero() && now.Sub(known.readAt) < maxLargestWorkersAge {
		return nil
	}
	known.readAt = now
	f.tasks.largestWorkers[dataCentre] = known
	return []Action{ReadLargestWorkers{DataCentre: dataCentre}}
}

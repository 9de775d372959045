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
	// CodeImpossible means that the task can never run as it is.
	CodeImpossible = "impossible"
	// CodeNotAccepted means that the platform did not take the task.
	CodeNotAccepted = "not-accepted"
)

// offerAge is the age at which what is known of a data centre's largest workers
// is read again.
const offerAge = 30 * time.Second

// taskState is the accepting side of the task queues of this process.
type taskState struct {
	intakes map[string]*zone.Intake
	wake    *wake
	waiting map[uint64]chan<- TaskAnswer
	tokens  uint64
	offers  map[string]offerState
	// registering is set while the intake of a data centre waits for a queue.
	registering map[string]bool
}

// offerState is what is known of the workers of a data centre.
type offerState struct {
	largest []machine.Resources
	readAt  time.Time
}

func newTaskState() taskState {
	return taskState{
		intakes:     make(map[string]*zone.Intake),
		waiting:     make(map[uint64]chan<- TaskAnswer),
		offers:      make(map[string]offerState),
		registering: make(map[string]bool),
	}
}

// TaskAnswer is the answer to SubmitTasks and CancelTasks.
type TaskAnswer struct {
	// Outcome is written, refused or unknown.
	Outcome zone.GroupOutcome
	IDs     []string
	// Refusal is set when nothing was accepted.
	Refusal *Refusal
}

// SubmitTasks asks to accept tasks of one team, all or none. Reply must have a
// free buffer place. "Written" is answered after the platform holds the tasks.
type SubmitTasks struct {
	// DataCentre is where the tasks shall run; empty means the process's own
	// one, or another one while it is out.
	DataCentre string
	// Tasks has 1 to zone.SegmentTasks tasks without ids.
	Tasks []machine.Task
	Reply chan<- TaskAnswer
}

// Apply implements Event.
func (e SubmitTasks) Apply(f *Fleet, now time.Time) []Action {
	centre, refusal := f.taskCentre(e.DataCentre)
	if refusal == nil {
		refusal = f.checkTasks(centre, e.Tasks, now)
	}
	if refusal != nil {
		f.explainRefusal(e.Tasks, refusal, now)
		e.Reply <- TaskAnswer{Outcome: zone.GroupRefused, Refusal: refusal}
		return nil
	}
	for i := range e.Tasks {
		e.Tasks[i].Phase, e.Tasks[i].SubmittedAt = machine.TaskQueued, now
	}
	f.intake(centre.Name).Add(zone.Request{Token: f.await(e.Reply), Tasks: e.Tasks}, now)
	return append(f.refreshOffer(centre.Name, now), f.tickIntakes(now)...)
}

// CancelTasks asks to cancel tasks of one team in one data centre, as one
// batch. Reply must have a free buffer place.
type CancelTasks struct {
	DataCentre string
	Team       string
	// IDs has 1 to zone.MaxCancels task ids.
	IDs   []string
	Reply chan<- TaskAnswer
}

// Apply implements Event. A data centre that is out takes cancellations.
func (e CancelTasks) Apply(f *Fleet, now time.Time) []Action {
	if f.centres[e.DataCentre] == nil {
		e.Reply <- TaskAnswer{Outcome: zone.GroupRefused, Refusal: &Refusal{Code: CodeBadRequest, Reason: "no data centre " + e.DataCentre}}
		return nil
	}
	cancel := &zone.Cancel{Team: e.Team, IDs: e.IDs}
	f.intake(e.DataCentre).Add(zone.Request{Token: f.await(e.Reply), Cancel: cancel}, now)
	return f.tickIntakes(now)
}

func (f *Fleet) await(reply chan<- TaskAnswer) uint64 {
	f.tasks.tokens++
	f.tasks.waiting[f.tasks.tokens] = reply
	return f.tasks.tokens
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

// taskCentre chooses the data centre of a submission.
func (f *Fleet) taskCentre(name string) (*zone.DataCentre, *Refusal) {
	if name != "" {
		centre := f.centres[name]
		if centre == nil {
			return nil, &Refusal{Code: CodeBadRequest, Reason: "no data centre " + name}
		}
		if centre.Out {
			return nil, &Refusal{Code: CodeCentreOut, Reason: "operators have taken " + name + " out"}
		}
		return centre, nil
	}
	own := f.centres[f.self.DataCentre]
	if own != nil && !own.Out {
		return own, nil
	}
	var best *zone.DataCentre
	for _, centre := range f.centres {
		if !centre.Out && (best == nil || f.nearer(centre, best)) {
			best = centre
		}
	}
	if best == nil {
		return nil, &Refusal{Code: CodeCentreOut, Reason: "every data centre is out", RetryAfter: 5 * time.Second}
	}
	return best, nil
}

// nearer reports whether a comes before b: the own region first, then by name.
func (f *Fleet) nearer(a, b *zone.DataCentre) bool {
	own := f.centres[f.self.DataCentre].Region
	if (a.Region == own) != (b.Region == own) {
		return a.Region == own
	}
	return a.Name < b.Name
}

// checkTasks refuses what can never run, and everything while the configuration
// is too old: the key may have been withdrawn.
func (f *Fleet) checkTasks(centre *zone.DataCentre, tasks []machine.Task, now time.Time) *Refusal {
	if len(tasks) == 0 || len(tasks) > zone.SegmentTasks {
		return &Refusal{Code: CodeBadRequest, Reason: fmt.Sprintf("%d tasks; accepted: 1 to %d", len(tasks), zone.SegmentTasks)}
	}
	for i := range tasks {
		t := &tasks[i]
		if refusal := f.mayRun(centre, t, now); refusal != nil {
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
		if reason := zone.Impossible(t, centre.Workers.Smallest(t), f.tasks.offers[centre.Name].largest); reason != "" {
			return &Refusal{Code: CodeImpossible, Reason: reason}
		}
	}
	return nil
}

// mayRun checks the age of the configuration and the data centre for a task.
func (f *Fleet) mayRun(centre *zone.DataCentre, t *machine.Task, now time.Time) *Refusal {
	object, ok := f.register.Get(contract.Ref{Kind: contract.KindDocument, Name: t.Service})
	if !ok {
		return &Refusal{Code: CodeUnknownService, Reason: "no document for service " + t.Service}
	}
	return f.MayStart(object.Document, t.Idempotent, centre.Name, now)
}

func (f *Fleet) explainRefusal(tasks []machine.Task, r *Refusal, now time.Time) {
	if len(tasks) == 0 {
		return
	}
	t := &tasks[0]
	f.Explain(Decision{At: now, Subject: Subject{SubjectTeam, t.Team}, Action: "refuse", Reason: r.Code + ": " + r.Reason, Inputs: taskInputs(t)})
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

// RegisterQueue puts a new queue on the roster of its data centre. The result
// is QueueRegistered.
type RegisterQueue struct{ DataCentre, Queue string }

func (RegisterQueue) isAction() {}

// QueueRegistered is the end of RegisterQueue.
type QueueRegistered struct {
	DataCentre, Queue string
	OK                bool
	SentAt            time.Time
}

// Apply implements Event. When no queue can be registered nothing is accepted.
func (e QueueRegistered) Apply(f *Fleet, now time.Time) []Action {
	delete(f.tasks.registering, e.DataCentre)
	i := f.intake(e.DataCentre)
	if !e.OK {
		f.answer(i.Abandon())
		return nil
	}
	if e.Queue == i.Queue() {
		i.Registered(e.SentAt)
	}
	return f.tickIntakes(now)
}

// WriteGroup writes the segment of a group under a key that does not exist. The
// result is GroupEnded.
type WriteGroup struct {
	Ref     zone.SegmentRef
	Segment zone.Segment
}

func (WriteGroup) isAction() {}

// GroupEnded is the end of WriteGroup.
type GroupEnded struct {
	Ref     zone.SegmentRef
	Outcome zone.GroupOutcome
}

// Apply implements Event.
func (e GroupEnded) Apply(f *Fleet, now time.Time) []Action {
	f.answer(f.intake(e.Ref.DataCentre).Finish(e.Outcome, now))
	return f.tickIntakes(now)
}

func (f *Fleet) answer(list []zone.Accepted) {
	for _, a := range list {
		reply := f.tasks.waiting[a.Token]
		delete(f.tasks.waiting, a.Token)
		answer := TaskAnswer{Outcome: a.Outcome, IDs: a.IDs}
		if a.Outcome == zone.GroupRefused {
			answer.Refusal = &Refusal{Code: CodeNotAccepted, Reason: "the platform did not take the tasks", RetryAfter: time.Second}
		}
		if reply != nil {
			reply <- answer
		}
	}
}

// tickIntakes starts the writes that are due.
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

// tickTasks runs what is due for tasks.
func (f *Fleet) tickTasks(now time.Time) []Action {
	actions := append(f.tickIntakes(now), f.tickSchedule(now)...)
	return append(actions, f.driveFreed(now)...)
}

// armTasks sets the due time of tickTasks. It is derived from the state, so that
// no event has to keep it up to date.
func (f *Fleet) armTasks() {
	if len(f.schedule.freed) > 0 {
		f.tasks.wake.set(time.Unix(0, 1))
		return
	}
	f.tasks.wake.set(earliest(f.wakeIntakes(), f.wakeSchedule()))
}

// wakeIntakes returns when tickIntakes has something to do.
func (f *Fleet) wakeIntakes() time.Time {
	var wake time.Time
	for name, i := range f.tasks.intakes {
		if due := i.Due(); !f.tasks.registering[name] {
			wake = earliest(wake, due)
		}
	}
	return wake
}

// ReadOffer reads what the scheduler of a data centre published about its
// workers. The result is OfferRead.
type ReadOffer struct{ DataCentre string }

func (ReadOffer) isAction() {}

// PublishOffer writes the largest workers of a data centre, so that every entry
// instance refuses impossible tasks at once.
type PublishOffer struct {
	DataCentre string
	Largest    []machine.Resources
}

func (PublishOffer) isAction() {}

// OfferRead is the end of ReadOffer. Largest is empty when it is not known.
type OfferRead struct {
	DataCentre string
	Largest    []machine.Resources
}

// Apply implements Event.
func (e OfferRead) Apply(f *Fleet, now time.Time) []Action {
	if len(e.Largest) > 0 {
		f.tasks.offers[e.DataCentre] = offerState{largest: e.Largest, readAt: now}
	}
	return nil
}

func (f *Fleet) refreshOffer(dataCentre string, now time.Time) []Action {
	known := f.tasks.offers[dataCentre]
	if !known.readAt.IsZero() && now.Sub(known.readAt) < offerAge {
		return nil
	}
	known.readAt = now
	f.tasks.offers[dataCentre] = known
	return []Action{ReadOffer{DataCentre: dataCentre}}
}

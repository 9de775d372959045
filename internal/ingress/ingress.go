// Package ingress serves callers: it checks keys, accepts jobs, and answers for
// their state. It runs on traffic goroutines, reads immutable views of the
// control state, and knows no encoding, so that other front ends can use it.
package ingress

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// Times of a request.
const (
	// keyMargin is taken off the time after which a withdrawn key must not work:
	// it covers the error of the clock rates.
	keyMargin = 500 * time.Millisecond
	// settleReserve is kept of the caller's deadline for the answer's way back.
	settleReserve = 200 * time.Millisecond
	// defaultDeadline applies when the caller names none.
	defaultDeadline = 3 * time.Second
	// longestDeadline bounds what a caller may ask for.
	longestDeadline = 10 * time.Second
	// viewLimit is the age of the node's copy up to which the state of a job that
	// is still running is answered from it.
	viewLimit = 1500 * time.Millisecond
	// RetryAfter is when a refused caller should come back.
	RetryAfter = time.Second
)

// Code is the outcome of a request.
type Code int

// Outcomes of a request.
const (
	// Accepted jobs are stored.
	Accepted Code = iota
	// Shown answers carry a state or a queue's length.
	Shown
	// Withdrawn means that the cancellation is stored or the job has ended.
	Withdrawn
	// NotRun means that nothing was stored and the request never takes effect.
	NotRun
	// Unsettled means that the request may have taken effect.
	Unsettled
	// NoQueue means that no queue matches.
	NoQueue
	// NoJob means that no such job exists.
	NoJob
	// BadKey means that the key is not known.
	BadKey
	// OtherTeam means that the job belongs to another team.
	OtherTeam
	// Invalid requests are malformed.
	Invalid
	// Unavailable means that a state could not be read.
	Unavailable
)

var codeNames = [...]string{"accepted", "shown", "withdrawn", "not-run", "unsettled", "no-queue", "no-job", "bad-key", "other-team", "invalid", "unavailable"}

// String returns the name that logs and metrics use.
func (c Code) String() string { return codeNames[c] }

// Answer is the outcome of a request.
type Answer struct {
	Code   Code
	Reason string
	State  job.State
	// Pending is a queue's length.
	Pending int
	// Queue, Team and Job are empty when they did not become known.
	Queue, Team string
	Job         job.ID
	// Version is the configuration that decided, Age how old the node's reading of
	// it was.
	Version int64
	Age     time.Duration
}

// View is what traffic goroutines know of the control state.
type View struct {
	Config *policy.Configuration
	// ConfigAsOf is the time up to which Config is known to be the newest.
	ConfigAsOf time.Time
}

// Control answers questions about the control state.
type Control interface {
	View() View
	Job(ctx context.Context, id job.ID) (scheduler.JobView, error)
	Pending(ctx context.Context, queue string) (int, error)
}

// Result is the outcome of a write to the store.
type Result int

// Outcomes of a write.
const (
	Stored Result = iota
	// NotStored means that the write certainly has no effect, now or later.
	NotStored
	// Unknown means that the write may have, or may still get, its effect.
	Unknown
	// Absent means that the job to cancel does not exist.
	Absent
)

// Store keeps jobs.
type Store interface {
	// Accept stores a job unless its id is taken. A taken id counts as Stored.
	Accept(j *job.Job, until time.Time) Result
	// Cancel stores the cancellation of a job of the given creation revision.
	Cancel(id job.ID, revision int64, until time.Time) Result
	// Read returns the job as the store holds it now.
	Read(id job.ID, until time.Time) (view scheduler.JobView, err error)
}

// Service serves callers.
type Service struct {
	control Control
	store   Store
	clock   func() time.Time
	horizon time.Duration
}

// New returns a service. KeyWithdrawal is the time after which a withdrawn key
// must not work.
func New(control Control, store Store, clock func() time.Time, keyWithdrawal time.Duration) *Service {
	return &Service{control: control, store: store, clock: clock, horizon: keyWithdrawal - keyMargin}
}

// Request is what every call carries.
type Request struct {
	Host, Path, Key string
	// Wait is how long the caller waits for the answer, 0 when it does not say.
	Wait time.Duration
}

func (r Request) deadline(now time.Time) time.Time {
	wait := r.Wait
	if wait <= 0 {
		wait = defaultDeadline
	}
	return now.Add(min(wait, longestDeadline) - settleReserve)
}

// admission is a request whose queue and team are known.
type admission struct {
	queue *policy.Queue
	team  string
	rest  string
	// answer has Code Accepted when the request may go on.
	answer Answer
}

// admit finds the queue and checks the key.
func (s *Service) admit(r Request, now time.Time) admission {
	view := s.control.View()
	if view.Config == nil {
		return admission{answer: Answer{Code: NotRun, Reason: "no configuration is known yet"}}
	}
	a := admission{answer: Answer{Version: view.Config.Version, Age: now.Sub(view.ConfigAsOf)}}
	if a.answer.Age > s.horizon {
		a.answer.Code, a.answer.Reason = NotRun, "the configuration may be out of date"
		return a
	}
	queue, rest, ok := view.Config.Route(r.Host, r.Path)
	if !ok {
		a.answer.Code, a.answer.Reason = NoQueue, "no queue matches the host and path"
		return a
	}
	team, known := view.Config.TeamOf(r.Key)
	if !known && !queue.Public {
		a.answer.Code, a.answer.Reason, a.answer.Queue = BadKey, "the key is not known", queue.Name
		return a
	}
	a.queue, a.team, a.rest = queue, team, rest
	a.answer.Queue, a.answer.Team = queue.Name, team
	return a
}

// ParseBody decodes a job. Package platform provides it.
type ParseBody func() (job.Spec, error)

// Submit accepts a job. "Accepted" is answered only after the store holds it.
func (s *Service) Submit(r Request, parse ParseBody) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		return a.answer
	}
	id, ok := job.ParseID(a.rest)
	if !ok {
		return a.refuse(Invalid, "the job's id is not 16 hexadecimal digits")
	}
	a.answer.Job = id
	spec, err := parse()
	if err != nil {
		return a.refuse(Invalid, err.Error())
	}
	j := job.New(id, terms(a.queue, a.team), spec, now.UnixMilli(), 0)
	switch s.store.Accept(j, r.deadline(now)) {
	case Stored:
		a.answer.Code = Accepted
		return a.answer
	case NotStored:
		return a.refuse(NotRun, "the store does not take the job")
	}
	return a.refuse(Unsettled, "the store has not confirmed the job")
}

func terms(q *policy.Queue, team string) job.Terms {
	return job.Terms{
		Queue: q.Name, Service: q.Service, Team: team, Priority: q.Priority, Attempts: q.Attempts,
		Stretch: q.Stretch, Objective: q.Objective, Advised: q.Advised,
	}
}

func (a *admission) refuse(code Code, reason string) Answer {
	a.answer.Code, a.answer.Reason = code, reason
	return a.answer
}

// Show answers for the state of a job, or the length of a queue when the path
// names no job.
func (s *Service) Show(ctx context.Context, r Request) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		if a.answer.Code == NotRun {
			a.answer.Code = Unavailable
		}
		return a.answer
	}
	if a.rest == "" {
		n, err := s.control.Pending(ctx, a.queue.Name)
		if err != nil {
			return a.refuse(Unavailable, err.Error())
		}
		a.answer.Code, a.answer.Pending = Shown, n
		return a.answer
	}
	view, answer := s.find(ctx, &a, r, now)
	if answer != nil {
		return *answer
	}
	a.answer.Code, a.answer.State = Shown, view.State
	return a.answer
}

// find returns the job that a request names, or the answer that ends it.
func (s *Service) find(ctx context.Context, a *admission, r Request, now time.Time) (scheduler.JobView, *Answer) {
	end := func(code Code, reason string) (scheduler.JobView, *Answer) {
		answer := a.refuse(code, reason)
		return scheduler.JobView{}, &answer
	}
	id, ok := job.ParseID(a.rest)
	if !ok {
		return end(NoJob, "the job's id is not 16 hexadecimal digits")
	}
	a.answer.Job = id
	view, err := s.control.Job(ctx, id)
	if err != nil {
		return end(Unavailable, err.Error())
	}
	if !view.Known || !view.State.Final() && now.Sub(view.AsOf) > viewLimit {
		read, err := s.store.Read(id, r.deadline(now))
		if err == nil {
			view = read
		} else if !view.Known {
			return end(Unavailable, err.Error())
		}
	}
	if !view.Known || view.Queue != a.queue.Name {
		return end(NoJob, "no such job exists in this queue")
	}
	if view.Team != a.team && view.Team != "" {
		return end(OtherTeam, "the job belongs to another team")
	}
	return view, nil
}

// Cancel withdraws a job.
func (s *Service) Cancel(ctx context.Context, r Request) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		return a.answer
	}
	view, answer := s.find(ctx, &a, r, now)
	if answer != nil {
		return *answer
	}
	if view.State.Final() {
		a.answer.Code, a.answer.State = Withdrawn, view.State
		return a.answer
	}
	switch s.store.Cancel(view.ID, view.Revision, r.deadline(now)) {
	case Stored:
		a.answer.Code, a.answer.State = Withdrawn, job.Cancelled
		return a.answer
	case NotStored:
		return a.refuse(NotRun, "the store does not take the cancellation")
	case Absent:
		return a.refuse(NoJob, "the job is no longer kept")
	}
	return a.refuse(Unsettled, "the store has not confirmed the cancellation")
}

// Package ingress serves callers: it checks API keys, accepts and cancels jobs,
// and reports their state. It runs on traffic goroutines and reads immutable
// views of the control state. It contains no encoding of messages, so that
// other front ends can use it.
package ingress

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// Deadlines and staleness limits of requests.
const (
	// keyClockMargin is subtracted from the time after which a withdrawn key must
	// no longer be accepted. It covers the difference in rate between clocks.
	keyClockMargin = 500 * time.Millisecond
	// applyMargin is subtracted from the time after which a version of the
	// configuration must be in force. It covers the time between the check of the
	// copy's age and the answer, and the difference in rate between clocks.
	applyMargin = 250 * time.Millisecond
	// answerReserve is subtracted from the caller's deadline, to leave time for
	// the answer to reach the caller.
	answerReserve = 200 * time.Millisecond
	// defaultDeadline applies if the caller sends no deadline.
	defaultDeadline = 3 * time.Second
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = 10 * time.Second
	// maxJobViewAge is the age of the node's copy of the jobs up to which it is
	// used to report the state of an unfinished job. If the copy is older, the
	// store is read.
	maxJobViewAge = 1500 * time.Millisecond
)

// Code is the outcome of a request.
type Code int

// Outcomes of a request.
const (
	// Accepted means that the job is stored.
	Accepted Code = iota
	// Shown means that the answer carries a job's state or a queue's length.
	Shown
	// Withdrawn means that the cancellation is stored or the job has already
	// ended.
	Withdrawn
	// NotRun means that nothing was stored and the request will never take effect.
	NotRun
	// Unsettled means that the store has not confirmed the request, which may or
	// may not take effect.
	Unsettled
	// NoQueue means that no queue matches the host and path.
	NoQueue
	// NoJob means that the queue has no such job. After a cancellation it also means that
	// the job cannot be stored later.
	NoJob
	// CancelledBefore means that the job was cancelled before it was stored. It never
	// runs.
	CancelledBefore
	// BadKey means that the API key is unknown.
	BadKey
	// OtherTeam means that the job and the API key belong to different teams.
	OtherTeam
	// Invalid means that the request is malformed.
	Invalid
	// Unavailable means that the state could not be read.
	Unavailable
	// OverCapacity means that nothing was stored, because the job could not be completed
	// in time to be of use. The request will never take effect.
	OverCapacity
)

var codeNames = [...]string{"accepted", "shown", "withdrawn", "not-run", "unsettled", "no-queue", "no-job", "cancelled-before", "bad-key", "other-team", "invalid", "unavailable", "over-capacity"}

// String returns the name of the outcome in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// Answer is the outcome of a request.
type Answer struct {
	Code   Code
	Reason string
	State  job.State
	// Pending is the number of jobs in a queue that have not started.
	Pending int
	// RetryAfter is the delay after which a caller should try again, set if Code is
	// NotRun, Unavailable or OverCapacity.
	RetryAfter time.Duration
	// Refusal has the figures behind the answer if Code is OverCapacity.
	Refusal admission.Decision
	// Queue, Team and Job are empty if the request was refused before they were
	// determined.
	Queue, Team string
	Job         job.ID
	// ConfigVersion is the version of the configuration that the decision used,
	// ConfigAge how long ago the node had last confirmed it.
	ConfigVersion int64
	ConfigAge     time.Duration
}

// View is an immutable snapshot of the control state for traffic goroutines.
type View struct {
	// Config is nil until the node has read a configuration.
	Config *policy.Configuration
	// ConfigAsOf is the time at which Config was last known to be the newest.
	ConfigAsOf time.Time
	// ConfigSuperseded is true if another node has accepted a job by a newer version
	// than Config.
	ConfigSuperseded bool
	// Rooms are the services with more work than they can do in time, nil if every job
	// is accepted.
	Rooms *admission.Rooms
	// JobMemory is what the known jobs take, nil if every job is accepted.
	JobMemory *admission.JobMemory
}

// Control gives access to the control state. It is safe for concurrent use.
type Control interface {
	// View returns the newest view without blocking.
	View() View
	// Job queries the control thread for a job.
	Job(ctx context.Context, id job.ID) (scheduler.JobView, error)
	// Pending queries the control thread for the number of jobs in a queue that
	// have not started.
	Pending(ctx context.Context, queue policy.QueueRef) (int, error)
}

// WriteResult is the outcome of a write to the store.
type WriteResult int

// Outcomes of a write.
const (
	Stored WriteResult = iota
	// NotStored means that the write has no effect, now or later.
	NotStored
	// WriteUnknown means that the write may have taken effect or may still do so.
	WriteUnknown
	// JobChanged means that nothing was stored, because the job to cancel was removed
	// or stored since it was read.
	JobChanged
	// JobCancelled means that nothing was stored, because the job to store has been
	// cancelled.
	JobCancelled
)

// Store stores jobs. The parameter until is the caller's deadline. A Store is
// safe for concurrent use.
type Store interface {
	// Accept stores a job unless a job with its ID exists, which counts as Stored, or
	// the ID was cancelled.
	Accept(j *job.Job, until time.Time) WriteResult
	// Cancel stores the cancellation of the job with the given creation revision. With
	// revision 0 the job must not exist, and cannot be stored afterwards.
	Cancel(id job.ID, revision int64, until time.Time) WriteResult
	// Holds reports whether the store holds a job now.
	Holds(id job.ID, timeout time.Duration) (bool, error)
	// Read reads the present state of a job from the store. Known is false if the
	// job does not exist.
	Read(id job.ID, until time.Time) (view scheduler.JobView, err error)
	// RetryAfter returns the delay after which a caller whose request was refused
	// should try again.
	RetryAfter() time.Duration
	// ReadState reads the state of a job that exists and is not cancelled.
	ReadState(id job.ID, until time.Time) (job.State, error)
}

// Service handles callers' requests. It is safe for concurrent use.
type Service struct {
	control      Control
	store        Store
	clock        func() time.Time
	maxConfigAge time.Duration
	openJobs     openJobs
	recentJobs   recentJobs
}

// New returns a service. It refuses requests if the node has not confirmed its
// configuration for longer than maxConfigAge.
func New(control Control, store Store, clock func() time.Time, maxConfigAge time.Duration) *Service {
	return &Service{control: control, store: store, clock: clock, maxConfigAge: maxConfigAge}
}

// MaxConfigAge returns the age up to which a copy of the configuration decides about
// requests. KeyWithdrawal is the time after which a withdrawn key must no longer be
// accepted, configApply the time after which any version must be in force.
func MaxConfigAge(keyWithdrawal, configApply time.Duration) time.Duration {
	return min(keyWithdrawal-keyClockMargin, configApply-applyMargin)
}

// Request holds the fields that every request of a caller carries.
type Request struct {
	Host, Path, Key string
	// Wait is how long the caller waits for the answer, 0 if it is not known.
	Wait time.Duration
}

func (r Request) deadline(now time.Time) time.Time {
	wait := r.Wait
	if wait <= 0 {
		wait = defaultDeadline
	}
	return now.Add(min(wait, maxDeadline) - answerReserve)
}

// matched is the result of matching a request to its queue and team.
type matched struct {
	// queue is nil if the request was refused; answer then has the reason.
	queue *policy.Queue
	team  string
	// jobPath is the part of the path after the queue's prefix: the job's ID, or
	// empty.
	jobPath string
	// rooms and memory are those of the view that the request was matched by, config its
	// configuration.
	rooms  *admission.Rooms
	memory *admission.JobMemory
	config *policy.Configuration
	// answer is the answer so far. Its Code is Accepted unless the request was
	// refused.
	answer Answer
}

// admit finds the queue of a request and checks its key. It refuses the request
// if the configuration is older than maxConfigAge, because the key may have been
// withdrawn, or a queue added or removed, since.
func (s *Service) admit(r Request, now time.Time) matched {
	view := s.control.View()
	if view.Config == nil {
		return matched{answer: Answer{Code: NotRun, Reason: "no configuration has been read yet", RetryAfter: s.store.RetryAfter()}}
	}
	a := matched{answer: Answer{ConfigVersion: view.Config.Version, ConfigAge: now.Sub(view.ConfigAsOf), RetryAfter: s.store.RetryAfter()}}
	if a.answer.ConfigAge > s.maxConfigAge || view.ConfigSuperseded {
		a.answer.Code, a.answer.Reason = NotRun, "the configuration may be out of date"
		return a
	}
	queue, rest, ok := view.Config.Route(r.Host, r.Path)
	if !ok {
		a.answer.Code, a.answer.Reason = NoQueue, "no queue matches the host and path"
		return a
	}
	team, keyKnown := view.Config.TeamOf(r.Key)
	if !keyKnown && !queue.Public {
		a.answer.Code, a.answer.Reason, a.answer.Queue = BadKey, "the API key is unknown", queue.Name
		return a
	}
	a.queue, a.team, a.jobPath, a.rooms, a.memory, a.config = queue, team, rest, view.Rooms, view.JobMemory, view.Config
	a.answer.Queue, a.answer.Team = queue.Name, team
	return a
}

// ParseJobFunc decodes and checks the job in a request's body. The front end
// provides it.
type ParseJobFunc func() (job.Spec, error)

// Submit accepts a job. It returns Accepted only after the store has confirmed
// the write.
func (s *Service) Submit(r Request, parse ParseJobFunc) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		return a.answer
	}
	id, ok := job.ParseID(a.jobPath)
	if !ok {
		return a.refuse(Invalid, "the job's id is not 16 hexadecimal digits")
	}
	a.answer.Job = id
	spec, err := parse()
	if err != nil {
		return a.refuse(Invalid, err.Error())
	}
	j := job.New(id, jobTerms(a.queue, a.team, a.answer.ConfigVersion), spec, now.UnixMilli(), 0)
	result, refused := s.storeUnlessRefused(&a, j, now, r.deadline(now))
	if refused {
		return a.answer
	}
	switch result {
	case Stored:
		a.answer.Code = Accepted
		return a.answer
	case NotStored:
		return a.refuse(NotRun, "the store does not take the job")
	case JobCancelled:
		return a.refuse(CancelledBefore, "the job was cancelled before it was accepted; it never runs")
	}
	return a.refuse(Unsettled, "the store has not confirmed the job")
}

func jobTerms(q *policy.Queue, team string, configVersion int64) job.Terms {
	return job.Terms{
		Queue: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Team: team, Priority: q.Priority, Attempts: q.Attempts,
		Stretch: q.Stretch, Objective: q.Objective, RequiresAdvice: q.RequiresAdvice,
		ConfigVersion: configVersion,
	}
}

func (a *matched) refuse(code Code, reason string) Answer {
	a.answer.Code, a.answer.Reason = code, reason
	return a.answer
}

// Show returns the state of a job, or the length of a queue if the path names
// no job.
func (s *Service) Show(ctx context.Context, r Request) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		if a.answer.Code == NotRun {
			a.answer.Code = Unavailable
		}
		return a.answer
	}
	if a.jobPath == "" {
		n, err := s.control.Pending(ctx, a.queue.Ref())
		if err != nil {
			return a.refuse(Unavailable, err.Error())
		}
		a.answer.Code, a.answer.Pending = Shown, n
		return a.answer
	}
	view, answer := s.findJob(ctx, &a, r, now)
	if answer != nil {
		return *answer
	}
	if !view.Known {
		return a.refuse(NoJob, noJobReason)
	}
	a.answer.Code, a.answer.State = Shown, view.State
	return a.answer
}

const noJobReason = "no such job exists in this queue"

// findJob returns the job that a request names, or the answer that refuses the
// request. View.Known is false if the job does not exist. It reads the store if the
// node's copy does not contain the job, or does not show its present state.
func (s *Service) findJob(ctx context.Context, a *matched, r Request, now time.Time) (scheduler.JobView, *Answer) {
	refuseWith := func(code Code, reason string) (scheduler.JobView, *Answer) {
		answer := a.refuse(code, reason)
		return scheduler.JobView{}, &answer
	}
	id, ok := job.ParseID(a.jobPath)
	if !ok {
		return refuseWith(NoJob, "the job's id is not 16 hexadecimal digits")
	}
	a.answer.Job = id
	view, err := s.control.Job(ctx, id)
	if err != nil {
		return refuseWith(Unavailable, err.Error())
	}
	current := view.Known && now.Sub(view.AsOf) <= maxJobViewAge
	switch {
	case view.Known && view.State.Final(), current && view.StateKnown:
	case current:
		view.State, err = s.store.ReadState(id, r.deadline(now))
	default:
		view, err = s.store.Read(id, r.deadline(now))
	}
	if err != nil {
		return refuseWith(Unavailable, err.Error())
	}
	if !view.Known {
		return scheduler.JobView{ID: id}, nil
	}
	// A job of a queue that was removed is known in every queue: "no such job" would be
	// untrue, and a cancellation that is answered so has no effect.
	if own, ok := a.config.Resolve(view.Queue); ok && own != a.queue {
		return refuseWith(NoJob, noJobReason)
	}
	if view.Team != a.team && view.Team != "" {
		return refuseWith(OtherTeam, "the job belongs to another team")
	}
	return view, nil
}

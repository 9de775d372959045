package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Limits of requests to the advice service.
const (
	// maxAdviceBatch is the largest number of workers in a request. The completion
	// objective of a job leaves time for one request with 30 workers.
	maxAdviceBatch = 30
	// adviceRetryDelay is the delay after a request that failed.
	adviceRetryDelay = 150 * time.Millisecond
	// maxTicketReserve and reserveShare limit the part of a ticket's validity that is left
	// for the start to arrive: to 200 ms, and to a quarter of the validity.
	maxTicketReserve = 200 * time.Millisecond
	reserveShare     = 4
)

// stepName returns the name of a step of an occurrence in requests to the advice
// service.
func stepName(o *job.Occurrence, step int) string {
	return string(o.Job.ID) + "." + strconv.Itoa(o.Number) + "." + strconv.Itoa(step)
}

// permission is the answer of the advice service about one worker for a step:
// whether the step may run there and, if so, the ticket for its starts.
type permission struct {
	approved bool
	ticket   string
	// usableUntil is until when a start with the ticket may be ordered.
	usableUntil time.Time
}

func (p *permission) usable(now time.Time) bool { return p.approved && now.Before(p.usableUntil) }

// adviceState holds the answers of the advice service for jobs that have not ended.
type adviceState struct {
	// steps maps a step's name to permissions by worker. Whether a worker is
	// approved for a step does not change, but its ticket expires.
	steps      map[string]map[string]permission
	requesting bool
	nextAt     time.Time
	// failures counts the last requests, which were not answered.
	failures int
}

// RequestAdvice asks the advice service which workers a step may run on. The
// result is AdviceAnswered.
type RequestAdvice struct {
	Step    string
	Workers []string
	Fence   int64
	// ServiceTime is how long the service takes for the request.
	ServiceTime time.Duration
}

func (RequestAdvice) isAction() {}

// AdviceAnswered is the result of RequestAdvice.
type AdviceAnswered struct {
	Step    string
	Workers []string
	Fence   int64
	OK      bool
	// Tickets maps the approved workers to their tickets, which are valid for
	// Validity from the answer on.
	Tickets  map[string]string
	Validity time.Duration
	// The request was sent at SentAt and took the service at least ServiceTime.
	SentAt      time.Time
	ServiceTime time.Duration
}

// usableUntil returns until when starts with the tickets may be ordered. The answer may be
// older than its arrival, but not than the time that the service takes for it.
func (e *AdviceAnswered) usableUntil(now time.Time) time.Time {
	usable := e.Validity - min(maxTicketReserve, e.Validity/reserveShare)
	answeredAt := e.SentAt.Add(e.ServiceTime)
	if until := answeredAt.Add(usable); answeredAt.Before(now) && now.Before(until) {
		return until
	}
	// Tickets that would have expired on their way are tried too: the next answer may take
	// as long, and a worker refuses a start whose ticket has expired.
	return now.Add(usable)
}

// Apply implements Event.
func (e AdviceAnswered) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.advice.requesting = false
	s.place.roundNeeded = true
	if !e.OK {
		s.advice.failures++
		s.advice.nextAt = now.Add(adviceRetryDelay)
		return
	}
	s.advice.failures = 0
	permissions := s.advice.steps[e.Step]
	if permissions == nil {
		permissions = make(map[string]permission)
		s.advice.steps[e.Step] = permissions
	}
	usableUntil := e.usableUntil(now)
	for _, id := range e.Workers {
		ticket, approved := e.Tickets[id]
		permissions[id] = permission{approved, ticket, usableUntil}
	}
	s.log("advice", "step", e.Step, "asked", len(e.Workers), "good", len(e.Tickets), "validity_ms", e.Validity.Milliseconds(),
		"took_ms", now.Sub(e.SentAt).Milliseconds(), "service_ms", e.ServiceTime.Milliseconds(), "usable_ms", usableUntil.Sub(now).Milliseconds())
}

// allowedWorkers returns a filter for the workers on which a task of the step may
// start now: every worker, or those with a valid ticket if the queue requires
// advice.
func (s *Scheduler) allowedWorkers(o *job.Occurrence, step int, now time.Time) func(*worker.Worker) bool {
	if !s.requiresAdvice(o.Job) {
		return anyWorker
	}
	permissions := s.advice.steps[stepName(o, step)]
	return func(w *worker.Worker) bool {
		p := permissions[w.ID]
		return p.usable(now)
	}
}

// requiresAdvice reports whether the job's queue requires advice. If the queue was
// removed, the terms at the job's acceptance decide.
func (s *Scheduler) requiresAdvice(j *job.Job) bool {
	if q, ok := s.queueOf(j); ok {
		return q.RequiresAdvice
	}
	return j.Terms.RequiresAdvice
}

// ticket returns the ticket to send with a start, empty if the queue does not
// require advice.
func (s *Scheduler) ticket(t *job.Task, w *worker.Worker) string {
	if !s.requiresAdvice(t.Occurrence.Job) {
		return ""
	}
	return s.advice.steps[stepName(t.Occurrence, t.Step)][w.ID].ticket
}

// requestAdvice asks the advice service about further workers for a step for
// which no allowed worker is free. One request is under way at a time.
func (s *Scheduler) requestAdvice(o *job.Occurrence, step int, workers []*worker.Worker, now time.Time) {
	if s.advice.requesting || !s.requiresAdvice(o.Job) {
		return
	}
	if now.Before(s.advice.nextAt) {
		s.requestTick(s.advice.nextAt)
		return
	}
	name, spec := stepName(o, step), &o.Job.Spec.Steps[step]
	var advice policy.Advice
	if q, ok := s.queueOf(o.Job); ok {
		advice = q.Advice
	}
	ids := s.adviceCandidates(s.advice.steps[name], spec, workers, now)
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), adviceBatch(advice, spec.Gang, s.advice.failures))]
	s.advice.requesting = true
	s.act(RequestAdvice{Step: name, Workers: ids, Fence: s.fence(), ServiceTime: advice.ServiceTime(len(ids))})
}

// adviceBatch returns how many workers to name in a request. A request takes at most half
// of the validity of its tickets if that is possible, so that those of one answer are
// usable until the next; but no less time is spent on the workers than on the decision. A
// gang needs its tickets at the same time. After failures a request names fewer workers,
// as the service may take longer than its figures say.
func adviceBatch(a policy.Advice, gang bool, failures int) int {
	batch := maxAdviceBatch
	if a.PerWorker > 0 && !gang {
		batch = int(min(maxAdviceBatch, max(a.Decision, a.Validity/2-a.Decision)/a.PerWorker))
	}
	return max(1, batch>>min(failures, maxAdviceBatch))
}

// adviceCandidates returns the ids of the workers that may be asked about: approved
// workers whose ticket has expired, then workers not asked about yet, each in order of
// descending free processor capacity.
func (s *Scheduler) adviceCandidates(permissions map[string]permission, spec *job.Step, workers []*worker.Worker, now time.Time) []string {
	var list []*worker.Worker
	for _, w := range workers {
		p, asked := permissions[w.ID]
		if asked && (!p.approved || p.usable(now)) || !w.Fits(spec) || !w.HasLabel(spec.Label) {
			continue
		}
		list = append(list, w)
	}
	slices.SortStableFunc(list, func(a, b *worker.Worker) int {
		rank := func(w *worker.Worker) int {
			if permissions[w.ID].approved {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Free().MilliCores, a.Free().MilliCores))
	})
	ids := make([]string, 0, maxAdviceBatch)
	for _, w := range list[:min(len(list), maxAdviceBatch)] {
		ids = append(ids, w.ID)
	}
	return ids
}

// dropAdvice removes the answers for a job that has ended.
func (s *Scheduler) dropAdvice(j *job.Job) {
	if len(s.advice.steps) == 0 {
		return
	}
	for n := range j.Occurrences() {
		for step := range j.Spec.Steps {
			delete(s.advice.steps, string(j.ID)+"."+strconv.Itoa(n)+"."+strconv.Itoa(step))
		}
	}
}

package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Bounds of questions to the advice service.
const (
	// adviceBatch is the number of workers in a question: the service takes time
	// for each, and a job's objective allows for one question on 30.
	adviceBatch = 30
	// adviceRetry is the pause after a question that failed.
	adviceRetry = 150 * time.Millisecond
	// ticketReserve is the life that a ticket must have left at a start.
	ticketReserve = 200 * time.Millisecond
)

// stepName names a step of an occurrence as the advice service does.
func stepName(o *job.Occurrence, step int) string {
	return string(o.Job.ID) + "." + strconv.Itoa(o.Number) + "." + strconv.Itoa(step)
}

// permission is what the advice service said of a worker for a step.
type permission struct {
	good   bool
	ticket string
	until  time.Time
}

// adviceState holds the answers for steps whose tasks are not all placed.
type adviceState struct {
	// steps maps a step's name to permissions by worker. Whether a worker is good
	// for a step does not change; its ticket expires.
	steps  map[string]map[string]permission
	asking bool
	nextAt time.Time
}

// AskAdvice asks the advice service. The answer is Advised.
type AskAdvice struct {
	Step    string
	Workers []string
	Fence   int64
}

func (AskAdvice) isAction() {}

// Advised is the answer to AskAdvice.
type Advised struct {
	Step    string
	Workers []string
	Fence   int64
	OK      bool
	// Tickets maps good workers to their tickets, which are valid for Validity
	// from SentAt on.
	Tickets  map[string]string
	Validity time.Duration
	SentAt   time.Time
}

// Apply implements Event.
func (e Advised) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.advice.asking = false
	s.place.dirty = true
	if !e.OK {
		s.advice.nextAt = now.Add(adviceRetry)
		return
	}
	known := s.advice.steps[e.Step]
	if known == nil {
		known = make(map[string]permission)
		s.advice.steps[e.Step] = known
	}
	for _, id := range e.Workers {
		ticket, good := e.Tickets[id]
		known[id] = permission{good, ticket, e.SentAt.Add(e.Validity)}
	}
	s.note("advice", "step", e.Step, "asked", len(e.Workers), "good", len(e.Tickets), "validity_ms", e.Validity.Milliseconds())
}

// allowedBy returns which workers a task may start on and the ticket for each.
func (s *Scheduler) allowedBy(o *job.Occurrence, step int, now time.Time) func(*worker.Worker) bool {
	if !s.advised(o.Job) {
		return anyWorker
	}
	known := s.advice.steps[stepName(o, step)]
	return func(w *worker.Worker) bool {
		p := known[w.ID]
		return p.good && now.Add(ticketReserve).Before(p.until)
	}
}

func (s *Scheduler) advised(j *job.Job) bool {
	if q, ok := s.config.Queue(j.Terms.Queue); ok {
		return q.Advised
	}
	return j.Terms.Advised
}

// ticket returns the permission to send with a start, empty where none is
// needed.
func (s *Scheduler) ticket(t *job.Task, w *worker.Worker) string {
	if !s.advised(t.Occurrence.Job) {
		return ""
	}
	return s.advice.steps[stepName(t.Occurrence, t.Step)][w.ID].ticket
}

// seekAdvice asks for workers for a step that found none.
func (s *Scheduler) seekAdvice(o *job.Occurrence, step int, workers []*worker.Worker, now time.Time) {
	if s.advice.asking || !s.advised(o.Job) {
		return
	}
	if now.Before(s.advice.nextAt) {
		s.wake(s.advice.nextAt)
		return
	}
	name := stepName(o, step)
	ask := s.adviceCandidates(s.advice.steps[name], &o.Job.Spec.Steps[step], workers, now)
	if len(ask) == 0 {
		return
	}
	s.advice.asking = true
	s.act(AskAdvice{Step: name, Workers: ask, Fence: s.fence()})
}

// adviceCandidates returns the workers to ask about: known good ones whose
// ticket has expired before new ones, those with most room first.
func (s *Scheduler) adviceCandidates(known map[string]permission, spec *job.Step, workers []*worker.Worker, now time.Time) []string {
	var list []*worker.Worker
	for _, w := range workers {
		p, asked := known[w.ID]
		if asked && (!p.good || now.Add(ticketReserve).Before(p.until)) || !w.Fits(spec) || !w.HasLabel(spec.Label) {
			continue
		}
		list = append(list, w)
	}
	slices.SortStableFunc(list, func(a, b *worker.Worker) int {
		rank := func(w *worker.Worker) int {
			if known[w.ID].good {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Free().MilliCores, a.Free().MilliCores))
	})
	ids := make([]string, 0, adviceBatch)
	for _, w := range list[:min(len(list), adviceBatch)] {
		ids = append(ids, w.ID)
	}
	return ids
}

// forgetAdvice drops the answers for a job that has ended.
func (s *Scheduler) forgetAdvice(j *job.Job) {
	if len(s.advice.steps) == 0 {
		return
	}
	for n := range j.Occurrences() {
		for step := range j.Spec.Steps {
			delete(s.advice.steps, string(j.ID)+"."+strconv.Itoa(n)+"."+strconv.Itoa(step))
		}
	}
}

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Times of questions to workers.
const (
	// askWait is how long a question waits for an end. It is also the rate at
	// which leases are extended.
	askWait = 600 * time.Millisecond
	// watchWait is used where serving tasks share a worker with tasks that fill,
	// whose latency has to be looked at.
	watchWait = 450 * time.Millisecond
	// askGap gathers ends that come close together into one answer.
	askGap = 15 * time.Millisecond
	// ackPatience is how long a question waits until the ends of the last answer
	// are durable, so that the answer does not repeat them.
	ackPatience = 400 * time.Millisecond
	// silentGap is the pause between questions to a worker that does not answer.
	silentGap = 400 * time.Millisecond
)

// stepWorkers sends the questions that are due and gives up on workers whose
// orders have all ended.
func (s *Scheduler) stepWorkers(now time.Time) {
	for _, w := range s.workers.all() {
		if w.Silent && w.Expired(now) && len(w.Runs())+len(w.Leftovers()) > 0 {
			s.loseRuns(w, "worker silent beyond its lease", now)
		}
		if !w.Listed && w.Expired(now) && len(w.Runs())+len(w.Leftovers()) == 0 && !w.Asking {
			s.dropWorker(w)
			continue
		}
		s.askIfDue(w, now)
	}
}

func (s *Scheduler) dropWorker(w *worker.Worker) {
	s.workers.delete(w.ID)
	s.act(ForgetWorker{w.Address})
}

// askIfDue sends a question. A worker without runs is asked only once.
func (s *Scheduler) askIfDue(w *worker.Worker, now time.Time) {
	if w.Asking || !s.authorized(now) || !w.Recorded {
		return
	}
	if w.Heard && !w.Silent && len(w.Runs()) == 0 && len(w.Leftovers()) == 0 && !w.Unacknowledged() {
		return
	}
	at := w.NextAsk
	if w.Unacknowledged() && !w.Silent {
		// Asking again at once would return the same ends.
		at = at.Add(ackPatience)
	}
	if now.Before(at) {
		s.wake(at)
		return
	}
	s.ask(w, now)
}

func (s *Scheduler) ask(w *worker.Worker, now time.Time) {
	q := worker.Question{Fence: s.fence()}
	if w.Heard && !w.Silent {
		q.Acknowledged = w.Acknowledge()
		q.Wait = askWait
		if w.Mixed() {
			q.Wait = watchWait
		}
		if w.Unacknowledged() {
			q.Wait = 0
		}
		if len(w.Runs()) > 0 {
			q.HoldUntil = w.ClockAt(now) + s.terms.Hold.Milliseconds()
			w.Ordered(now, s.terms.Hold)
		}
	}
	w.Asking = true
	s.act(AskWorker{Target: w.Target(), Question: q, NotAfter: s.notAfter()})
}

// AskOutcome is the result of a question.
type AskOutcome int

// Results of a question.
const (
	AskAnswered AskOutcome = iota
	// AskUnknown means that the worker did not answer.
	AskUnknown
	// AskNotSent means that the right to ask had ended.
	AskNotSent
	// AskFenced means that the worker has heard a newer scheduler.
	AskFenced
	// AskGone means that another incarnation answers at the address.
	AskGone
)

// WorkerAnswered is the answer to AskWorker.
type WorkerAnswered struct {
	Worker  string
	Fence   int64
	Outcome AskOutcome
	Report  worker.Report
	SentAt  time.Time
}

// Apply implements Event.
func (e WorkerAnswered) Apply(s *Scheduler, now time.Time) {
	w := s.workers.get(e.Worker)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	w.Asking = false
	switch e.Outcome {
	case AskAnswered:
		s.hear(w, e, now)
	case AskUnknown:
		if !w.Silent {
			s.note("worker silent", "worker", w.ID, "service", w.Service, "runs", len(w.Runs()), "lease_left_ms", max(0, w.ExpiresAt().Sub(now)).Milliseconds())
		}
		w.Silent = true
		w.NextAsk = now.Add(silentGap)
		s.place.dirty = true
	case AskNotSent:
		w.NextAsk = now.Add(silentGap)
	case AskFenced:
		s.fenced("worker "+w.ID, now)
	case AskGone:
		s.loseRuns(w, "another incarnation answers", now)
		w.Listed = false
		s.listed.delete(w.ID)
		s.dropWorker(w)
	}
}

// fenced handles a refusal by a worker that has heard a newer scheduler.
func (s *Scheduler) fenced(by string, now time.Time) {
	a := s.election.authority
	s.stepDown("fenced by "+by, now)
	s.act(EndLease{a.Lease, a.Fence, a.Epoch})
}

// hear applies a worker's report.
func (s *Scheduler) hear(w *worker.Worker, e WorkerAnswered, now time.Time) {
	if e.Report.Born != 0 && w.Born != 0 && e.Report.Born > w.Born {
		s.reborn(w, e.Report.Born, e.Report.ClockMillis, now)
	} else if e.Report.Born != 0 {
		w.Born = max(w.Born, e.Report.Born)
	}
	if w.Silent {
		s.note("worker answers again", "worker", w.ID)
	}
	if !w.Heard || w.Silent {
		s.place.dirty = true
	}
	w.Heard, w.Silent = true, false
	w.ReadClock(e.Report.ClockMillis, now)
	for _, end := range e.Report.Ended {
		s.applyEnd(w, end, now)
	}
	s.matchRuns(w, e, now)
	w.NextAsk = now.Add(askGap)
}

// reborn handles a new incarnation under the same id. The report that told of
// it lists what runs there: starts that were on their way may have reached the
// new incarnation, so that runs are not given up here.
func (s *Scheduler) reborn(w *worker.Worker, born, clockMillis int64, now time.Time) {
	s.note("worker restarted", "worker", w.ID, "born", born, "runs", len(w.Runs()))
	w.Reborn(born)
	for _, r := range w.Runs() {
		if r.Phase != job.RunActive {
			r.OrderEnds = clockMillis + startLife.Milliseconds()
		}
	}
}

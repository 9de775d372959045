package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Intervals and timeouts of polls of workers.
const (
	// pollWait is how long a worker holds a poll open for a run to end. It also
	// determines how often task leases are extended.
	pollWait = 600 * time.Millisecond
	// mixedPollWait replaces pollWait on workers that run serving and filler tasks,
	// where the latency of the serving ones is checked more often.
	mixedPollWait = 450 * time.Millisecond
	// probationPollWait replaces pollWait while no other task may start on the worker
	// because of a run that is not proven yet.
	probationPollWait = 100 * time.Millisecond
	// minPollInterval is the least delay between an answer and the next poll. It
	// gathers runs that end at about the same time into one answer.
	minPollInterval = 15 * time.Millisecond
	// maxPollRate is the number of polls a second that a whole core sends. Polls and
	// starts take most of the scheduler's processor time. At a higher rate each poll
	// brings a single end, and a large fleet's starts wait for the processor instead.
	maxPollRate = 2500
	// maxPollInterval bounds the delay on a scheduler with too little processor time:
	// leases, ends and latencies must still be seen in time.
	maxPollInterval = 300 * time.Millisecond
	// ackTimeout bounds the delay of a poll while the ends of the last answer are
	// not stored yet and cannot be acknowledged. An earlier poll would return the
	// same ends again.
	ackTimeout = 400 * time.Millisecond
	// silentPollInterval is the delay between polls of a worker that does not answer.
	silentPollInterval = 400 * time.Millisecond
)

// stepWorkers sends the polls that are due. It removes the runs of a silent worker
// once their leases have expired, and a delisted worker once it has no runs.
func (s *Scheduler) stepWorkers(now time.Time) {
	for w := range s.knownWorkers() {
		unpolled := w.Silent || s.quarantine.contains(Record{WorkerRecord, w.ID})
		if unpolled && w.Expired(now) && len(w.Runs())+len(w.OrphanedRuns()) > 0 {
			s.recordLostStarts(w, now)
			s.loseRuns(w, "worker silent until its lease expired", now)
		}
		if !w.Listed && w.Expired(now) && len(w.Runs())+len(w.OrphanedRuns()) == 0 && !w.Polling {
			s.dropWorker(w)
			continue
		}
		s.pollIfDue(w, now)
	}
}

// dropWorker removes a worker and closes the connections to it.
func (s *Scheduler) dropWorker(w *worker.Worker) {
	s.workers.delete(w.ID)
	s.act(CloseWorker{w.Address})
}

// pollIfDue polls a worker if its next poll is due. A worker without runs is polled
// only until it has answered once.
func (s *Scheduler) pollIfDue(w *worker.Worker, now time.Time) {
	if w.Polling || !s.authorized(now) || !w.Recorded || s.quarantine.contains(Record{WorkerRecord, w.ID}) {
		return
	}
	if w.Answered && !w.Silent && len(w.Runs()) == 0 && len(w.OrphanedRuns()) == 0 && !w.HasUnacknowledgedEnds() {
		return
	}
	at := w.NextPollAt
	if w.HasUnacknowledgedEnds() && !w.Silent {
		// A poll before the ends are stored would return the same ends again.
		at = at.Add(ackTimeout)
	}
	if now.Before(at) {
		s.requestTick(at)
		return
	}
	s.poll(w, now)
}

// poll sends a poll. It acknowledges stored ends and, while the worker has runs,
// extends its lease.
func (s *Scheduler) poll(w *worker.Worker, now time.Time) {
	q := worker.PollRequest{Fence: s.fence()}
	if w.Answered && !w.Silent {
		q.Acknowledged = w.Acknowledge()
		q.Wait = pollWait
		if w.Mixed() {
			q.Wait = mixedPollWait
		}
		if w.Isolated() {
			q.Wait = probationPollWait
		}
		if w.HasUnacknowledgedEnds() {
			q.Wait = 0
		}
		if len(w.Runs()) > 0 && !w.LeaseFrozen {
			q.HoldUntil = w.ClockAt(now) + s.options.TaskLease.Milliseconds()
			w.ExtendExpiry(now, s.options.TaskLease)
		}
	}
	w.Polling = true
	s.act(PollWorker{Target: w.Target(), Request: q, NotAfter: s.notAfter()})
}

// PollOutcome is the result of a poll.
type PollOutcome int

// Results of a poll.
const (
	PollAnswered PollOutcome = iota
	// PollUnanswered means that the worker did not answer.
	PollUnanswered
	// PollNotSent means that the poll was not sent, because this node's
	// authority had expired.
	PollNotSent
	// PollFenced means that the worker has received a request of a newer
	// scheduler.
	PollFenced
	// PollReplaced means that another incarnation answers at the worker's address.
	PollReplaced
)

// WorkerAnswered is the result of PollWorker. SentAt is when the poll was sent.
type WorkerAnswered struct {
	Worker  string
	Fence   int64
	Outcome PollOutcome
	Report  worker.Report
	SentAt  time.Time
}

// Apply implements Event.
func (e WorkerAnswered) Apply(s *Scheduler, now time.Time) {
	w := s.workers.get(e.Worker)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	s.subject = Record{WorkerRecord, w.ID}
	w.Polling = false
	switch e.Outcome {
	case PollAnswered:
		s.applyReport(w, e, now)
	case PollUnanswered:
		if !w.Silent {
			s.log("worker silent", "worker", w.ID, "service", w.Service, "runs", len(w.Runs()), "lease_left_ms", max(0, w.ExpiresAt().Sub(now)).Milliseconds())
		}
		if !w.Silent {
			w.Silent, w.SilentSince = true, now
		}
		w.NextPollAt = now.Add(silentPollInterval)
		s.place.roundNeeded = true
	case PollNotSent:
		w.NextPollAt = now.Add(silentPollInterval)
	case PollFenced:
		s.stepDownFenced("worker "+w.ID, now)
	case PollReplaced:
		s.recordCrash(w, w.Runs(), now)
		s.loseRuns(w, "another incarnation answers at its address", now)
		w.Listed = false
		s.listed.delete(w.ID)
		s.dropWorker(w)
	}
}

// stepDownFenced steps down after a worker has refused this scheduler's fencing
// token, because it has received a request of a newer scheduler.
func (s *Scheduler) stepDownFenced(by string, now time.Time) {
	a := s.election.authority
	s.stepDown("fenced by "+by, now)
	s.act(ReleaseLease{a.LeaseID, a.Fence, a.Epoch})
}

// applyReport updates a worker and its runs from its report.
func (s *Scheduler) applyReport(w *worker.Worker, e WorkerAnswered, now time.Time) {
	if e.Report.StartedMillis != 0 && w.StartedMillis != 0 && e.Report.StartedMillis > w.StartedMillis {
		s.handleRestart(w, e.Report, now)
	} else if e.Report.StartedMillis != 0 {
		w.StartedMillis = max(w.StartedMillis, e.Report.StartedMillis)
	}
	if w.Silent {
		s.log("worker answers again", "worker", w.ID)
	}
	if !w.Answered || w.Silent {
		s.place.roundNeeded = true
	}
	w.Answered, w.Silent = true, false
	w.RecordClock(e.Report.ClockMillis, now)
	w.NextPollAt = now.Add(s.pollInterval())
	var waiting []worker.EndReport
	for i, end := range e.Report.Ended {
		if !s.applyEnd(w, end, now) {
			// The worker answers at once as long as it has an end.
			w.NextPollAt = now.Add(ackTimeout)
			waiting = e.Report.Ended[i:]
			break
		}
	}
	w.EndsOutstanding = len(waiting) > 0 || !e.Report.Complete()
	s.matchRuns(w, e, waiting, now)
}

// pollInterval returns the delay between an answer and the next poll, at which the
// workers with runs together are polled at most at maxPollRate.
func (s *Scheduler) pollInterval() time.Duration {
	rate := maxPollRate * s.options.CPUShare
	if rate <= 0 {
		return minPollInterval
	}
	interval := time.Duration(float64(s.busyWorkers) / rate * float64(time.Second))
	return min(max(interval, minPollInterval), maxPollInterval)
}

// handleRestart handles a new incarnation of a worker under the same id. Runs
// are not removed here, because starts that were in flight may have reached the
// new incarnation; its report lists the runs that it has.
func (s *Scheduler) handleRestart(w *worker.Worker, report worker.Report, now time.Time) {
	s.log("worker restarted", "worker", w.ID, "born", report.StartedMillis, "runs", len(w.Runs()))
	s.recordCrash(w, runsMissing(w, report), now)
	w.StartIncarnation(report.StartedMillis)
	for _, r := range w.Runs() {
		if r.Phase != job.RunActive {
			r.StartDeadline = report.ClockMillis + startOrderTTL.Milliseconds()
		}
	}
}

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Shares of the latency objective between which tasks that fill keep their
// pace. The measured tail is rough, so that the upper one is well below 1.
const (
	paceDownAt = 0.85
	paceUpAt   = 0.6
)

// Steps of pace, in percent of full speed.
const (
	paceFloor  = 0
	paceStep   = 25
	paceFull   = 100
	paceChange = 400 * time.Millisecond
	// paceUnknown is assumed of a run that an earlier scheduler has started: a
	// report does not tell its pace, and any change from here sends an order.
	paceUnknown = paceFull - paceStep
)

// stepPacing slows tasks that fill where serving tasks near their objective, and
// lets them go on where these are well or gone.
func (s *Scheduler) stepPacing(now time.Time) {
	if !s.authorized(now) {
		return
	}
	for _, w := range s.workers.all() {
		if !w.Silent && w.PaceDue(now, paceChange) {
			s.paceWorker(w, now)
		}
	}
}

func (s *Scheduler) paceWorker(w *worker.Worker, now time.Time) {
	load := w.ServingLoad()
	for _, r := range w.Runs() {
		key := worker.Key(r)
		if !r.Task.Spec().Fills || r.Phase != job.RunActive {
			continue
		}
		pace := nextPace(r.Pace, load)
		if pace == r.Pace {
			continue
		}
		r.Pace = pace
		w.Paced(now)
		s.note("pace changed", "task", key.Task.String(), "run", key.Number, "worker", w.ID, "percent", pace, "serving_load", load)
		s.act(PaceRun{Target: w.Target(), Run: key, Percent: pace, Fence: s.fence(), NotAfter: s.notAfter()})
	}
}

// nextPace returns the pace that follows at a load, the worst tail latency in
// parts of its objective.
func nextPace(pace int, load float64) int {
	switch {
	case load >= 1:
		return paceFloor
	case load >= paceDownAt:
		return max(paceFloor, pace-paceStep)
	case load <= paceUpAt:
		return min(paceFull, pace+paceStep)
	}
	return pace
}

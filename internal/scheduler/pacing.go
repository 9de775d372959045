package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Loads between which the pace of filler tasks (job.Step.Filler) does not change. A
// load is the measured tail latency of a serving task as a fraction of its objective.
// The measurement is imprecise, so the upper bound is well below 1.
const (
	slowDownLoad = 0.85
	speedUpLoad  = 0.6
)

// Paces of filler tasks in percent of full speed.
const (
	minPace  = 0
	paceStep = 25
	fullPace = 100
	// assumedPace is assumed for a run that an earlier scheduler started, because
	// workers do not report the pace. It lies between minPace and fullPace, so that
	// a change in either direction sends an order.
	assumedPace = fullPace - paceStep
)

// paceChangeInterval is the least time between two changes of pace on a worker,
// after which the measured latency shows the effect.
const paceChangeInterval = 400 * time.Millisecond

// stepPacing slows filler tasks down on workers whose serving tasks approach their
// latency objective, and speeds them up again on the other workers.
func (s *Scheduler) stepPacing(now time.Time) {
	if !s.authorized(now) {
		return
	}
	for _, w := range s.workers.all() {
		if !w.Silent && w.PaceChangeDue(now, paceChangeInterval) {
			s.adjustFillerPace(w, now)
		}
	}
}

// adjustFillerPace adjusts the pace of the filler runs on a worker.
func (s *Scheduler) adjustFillerPace(w *worker.Worker, now time.Time) {
	load := w.ServingLoad()
	for _, r := range w.Runs() {
		key := worker.KeyOf(r)
		if !r.Task.Spec().Filler || r.Phase != job.RunActive {
			continue
		}
		pace := nextPace(r.PacePercent, load)
		if pace == r.PacePercent {
			continue
		}
		r.PacePercent = pace
		w.RecordPaceChange(now)
		s.log("pace changed", "task", key.Task.String(), "run", key.Number, "worker", w.ID, "percent", pace, "serving_load", load)
		s.act(SetPace{Target: w.Target(), Run: key, Percent: pace, Fence: s.fence(), NotAfter: s.notAfter()})
	}
}

// nextPace returns the next pace of a filler task at a load: the highest tail
// latency on its worker as a fraction of the objective.
func nextPace(pace int, load float64) int {
	switch {
	case load >= 1:
		return minPace
	case load >= slowDownLoad:
		return max(minPace, pace-paceStep)
	case load <= speedUpLoad:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

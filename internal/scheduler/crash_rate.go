package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Workers also crash without a task that makes them. The more often they do, the more of
// them a sound task loses right after its starts, so that more are needed as evidence
// against a task.
const (
	// crashWindow is the time from which the rate of crashes is taken, at least
	// minCrashWindow of a term.
	crashWindow    = time.Minute
	minCrashWindow = 10 * time.Second
	// maxRecentCrashes bounds the memory of the crashes. More of them in a window make a
	// rate at which the most evidence is needed.
	maxRecentCrashes = 256
	// soundTaskRisk is the accepted probability that a sound task loses as many workers as
	// are evidence against it.
	soundTaskRisk = 1e-6
	// minCrashedWorkers and maxCrashedWorkers bound the number of workers that are evidence.
	// After three the users allow two further starts of a task that crashes its workers.
	minCrashedWorkers = 3
	maxCrashedWorkers = 5
	// judgementDelay is how long a task is not started while it is open whether other
	// workers crash by themselves, at most maxJudgementDelays times. The tasks that were lost
	// with them run again meanwhile, in a full pool after several seconds.
	judgementDelay     = 4 * time.Second
	maxJudgementDelays = 3
)

// recentCrash is the crash of a worker, and the tasks that may have caused it.
type recentCrash struct {
	at       time.Time
	suspects []*job.Task
}

// crashLog holds the crashes of the last crashWindow in this scheduler's term, but not those
// for which a task was given up, and the tasks that are judged later.
type crashLog struct {
	crashes    []recentCrash
	judgements []judgement
}

// judgement is the pending decision whether a task crashes its workers.
type judgement struct {
	task  *job.Task
	alone bool
	at    time.Time
	// delays is how often the decision was put off.
	delays int
}

func (l *crashLog) record(suspects []*job.Run, now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c recentCrash) bool { return now.Sub(c.at) > crashWindow })
	if len(l.crashes) == maxRecentCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
	c := recentCrash{at: now}
	for _, r := range suspects {
		c.suspects = append(c.suspects, r.Task)
	}
	l.crashes = append(l.crashes, c)
}

// explain drops the crashes that a task has caused.
func (l *crashLog) explain(t *job.Task) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c recentCrash) bool { return c.mayBeDueTo(t) })
}

func (c *recentCrash) mayBeDueTo(t *job.Task) bool {
	return slices.ContainsFunc(c.suspects, t.SameSuspect)
}

// provenSound reports whether a task has shown since a crash that it does not crash workers.
func provenSound(t *job.Task) bool {
	return t.Done() || t.Occurrence.Job.Ended() || slices.ContainsFunc(t.Runs, (*job.Run).Cleared)
}

// others counts the crashes without t among their suspects: those that no task has caused
// (causeless), and those of which another task may still prove to be the cause (open).
func (l *crashLog) others(t *job.Task, now time.Time) (causeless, open int) {
	for i := range l.crashes {
		c := &l.crashes[i]
		switch {
		case now.Sub(c.at) > crashWindow || len(c.suspects) == 0 || c.mayBeDueTo(t):
		case slices.ContainsFunc(c.suspects, func(other *job.Task) bool { return !provenSound(other) }):
			open++
		default:
			causeless++
		}
	}
	return causeless, open
}

// crashedWorkersNeeded returns how many workers must be lost right after starts of a task to
// show that it is the cause. Crashes is the number of crashes without a cause in the last
// crashWindow, or in the term since its beginning, and workers the size of the fleet.
func crashedWorkersNeeded(crashes, workers int, since, now time.Time) int {
	window := min(crashWindow, max(minCrashWindow, now.Sub(since)))
	perStart := 1 - math.Exp(-float64(crashes)*job.CrashSuspicion.Seconds()/(window.Seconds()*float64(max(1, workers))))
	if perStart <= 0 {
		return minCrashedWorkers
	}
	return int(max(minCrashedWorkers, min(maxCrashedWorkers, math.Ceil(math.Log(soundTaskRisk)/math.Log(perStart)))))
}

// giveUpIfCause ends the job of a task that is shown to crash its workers. While other
// crashes are open that may have had no cause, the task is not started and judged later.
// Alone is the parameter of CrashesWorkers.
func (s *Scheduler) giveUpIfCause(t *job.Task, alone bool, now time.Time) {
	s.judge(judgement{task: t, alone: alone}, now)
}

// judge makes a decision, or puts it off if it depends on the crashes whose cause is open.
func (s *Scheduler) judge(d judgement, now time.Time) {
	t, alone, j := d.task, d.alone, d.task.Occurrence.Job
	if j.Ended() || t.Done() {
		return
	}
	causeless, open := s.crashLog.others(t, now)
	needed := func(crashes int) int {
		return crashedWorkersNeeded(crashes, s.workers.len(), s.election.authority.Since, now)
	}
	if !t.CrashesWorkers(alone, needed(causeless)) {
		return
	}
	if d.delays < maxJudgementDelays && !t.CrashesWorkers(alone, needed(causeless+open)) {
		d.at, d.delays = now.Add(judgementDelay), d.delays+1
		t.NotBefore = d.at
		s.crashLog.judgements = append(s.crashLog.judgements, d)
		s.log("task judged later", "job", j.ID, "task", t.Name().String(), "crashes", len(t.Crashes()), "causeless", causeless, "open", open)
		return
	}
	s.counts.GivenUp++
	s.log("job given up", "job", j.ID, "task", t.Name().String(), "crashes", len(t.Crashes()), "causeless", causeless, "open", open)
	s.crashLog.explain(t)
	s.endJob(j, job.Failed, now)
}

// stepJudgements makes the decisions that are due.
func (s *Scheduler) stepJudgements(now time.Time) {
	l := &s.crashLog
	for len(l.judgements) > 0 {
		next := l.judgements[0]
		if now.Before(next.at) {
			s.requestTick(next.at)
			return
		}
		l.judgements = l.judgements[1:]
		s.subject = jobRecord(next.task.Occurrence.Job.ID)
		s.judge(next, now)
		s.subject = Record{}
		s.place.roundNeeded = true
	}
}

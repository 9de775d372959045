package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// StopTasks stops tasks in one call. The result is StopAnswered.
type StopTasks struct {
	Term  uint64
	Tasks []WorkerTask
}

func (StopTasks) isAction() {}

// stopTasks returns one call that stops the given tasks on their workers. Tasks
// with a stop in flight are left out.
func (f *Fleet) stopTasks(s *scheduler, tasks []*machine.Task) []Action {
	var list []WorkerTask
	for _, t := range tasks {
		on := WorkerTask{t.Worker, zone.StartID(t)}
		if s.stopsInFlight[on.StartID] {
			continue
		}
		s.stopsInFlight[on.StartID] = true
		if p := s.placement(t); p != nil {
			p.Ending = true
		}
		list = append(list, on)
	}
	if len(list) == 0 {
		return nil
	}
	return []Action{StopTasks{Term: s.term, Tasks: list}}
}

// StopAnswered reports the end of a StopTasks.
type StopAnswered struct {
	Term  uint64
	Tasks []WorkerTask
	OK    bool
}

// Apply implements Event.
func (e StopAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	for _, on := range e.Tasks {
		delete(s.stopsInFlight, on.StartID)
		id, _ := zone.ParseStartID(on.StartID)
		t := s.ledger.Task(id)
		if t == nil || zone.StartID(t) != on.StartID {
			continue
		}
		switch {
		case !e.OK:
			s.stopRetries = append(s.stopRetries, on)
			s.stopRetryAt = now.Add(PlatformRetryDelay)
		case t.Final():
			f.releaseTask(s, t, on.Worker)
		default:
			f.interruptTask(s, t, "", now)
		}
	}
	return f.tickSchedule(now)
}

// retryStops retries the failed stops of current attempts, in one call.
func (f *Fleet) retryStops(s *scheduler, now time.Time) []Action {
	if len(s.stopRetries) == 0 || now.Before(s.stopRetryAt) {
		return nil
	}
	var tasks []*machine.Task
	for _, on := range s.stopRetries {
		id, _ := zone.ParseStartID(on.StartID)
		if t := s.ledger.Task(id); t != nil && t.Worker == on.Worker && zone.StartID(t) == on.StartID {
			tasks = append(tasks, t)
		}
	}
	s.stopRetries = nil
	return f.stopTasks(s, tasks)
}

// cancelBatch applies a batch of cancellations. For each cancellation it makes
// one pass over the ids and at most one call that stops the running tasks.
func (f *Fleet) cancelBatch(s *scheduler, cancels []zone.Cancel, now time.Time) []Action {
	var actions []Action
	for _, c := range cancels {
		list := s.ledger.Cancel(c, now)
		if len(list) == 0 {
			continue
		}
		f.recordDecision(Decision{
			At: now, Subject: Subject{SubjectTeam, c.Team}, Action: "cancel", Reason: "requested by the team",
			Inputs: []Input{{"asked", fmt.Sprint(len(c.IDs))}, {"cancelled", fmt.Sprint(len(list))}},
		})
		actions = append(actions, f.stopCancelled(s, list, now)...)
	}
	return actions
}

// stopCancelled ends cancelled tasks: it removes queued ones from the backlog,
// releases those whose start was not sent, and stops those that run.
func (f *Fleet) stopCancelled(s *scheduler, list []zone.Cancelled, now time.Time) []Action {
	var running []*machine.Task
	for _, c := range list {
		if c.Worker == "" {
			s.centre.Workers.Backlog().Remove(c.Task)
			continue
		}
		if s.recording[c.Task] {
			f.releaseTask(s, c.Task, c.Worker)
			continue
		}
		running = append(running, c.Task)
	}
	return f.stopTasks(s, running)
}

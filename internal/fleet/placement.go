package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// WorkerTask identifies a started task on a worker.
type WorkerTask struct{ Worker, StartID string }

// ThrottleTask limits the cores of a task. It has no result: the usage that the
// worker reports shows the effect.
type ThrottleTask struct {
	On         WorkerTask
	MilliCores int64
}

func (ThrottleTask) isAction() {}

// WatchWorkers waits for Delay and then until the version of the worker list is
// above After. The result is WorkersSeen.
type WatchWorkers struct {
	Term       uint64
	DataCentre string
	After      uint64
	Delay      time.Duration
}

func (WatchWorkers) isAction() {}

// workersWatchDelay is the delay between two watches of workers. It batches the
// reports of many workers into one answer.
const workersWatchDelay = 500 * time.Millisecond

// runRound plans one placement round and returns the actions of its steps.
func (f *Fleet) runRound(s *scheduler, now time.Time) []Action {
	s.changed, s.waitRecorded = false, false
	s.roundAt = now.Add(s.roundInterval())
	freeSlots := f.freeSlotsByTeam(s, now)
	s.plan = s.centre.Place(zone.Round{Now: now, Weights: f.teamWeights(), StartsLeft: freeSlots})
	for worker, task := range s.plan.Reservations {
		s.centre.Workers.Worker(worker).Reserve(task, now.Add(zone.ReserveTime))
	}
	var actions []Action
	var started []*machine.Task
	for _, step := range s.plan.Steps {
		if start, ok := step.(zone.Start); ok {
			if f.assignTask(s, start, now) {
				started = append(started, start.Task)
			}
			continue
		}
		actions = append(actions, f.runStep(s, step, now)...)
	}
	actions = append(actions, f.requestSlots(s, freeSlots, now)...)
	return append(actions, s.writeRecording(started)...)
}

func (f *Fleet) teamWeights() map[string]int {
	weights := make(map[string]int)
	for _, o := range f.register.List(contract.KindTeam) {
		weights[o.Team.Name] = o.Team.Share
	}
	return weights
}

// recordWait records why a planned start is not sent. It records one task per
// round, because a stale configuration stops the starts of all tasks.
func (f *Fleet) recordWait(s *scheduler, t *machine.Task, r *Refusal, now time.Time) {
	if s.waitRecorded {
		return
	}
	s.waitRecorded = true
	f.recordTaskDecision(t, now, "wait", r.Code+": "+r.Reason)
}

func sizeText(r machine.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}

func (f *Fleet) recordTaskDecision(t *machine.Task, now time.Time, action, reason string, inputs ...Input) {
	inputs = append(taskInputs(t), inputs...)
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectTask, t.ID}, Action: action, Reason: reason, Inputs: inputs})
}

// runStep applies a placement step other than a start and returns its actions.
func (f *Fleet) runStep(s *scheduler, step zone.PlacementStep, now time.Time) []Action {
	switch step := step.(type) {
	case zone.Checkpoint:
		if f.CheckStart(&contract.Document{}, false, s.centre.Name, now) != nil {
			return nil
		}
		f.recordPreemption(step.Preemption, now, "checkpoint")
		if p := s.placement(step.Task); p != nil {
			p.Ending = true
		}
		on := WorkerTask{step.Worker, zone.StartID(step.Task)}
		return []Action{CheckpointTask{Term: s.term, Task: step.Task.ID, On: on}}
	case zone.Throttle:
		f.recordPreemption(step.Preemption, now, "throttle")
		s.centre.Workers.Throttle(step.Worker, step.Task.ID, step.MilliCores)
		s.changed = true
		return []Action{ThrottleTask{On: WorkerTask{step.Worker, zone.StartID(step.Task)}, MilliCores: step.MilliCores}}
	case zone.Stop:
		if f.CheckStart(&contract.Document{}, false, s.centre.Name, now) != nil {
			return nil
		}
		f.recordPreemption(step.Preemption, now, "stop")
		return f.stopTasks(s, []*machine.Task{step.Task})
	case zone.Refuse:
		f.recordTaskDecision(step.Task, now, "refuse", step.Reason)
		step.Task.Refuse(step.Reason, now)
		s.centre.Workers.Backlog().Remove(step.Task)
		s.ledger.MarkDirty(step.Task.ID)
	case zone.Hold:
		f.recordTaskDecision(step.Task, now, "hold", step.Reason)
		step.Task.Hold(step.Reason)
		s.centre.Workers.Backlog().Remove(step.Task)
		s.ledger.MarkDirty(step.Task.ID)
	}
	return nil
}

func (f *Fleet) recordPreemption(p zone.Preemption, now time.Time, action string) {
	reason := "its team is above its share"
	if p.Beneficiary == "" {
		reason = "the worker has spare cores again"
	}
	f.recordTaskDecision(p.Task, now, action, reason,
		Input{"for", p.Beneficiary},
		Input{"worker", p.Worker},
		Input{"use", fmt.Sprintf("%.4f", p.Use)},
		Input{"fair", fmt.Sprintf("%.4f", p.Fair)},
		Input{"lost seconds", fmt.Sprintf("%.1f", p.LostSeconds)})
}

func (s *scheduler) placement(t *machine.Task) *machine.Placement {
	if w := s.centre.Workers.Worker(t.Worker); w != nil {
		return w.Placement(t.ID)
	}
	return nil
}

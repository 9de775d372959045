package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/zone/placement"
)

// machineArrival is how long a machine takes from the order of its move until its worker
// accepts tasks: 1.6 s to 2.2 s in docs/MEASUREMENTS.md.
const machineArrival = 2200 * time.Millisecond

// beginWaits begins a round for the waits for room in a rack.
func (s *Scheduler) beginWaits(pools map[string]*placement.Pool, now time.Time) {
	waits := s.place.waits
	if !waits.Enabled() {
		return
	}
	waits.BeginRound(func(service string) placement.Prospects { return s.prospects(service, now) })
	for service, pool := range pools {
		pool.AvoidAwaited(waits.Awaited(service, now))
	}
}

// recordShortage records that a task or gang of a step found no room.
func (s *Scheduler) recordShortage(j *job.Job, step int, pool *placement.Pool) {
	if s.place.waits.Enabled() && !s.requiresAdvice(j) {
		s.place.waits.RecordShortage(s.serviceOf(j), pool, &j.Spec.Steps[step])
	}
}

// prospects returns the workers of a service that wait for upkeep, and the machines that
// are moving to its pool.
func (s *Scheduler) prospects(service string, now time.Time) placement.Prospects {
	p := placement.Prospects{Leaving: make(map[string]bool)}
	for _, w := range s.waves.all() {
		for _, m := range w.Members {
			if m.Phase == upkeep.Waiting {
				p.Leaving[s.machineOps.machines[m.Name].Worker] = true
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.machineOps.moves)) {
		move := s.machineOps.moves[name]
		m, at := s.machineOps.machines[name], move.since.Add(machineArrival)
		if move.To == service && at.After(now) && !s.dataCentresOut[m.DataCentre] {
			p.Arriving = append(p.Arriving, placement.Arrival{Rack: m.Rack(), At: at, Capacity: m.Capacity})
		}
	}
	return p
}

// taskWaits reports whether a task for which w has room waits for room in the rack of its
// data.
func (s *Scheduler) taskWaits(t *job.Task, w *worker.Worker, pool *placement.Pool, allowed func(*worker.Worker) bool, now time.Time) bool {
	return s.recordWait(t, s.place.waits.Task(pool, t, w, s.constraint(t.Occurrence.Job, allowed)), now)
}

// gangWaits reports whether a gang for which the chosen workers have room waits for room
// in a single rack.
func (s *Scheduler) gangWaits(tasks []job.Task, chosen []*worker.Worker, pool *placement.Pool, allowed func(*worker.Worker) bool, now time.Time) bool {
	return s.recordWait(&tasks[0], s.place.waits.Gang(pool, tasks, chosen, s.constraint(tasks[0].Occurrence.Job, allowed)), now)
}

// constraint returns the filter of a job's workers, nil if every worker passes.
func (s *Scheduler) constraint(j *job.Job, allowed func(*worker.Worker) bool) func(*worker.Worker) bool {
	if !s.requiresAdvice(j) {
		return nil
	}
	return allowed
}

// recordWait counts and logs a decision and reports whether the task waits.
func (s *Scheduler) recordWait(t *job.Task, d placement.Decision, now time.Time) bool {
	switch d.Verdict {
	case placement.WaitBegins:
		s.counts.Waits++
		s.log("task waits for rack", "job", t.Occurrence.Job.ID, "task", t.Name().String(), "rack", d.Rack, "gang", t.Spec().Gang,
			"gain_ms", d.Gain.Milliseconds(), "expected_ms", d.Expected.Milliseconds(), "ends_in_ms", d.Until.Sub(now).Milliseconds())
	case placement.WaitMet:
		s.counts.WaitsMet++
		s.counts.WaitGainMillis += (d.Gain - d.Waited).Milliseconds()
	case placement.WaitGivenUp:
		s.counts.WaitsGivenUp++
		s.log("wait for rack given up", "job", t.Occurrence.Job.ID, "task", t.Name().String(), "rack", d.Rack, "waited_ms", d.Waited.Milliseconds())
	}
	return d.Verdict.Waits()
}

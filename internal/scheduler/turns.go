package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
)

const (
	// forecastLead is how far ahead machines are moved for an expected peak. A moved
	// machine has been seen to serve after 1.6 s to 2.2 s.
	forecastLead = 2200 * time.Millisecond
	// turnsInterval is the least time between two writes of the histories of cyclic
	// queues, about 3 KB for 22 of them, which every node reads.
	turnsInterval = 5 * time.Second
	// peakLogInterval is the least time between two log lines about machines that a pool
	// gets before a peak. It is less than any period.
	peakLogInterval = 5 * time.Second
	// maxReadDelay is the time within which a node with a fresh copy of the store reads a
	// record after its write. A larger difference is one of the clocks.
	maxReadDelay = time.Second
)

// turnsState is the scheduler's knowledge of cyclic demand.
type turnsState struct {
	forecaster *turns.Forecaster
	// stored is what the store holds. clockOffset is how far this node's clock is ahead
	// of that of the node that wrote it.
	stored      TurnsRead
	clockOffset time.Duration
	writes      recordWrites
	writeAt     time.Time
	// arrived is set when a job has arrived since the last write.
	arrived bool
	// raisedAt is when the forecast last raised the demand of each service.
	raisedAt map[string]time.Time
}

func newTurnsState() turnsState {
	return turnsState{forecaster: turns.NewForecaster(), raisedAt: make(map[string]time.Time)}
}

// startTurns continues the stored histories at the beginning of a term, with the jobs that
// were accepted since.
func (s *Scheduler) startTurns(now time.Time) {
	stored, offset := s.turns.stored, s.turns.clockOffset
	s.turns = newTurnsState()
	s.turns.stored, s.turns.clockOffset = stored, offset
	s.turns.writes = recordWrites{revision: stored.Revision}
	ends := make(map[string]time.Time)
	for queue, h := range stored.Histories {
		h.End = h.End.Add(offset)
		if s.turns.forecaster.Restore(queue, h, now) {
			ends[queue] = h.End
		}
	}
	for _, j := range s.jobs.all() {
		accepted := time.UnixMilli(j.AcceptedAt)
		if end, ok := ends[s.queueName(j)]; ok && !accepted.Before(end) && !accepted.After(now) {
			s.recordWork(j, accepted)
		}
	}
	if len(stored.Histories) > 0 {
		s.log("demand cycles restored", "stored", len(stored.Histories), "used", len(ends), "clock_offset_ms", offset.Milliseconds())
	}
}

// recordWork records the work of a job for the cycle of its queue. The work of a timed
// job does not begin when it arrives.
func (s *Scheduler) recordWork(j *job.Job, at time.Time) {
	if !j.LongRunning() && j.Spec.Times == 0 {
		s.turns.forecaster.Record(s.queueName(j), j.EstimatedWork(), at)
		s.turns.arrived = true
	}
}

// TurnsRead carries the stored histories of the queues with cyclic demand.
type TurnsRead struct {
	// WrittenAt is the time of the write by the writer's clock.
	WrittenAt time.Time
	Histories map[string]turns.History
	Revision  int64
}

func (c TurnsRead) apply(s *Scheduler, now time.Time) {
	t := &s.turns
	if c.Revision <= t.stored.Revision {
		return
	}
	t.stored, t.clockOffset = c, 0
	// A node whose copy of the store is not fresh can't tell how long ago the record was
	// written, except by its clock.
	copied := &s.fresh[JobsPart]
	if age := now.Sub(c.WrittenAt); copied.Known() && copied.Age(now) <= maxReadDelay && (age < 0 || age > maxReadDelay) {
		t.clockOffset = age
	}
}

// StoreTurns stores the histories of the queues with cyclic demand. The result is
// TurnsStored.
type StoreTurns struct {
	Fence     int64
	WrittenAt time.Time
	Histories map[string]turns.History
	// Expected is the revision that the record must have in the store, 0 for none.
	Expected int64
}

func (StoreTurns) isAction() {}

// TurnsStored is the result of StoreTurns.
type TurnsStored struct {
	Fence  int64
	Result RecordResult
}

// Apply implements Event.
func (e TurnsStored) Apply(s *Scheduler, now time.Time) {
	if s.leading && e.Fence == s.fence() {
		s.finishRecordWrite(&s.turns.writes, e.Result, turnsInterval, now)
	}
}

// stepTurns learns from the arrivals, and stores the histories of cyclic queues if they
// have changed.
func (s *Scheduler) stepTurns(now time.Time) {
	if s.config == nil || s.options.IgnoreCycles {
		return
	}
	t := &s.turns
	t.forecaster.Retain(func(queue string) bool {
		_, ok := s.config.Queue(queue)
		return ok
	})
	for _, c := range t.forecaster.Advance(now) {
		s.log("demand cycle", "queue", c.Queue, "change", c.Kind, "period_ms", c.Period.Milliseconds())
		if c.Kind == turns.PeakMissed {
			s.counts.MissedPeaks++
		}
	}
	s.counts.KnownCycles, s.counts.UnusedCycles = t.forecaster.Counts()
	if !t.arrived || s.counts.KnownCycles == 0 || now.Before(t.writeAt) || !s.mayWriteRecord(&t.writes, now) {
		return
	}
	t.writes.writing, t.writeAt, t.arrived = true, now.Add(turnsInterval), false
	s.act(StoreTurns{Fence: s.fence(), WrittenAt: now, Histories: t.forecaster.Histories(), Expected: t.writes.revision})
}

// addForecast raises the demand of each pool to what the cycles of its queues lead to
// expect within forecastLead, in addition to its long-running tasks.
func (s *Scheduler) addForecast(byName map[string]*pools.Pool, now time.Time) {
	expected := make(map[string]machine.Resources)
	for _, q := range s.config.Queues() {
		need := s.turns.forecaster.Need(q.Name, now, now.Add(forecastLead))
		if p := byName[q.Service]; p != nil && !p.Spare && need != (machine.Resources{}) {
			expected[q.Service] = expected[q.Service].Plus(need)
		}
	}
	if len(expected) == 0 {
		return
	}
	for _, w := range s.workers.all() {
		if _, ok := expected[w.Service]; !ok {
			continue
		}
		for _, r := range w.Runs() {
			if spec := r.Task.Spec(); spec.LongRunning {
				expected[w.Service] = expected[w.Service].Plus(spec.CountedNeed())
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(expected)) {
		if p, need := byName[name], expected[name]; !need.FitsIn(p.Demand) {
			s.logPeak(name, p.Demand, need, now)
			p.Demand = p.Demand.Max(need)
		}
	}
}

// logPeak logs that a pool's demand is raised for an expected peak.
func (s *Scheduler) logPeak(service string, demand, expected machine.Resources, now time.Time) {
	if last, ok := s.turns.raisedAt[service]; !ok || now.Sub(last) >= peakLogInterval {
		s.counts.ForecastPeaks++
		s.log("demand expected", "service", service, "millicores", demand.MilliCores, "expected_millicores", expected.MilliCores)
	}
	s.turns.raisedAt[service] = now
}

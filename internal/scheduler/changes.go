package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Part is a part of the store of which the node keeps a copy.
type Part int

// Parts of the store.
const (
	// Operator holds the configuration, data centres taken out, and waves.
	Operator Part = iota
	// Jobs holds jobs, their progress and the scheduler's own records.
	Jobs
	// Workers holds the list of workers.
	Workers
	partCount
)

// Change is one decoded change of the store.
type Change interface {
	apply(s *Scheduler, now time.Time)
}

// Synced reports that the copy of a part is complete up to a revision. SentAt
// is when the reading was sent.
type Synced struct {
	Part     Part
	Changes  []Change
	Revision int64
	SentAt   time.Time
}

// Apply implements Event.
func (e Synced) Apply(s *Scheduler, now time.Time) {
	if e.Part == Jobs && s.fresh[Jobs].Known() && s.fresh[Jobs].Age(now) > storeAway {
		s.storeBackAt = now
	}
	for _, c := range e.Changes {
		c.apply(s, now)
	}
	s.fresh[e.Part].Read(e.SentAt)
	if e.Part == Jobs {
		s.election.synced = max(s.election.synced, e.Revision)
	}
}

// ConfigChanged carries a version of the configuration.
type ConfigChanged struct{ Config *policy.Configuration }

func (c ConfigChanged) apply(s *Scheduler, _ time.Time) {
	if s.config != nil && c.Config.Version <= s.config.Version {
		return
	}
	s.config = c.Config
	s.place.dirty = true
	s.note("configuration applied", "version", c.Config.Version, "queues", len(c.Config.Queues()))
}

// CentreChanged takes a data centre out or back.
type CentreChanged struct {
	DataCentre string
	Out        bool
}

func (c CentreChanged) apply(s *Scheduler, _ time.Time) {
	if s.out[c.DataCentre] == c.Out {
		return
	}
	s.out[c.DataCentre] = c.Out
	s.place.dirty = true
	s.note("data centre changed", "datacentre", c.DataCentre, "out", c.Out)
}

// WaveOrdered carries the operator's order of a wave.
type WaveOrdered struct{ Order upkeep.Order }

func (c WaveOrdered) apply(s *Scheduler, now time.Time) {
	if s.waves.get(c.Order.Wave) != nil {
		return
	}
	w := upkeep.NewWave(c.Order, now)
	s.waves.set(c.Order.Wave, w)
	if progress, ok := s.waveProgress[c.Order.Wave]; ok {
		progress.applyTo(w, now)
	}
	s.note("wave ordered", "wave", c.Order.Wave, "machines", len(c.Order.Machines), "at_once", c.Order.AtOnce, "deadline_s", c.Order.Deadline.Seconds())
}

// WaveWithdrawn removes a wave.
type WaveWithdrawn struct{ Wave int64 }

func (c WaveWithdrawn) apply(s *Scheduler, _ time.Time) { s.waves.delete(c.Wave) }

// WaveProgressRead carries a wave's stored progress.
type WaveProgressRead struct {
	Wave      int64
	Begun     []string
	Completed bool
}

func (c WaveProgressRead) apply(s *Scheduler, now time.Time) {
	s.waveProgress[c.Wave] = c
	if w := s.waves.get(c.Wave); w != nil {
		c.applyTo(w, now)
	}
}

func (c WaveProgressRead) applyTo(w *upkeep.Wave, now time.Time) {
	w.Began(c.Begun, now)
	told := upkeep.AnnouncedRunning
	if c.Completed {
		told = upkeep.AnnouncedCompleted
	}
	w.Announced = max(w.Announced, told)
}

// JobAccepted carries a stored job.
type JobAccepted struct{ Job *job.Job }

func (c JobAccepted) apply(s *Scheduler, now time.Time) {
	if s.jobs.get(c.Job.ID) != nil {
		return
	}
	s.jobs.set(c.Job.ID, c.Job)
	if s.earlyCancels[c.Job.ID] {
		delete(s.earlyCancels, c.Job.ID)
		c.Job.CancelAsked = true
	}
	s.pending.add(c.Job, +1)
	if s.leading {
		s.leadJob(c.Job)
		s.noteArrival(c.Job, now)
		s.place.dirty = true
	}
}

// JobRemoved reports that a job is no longer stored.
type JobRemoved struct{ ID job.ID }

func (c JobRemoved) apply(s *Scheduler, _ time.Time) {
	if j := s.jobs.get(c.ID); j != nil {
		s.pending.add(j, -1)
		s.jobs.delete(c.ID)
		s.unfinish.delete(c.ID)
	}
}

// ProgressRead carries a job's stored progress.
type ProgressRead struct {
	ID       job.ID
	Progress job.Progress
	Revision int64
}

func (c ProgressRead) apply(s *Scheduler, _ time.Time) {
	j := s.jobs.get(c.ID)
	if j == nil || c.Revision <= j.StoredRevision {
		return
	}
	s.pending.add(j, -1)
	j.Stored, j.StoredRevision = c.Progress, c.Revision
	s.pending.add(j, +1)
}

// CancelRead reports that the store holds a cancellation.
type CancelRead struct{ ID job.ID }

func (c CancelRead) apply(s *Scheduler, now time.Time) {
	j := s.jobs.get(c.ID)
	if j == nil {
		s.earlyCancels[c.ID] = true
		return
	}
	if j.CancelAsked {
		return
	}
	s.pending.add(j, -1)
	j.CancelAsked = true
	s.pending.add(j, +1)
	if s.leading {
		s.endJob(j, job.Cancelled, now)
	}
}

// LeaderRead reports the holder of the scheduler's lease; Fence 0 means none.
type LeaderRead struct {
	Holder string
	// Address and Process name the holder's process to those that watch it.
	Address, Process string
	Fence, Lease     int64
}

func (c LeaderRead) apply(s *Scheduler, now time.Time) { s.leaderSeen(c, now) }

// EpochRead reports the number of the next scheduler.
type EpochRead struct {
	Epoch    int
	Revision int64
}

func (c EpochRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.election.epochRevision {
		s.election.epoch, s.election.epochRevision = c.Epoch, c.Revision
	}
}

// LeftRead reports the number of the last scheduler that gave its lease up.
type LeftRead struct{ Epoch int }

func (c LeftRead) apply(s *Scheduler, _ time.Time) {
	s.election.leftEpoch = max(s.election.leftEpoch, c.Epoch)
}

// RosterRead reports the durable list of workers that may run tasks.
type RosterRead struct {
	Members  []RosterMember
	Revision int64
}

func (c RosterRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.roster.revision {
		s.roster.members, s.roster.revision = c.Members, c.Revision
	}
}

const (
	// storeAway is the age of a copy of the jobs at which the store is away: a
	// watch is answered every second.
	storeAway = 1500 * time.Millisecond
	// relistTime is how long after the store's return the entry of a worker that
	// lives is back.
	relistTime = 2 * time.Second
)

// storeReturn returns until when entries that lapsed while the store was away
// may come back, and whether that time has not passed.
func (s *Scheduler) storeReturn(now time.Time) (time.Time, bool) {
	back := s.storeBackAt
	if s.fresh[Jobs].Known() && s.fresh[Jobs].Age(now) > storeAway {
		back = now
	}
	until := back.Add(relistTime)
	return until, now.Before(until)
}

// stepLapsed gives up the workers whose entries have not come back.
func (s *Scheduler) stepLapsed(now time.Time) {
	for id, until := range s.lapsed {
		if now.Before(until) {
			s.wake(until)
			continue
		}
		s.delist(id)
	}
}

// delist notes that a worker has gone from the list for good.
func (s *Scheduler) delist(id string) {
	delete(s.lapsed, id)
	s.listed.delete(id)
	if w := s.workers.get(id); w != nil && w.Listed {
		w.Listed = false
		s.note("worker left the list", "worker", id, "service", w.Service, "runs", len(w.Runs()))
	}
}

// WorkerListed carries a worker's entry.
type WorkerListed struct{ Description worker.Description }

func (c WorkerListed) apply(s *Scheduler, now time.Time) {
	s.listed.set(c.Description.ID, c.Description)
	delete(s.lapsed, c.Description.ID)
	if s.leading {
		s.meetWorker(c.Description, now)
	}
}

// WorkerDelisted reports that a worker's entry is gone, or names no worker
// unless Removed is set.
type WorkerDelisted struct {
	ID      string
	Removed bool
}

func (c WorkerDelisted) apply(s *Scheduler, now time.Time) {
	if until, ok := s.storeReturn(now); ok && c.Removed && s.listed.get(c.ID).ID != "" {
		s.lapsed[c.ID] = until
		s.note("worker's entry has lapsed", "worker", c.ID)
		return
	}
	s.delist(c.ID)
}

// pendingCounts counts the jobs of each queue that have not begun.
type pendingCounts map[string]int

func (p pendingCounts) add(j *job.Job, n int) {
	if j.State() == job.Queued {
		p[j.Terms.Queue] += n
	}
}

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Part is a part of the store of which the node keeps a local copy.
type Part int

// Parts of the store.
const (
	// OperatorPart holds the configuration, the data centres that are out of
	// service, and the orders of waves.
	OperatorPart Part = iota
	// JobsPart holds jobs, their progress and the scheduler's own records.
	JobsPart
	// WorkersPart holds the list of workers.
	WorkersPart
	partCount
)

// Change is one decoded change of a key in the store.
type Change interface {
	apply(s *Scheduler, now time.Time)
}

// Synced carries the changes that make the local copy of a part complete up to
// Revision. SentAt is when the read was sent. Copy is the number of the local copy
// that the read is for.
type Synced struct {
	Copy     int
	Part     Part
	Changes  []Change
	Revision int64
	SentAt   time.Time
}

// Apply implements Event.
func (e Synced) Apply(s *Scheduler, now time.Time) {
	if e.Copy != s.copyNumber {
		return
	}
	if e.Part == JobsPart && s.fresh[JobsPart].Known() && s.fresh[JobsPart].Age(now) > storeOutageAge {
		s.storeRecoveredAt = now
	}
	for _, c := range e.Changes {
		s.subject = recordOf(c)
		if !s.quarantine.skips(c) {
			c.apply(s, now)
		}
	}
	s.subject = Record{}
	s.fresh[e.Part].RecordRead(e.SentAt)
	if e.Part == JobsPart {
		s.election.syncedRevision = max(s.election.syncedRevision, e.Revision)
	}
}

// ConfigChanged carries a stored version of the configuration. It is ignored
// unless it is newer than the one in force.
type ConfigChanged struct{ Config *policy.Configuration }

func (c ConfigChanged) apply(s *Scheduler, _ time.Time) {
	if s.config != nil && c.Config.Version <= s.config.Version {
		return
	}
	s.renameQueues(s.config, c.Config)
	s.config = c.Config
	s.place.roundNeeded = true
	s.log("configuration applied", "version", c.Config.Version, "queues", len(c.Config.Queues()))
}

// DataCentreChanged reports that an operator took a data centre out of service
// or returned it to service.
type DataCentreChanged struct {
	DataCentre string
	Out        bool
}

func (c DataCentreChanged) apply(s *Scheduler, _ time.Time) {
	if s.dataCentresOut[c.DataCentre] == c.Out {
		return
	}
	s.dataCentresOut[c.DataCentre] = c.Out
	s.place.roundNeeded = true
	s.log("data centre changed", "datacentre", c.DataCentre, "out", c.Out)
}

// WaveOrdered carries an operator's order of an upkeep wave.
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
	s.log("wave ordered", "wave", c.Order.Wave, "machines", len(c.Order.Machines), "at_once", c.Order.MaxConcurrent, "deadline_s", c.Order.Deadline.Seconds())
}

// WaveWithdrawn reports that the order of a wave was removed.
type WaveWithdrawn struct{ Wave int64 }

func (c WaveWithdrawn) apply(s *Scheduler, _ time.Time) { s.waves.delete(c.Wave) }

// WaveProgressRead carries a wave's stored progress: the machines whose upkeep has
// begun, and whether the wave has completed.
type WaveProgressRead struct {
	Wave      int64
	Begun     []string
	Completed bool
	Revision  int64
}

func (c WaveProgressRead) apply(s *Scheduler, now time.Time) {
	s.waveProgress[c.Wave] = c
	if w := s.waves.get(c.Wave); w != nil {
		c.applyTo(w, now)
	}
}

func (c WaveProgressRead) applyTo(w *upkeep.Wave, now time.Time) {
	w.Revision = max(w.Revision, c.Revision)
	w.MergeBegun(c.Begun, now)
	announced := upkeep.AnnouncedRunning
	if c.Completed {
		announced = upkeep.AnnouncedCompleted
	}
	w.Announced = max(w.Announced, announced)
}

// JobAccepted carries a job that the store holds.
type JobAccepted struct{ Job *job.Job }

func (c JobAccepted) apply(s *Scheduler, now time.Time) {
	s.newestConfigVersion = max(s.newestConfigVersion, c.Job.Terms.ConfigVersion)
	if s.jobs.get(c.Job.ID) != nil {
		return
	}
	s.jobs.set(c.Job.ID, c.Job)
	if _, cancelled := s.earlyCancels[c.Job.ID]; cancelled {
		delete(s.earlyCancels, c.Job.ID)
		c.Job.CancelAsked = true
	}
	s.pending.jobAccepted(c.Job)
	s.room.jobAccepted(c.Job, now)
	if s.leading {
		s.pending.add(c.Job, +1)
		s.trackJob(c.Job)
		s.recordArrival(c.Job, now)
		s.place.roundNeeded = true
	}
}

// JobRemoved reports that a job is no longer stored.
type JobRemoved struct{ ID job.ID }

func (c JobRemoved) apply(s *Scheduler, _ time.Time) {
	if j := s.jobs.get(c.ID); j != nil {
		s.pending.add(j, -1)
		s.pending.jobRemoved(j)
		s.jobs.delete(c.ID)
		s.unfinished.delete(c.ID)
	}
}

// ProgressRead carries a job's stored progress.
type ProgressRead struct {
	ID       job.ID
	Progress job.Progress
	Revision int64
	// Legacy means that an earlier version stored the progress, under a key that is
	// no longer written.
	Legacy bool
}

func (c ProgressRead) apply(s *Scheduler, _ time.Time) {
	j := s.jobs.get(c.ID)
	switch {
	case j == nil || s.leading:
	case c.Legacy && j.StoredRevision == 0:
		j.Stored = c.Progress
	case c.Revision > j.StoredRevision:
		j.Stored, j.StoredRevision = c.Progress, c.Revision
	}
}

// CancelRead reports that the store holds the cancellation of a job.
type CancelRead struct {
	ID job.ID
	// Revision is the revision of the cancellation.
	Revision int64
}

func (c CancelRead) apply(s *Scheduler, now time.Time) {
	j := s.jobs.get(c.ID)
	if j == nil {
		s.earlyCancels[c.ID] = earlyCancel{c.Revision, now}
		return
	}
	if j.CancelAsked {
		return
	}
	s.pending.add(j, -1)
	j.CancelAsked = true
	if s.leading {
		s.endJob(j, job.Cancelled, now)
	}
}

// CancelRemoved reports that the store no longer holds the cancellation of a job.
type CancelRemoved struct{ ID job.ID }

func (c CancelRemoved) apply(s *Scheduler, _ time.Time) { delete(s.earlyCancels, c.ID) }

// HolderRead reports the holder of the scheduler lease. Fence 0 means that nobody
// holds it.
type HolderRead struct {
	Holder string
	// Address and Process identify the holder's process to the nodes that watch it.
	Address, Process string
	Fence, Lease     int64
	// CPUShare is the part of one core that the holder may use, 0 if it is not known.
	CPUShare float64
}

func (c HolderRead) apply(s *Scheduler, now time.Time) { s.applyHolder(c, now) }

// EpochRead reports the epoch of the next scheduler.
type EpochRead struct {
	Epoch    int
	Revision int64
}

func (c EpochRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.election.epochRevision {
		s.election.epoch, s.election.epochRevision = c.Epoch, c.Revision
	}
}

// LeaseReleaseRead reports the epoch of the last scheduler that released its
// lease instead of letting it expire.
type LeaseReleaseRead struct{ Epoch int }

func (c LeaseReleaseRead) apply(s *Scheduler, _ time.Time) {
	s.election.releasedEpoch = max(s.election.releasedEpoch, c.Epoch)
}

// RosterRead carries the stored list of workers that may run tasks.
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
	// storeOutageAge is the age of the local copy of the jobs from which the store
	// counts as unavailable. The store answers a watch every second.
	storeOutageAge = 1500 * time.Millisecond
	// relistGrace is the time after an outage of the store within which a live
	// worker writes its entry again.
	relistGrace = 2 * time.Second
)

// relistDeadline returns the time until which worker entries that expired during
// an outage of the store may reappear, and whether that time is in the future.
func (s *Scheduler) relistDeadline(now time.Time) (time.Time, bool) {
	recoveredAt := s.storeRecoveredAt
	if s.fresh[JobsPart].Known() && s.fresh[JobsPart].Age(now) > storeOutageAge {
		recoveredAt = now
	}
	until := recoveredAt.Add(relistGrace)
	return until, now.Before(until)
}

// stepExpiredEntries delists the workers whose entries have not reappeared in
// time.
func (s *Scheduler) stepExpiredEntries(now time.Time) {
	for id, until := range s.expiredEntries {
		if now.Before(until) {
			s.requestTick(until)
			continue
		}
		s.delist(id)
	}
}

// delist records that a worker is no longer in the store's list.
func (s *Scheduler) delist(id string) {
	delete(s.expiredEntries, id)
	s.listed.delete(id)
	if w := s.workers.get(id); w != nil && w.Listed {
		w.Listed = false
		s.log("worker left the list", "worker", id, "service", w.Service, "runs", len(w.Runs()))
	}
}

// WorkerListed carries a worker's entry in the store's list.
type WorkerListed struct{ Description worker.Description }

func (c WorkerListed) apply(s *Scheduler, now time.Time) {
	s.listed.set(c.Description.ID, c.Description)
	delete(s.expiredEntries, c.Description.ID)
	if s.leading {
		s.updateWorker(c.Description, now)
	}
}

// WorkerDelisted reports that a worker's entry was removed from the store's list
// (Removed) or that its content does not describe a worker.
type WorkerDelisted struct {
	ID      string
	Removed bool
}

func (c WorkerDelisted) apply(s *Scheduler, now time.Time) {
	if until, ok := s.relistDeadline(now); ok && c.Removed && s.listed.get(c.ID).ID != "" {
		s.expiredEntries[c.ID] = until
		s.log("worker entry expired during a store outage", "worker", c.ID)
		return
	}
	s.delist(c.ID)
}

package scheduler

import (
	"hash/fnv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/zone/placement"
)

// Delays of the election.
const (
	// acquireJitter spreads the attempts of the nodes, so that usually only one of
	// them writes.
	acquireJitter = 120 * time.Millisecond
	// lowCPUDelay lets nodes with more CPU acquire the lease first. It is the extra
	// delay of a node with no CPU share and falls linearly to 0 at
	// sufficientCPUShare. The extra delay of a node with half of that share must
	// exceed acquireJitter and the interval at which nodes read the store, 250 ms, so
	// that a node with enough CPU always acquires the lease first: a weak scheduler of
	// a large fleet serves half of its callers.
	lowCPUDelay = 800 * time.Millisecond
	// sufficientCPUShare is the part of one core that suffices to schedule a fleet
	// of about 50 machines, with headroom.
	sufficientCPUShare = 0.4
	// acquireRetryDelay is the delay after an attempt that failed.
	acquireRetryDelay = 300 * time.Millisecond
)

// runsPerEpoch separates the run numbers that successive schedulers assign. One
// scheduler starts a task far fewer times than this.
const runsPerEpoch = 1000

// election is the state of the scheduler lease on this node.
type election struct {
	authority lease.Authority
	// holder is the lease holder in the store; its fence is 0 when there is none.
	holder HolderRead
	// endedFence is the fencing token of the last holder whose process is known to
	// have ended.
	endedFence int64
	// epoch is the epoch of the next scheduler.
	epoch         int
	epochRevision int64
	// releasedEpoch is the epoch of the last scheduler that released its lease.
	releasedEpoch int
	// syncedRevision is the store revision up to which the local copy of the jobs
	// is complete.
	syncedRevision int64
	acquiring      bool
	// holderSeenAt is when this node first read of the present holder. handoverAsked is
	// the fencing token of the last holder that was asked for the lease, handoverAt
	// when this node may ask next.
	holderSeenAt  time.Time
	handoverAsked int64
	handoverAt    time.Time
	// readingProgress is set while the progress of the jobs is read after this node
	// has acquired the lease. readProgressAt is when a failed read is repeated.
	readingProgress bool
	readProgressAt  time.Time
	acquireAt       time.Time
	renewAt         time.Time
	// yieldUntil is until when this node leaves the lease to other nodes, after a
	// contained failure.
	yieldUntil time.Time
	// stopping is set at a planned stop. This process then no longer acquires the
	// lease.
	stopping bool
}

// LeaseGranted reports that this node has acquired the scheduler lease. SentAt is
// when the request was sent.
type LeaseGranted struct {
	Fence, Lease int64
	Epoch        int
	SentAt       time.Time
	TTL          time.Duration
}

// Apply implements Event.
func (e LeaseGranted) Apply(s *Scheduler, now time.Time) {
	s.election.acquiring = false
	if s.election.stopping {
		s.act(ReleaseLease{e.Lease, e.Fence, e.Epoch})
		return
	}
	s.election.authority = lease.Grant(e.Fence, e.Lease, e.Epoch, e.SentAt, e.TTL, now)
	s.election.renewAt = now.Add(lease.RenewEvery)
	s.election.readingProgress = false
	s.log("scheduler lease taken", "fence", e.Fence, "epoch", e.Epoch)
}

// LeaseRefused reports that this node did not acquire the scheduler lease, because
// another node holds it or the attempt failed.
type LeaseRefused struct{ Reason string }

// Apply implements Event.
func (e LeaseRefused) Apply(s *Scheduler, now time.Time) {
	s.election.acquiring = false
	s.election.acquireAt = now.Add(acquireRetryDelay + s.acquireDelay())
}

// RenewOutcome is the result of a lease renewal.
type RenewOutcome int

// Results of a lease renewal.
const (
	Renewed RenewOutcome = iota
	// RenewUnknown means that the store did not answer or refused the call.
	RenewUnknown
	// RenewEnded means that the lease no longer exists.
	RenewEnded
)

// LeaseRenewed is the result of RenewLease.
type LeaseRenewed struct {
	Lease   int64
	Outcome RenewOutcome
	SentAt  time.Time
	TTL     time.Duration
}

// Apply implements Event.
func (e LeaseRenewed) Apply(s *Scheduler, now time.Time) {
	a := &s.election.authority
	if a.LeaseID != e.Lease {
		return
	}
	switch e.Outcome {
	case Renewed:
		a.Renew(e.SentAt, e.TTL)
	case RenewUnknown:
	case RenewEnded:
		s.stepDown("lease expired in the store", now)
	}
}

// Resign begins the planned stop of this process: it releases the scheduler lease
// and stops trying to acquire it.
type Resign struct{}

// Apply implements Event.
func (Resign) Apply(s *Scheduler, now time.Time) {
	s.election.stopping = true
	if a := s.election.authority; a.Held() {
		s.stepDown("planned stop", now)
		s.act(ReleaseLease{a.LeaseID, a.Fence, a.Epoch})
	}
}

// acquireDelay is how long this node waits before it tries to acquire a free
// lease: a part of acquireJitter that depends on its name, and up to lowCPUDelay
// more for a node with less than sufficientCPUShare.
func (s *Scheduler) acquireDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.options.NodeName))
	jitter := acquireJitter * time.Duration(h.Sum32()%100) / 100
	return jitter + time.Duration((1-min(1, s.options.CPUShare/sufficientCPUShare))*float64(lowCPUDelay))
}

// applyHolder updates the lease holder. It steps down if this node is no longer the
// holder and watches the process of the new one.
func (s *Scheduler) applyHolder(next HolderRead, now time.Time) {
	e := &s.election
	if next.Fence == e.holder.Fence {
		return
	}
	e.holder, e.holderSeenAt = next, now
	if next.Fence == 0 {
		e.acquireAt = now.Add(s.acquireDelay())
	}
	if e.authority.Held() && next.Fence > e.authority.Fence {
		s.stepDown("another scheduler holds the lease", now)
	}
	if e.authority.Held() && next.Fence == 0 {
		s.stepDown("lease deleted from the store", now)
	}
	if next.Fence == 0 || next.Process == s.options.ProcessID {
		s.act(WatchHolder{})
		return
	}
	s.log("scheduler seen", "holder", next.Holder, "fence", next.Fence)
	s.act(WatchHolder{Fence: next.Fence, Address: next.Address, Process: next.Process})
}

// HolderEnded reports that the process that holds the scheduler lease has ended. A
// successor need not wait for the lease to expire: fencing tokens order its
// requests after all those that the last holder has sent.
type HolderEnded struct {
	Fence  int64
	Reason string
}

// Apply implements Event.
func (e HolderEnded) Apply(s *Scheduler, now time.Time) {
	el := &s.election
	if e.Fence != el.holder.Fence || el.authority.Held() {
		return
	}
	el.endedFence = e.Fence
	el.acquireAt = now.Add(s.acquireDelay())
	s.log("scheduler's process has ended", "holder", el.holder.Holder, "fence", e.Fence, "reason", e.Reason)
}

// available reports whether the lease may be acquired: nobody holds it, or the
// holder's process has ended.
func (e *election) available() bool { return e.holder.Fence == 0 || e.holder.Fence == e.endedFence }

// stepElection acquires or renews the scheduler lease, and makes this node the
// active scheduler once its local copy is complete.
func (s *Scheduler) stepElection(now time.Time) {
	e := &s.election
	if !e.authority.Held() {
		s.acquireLease(now)
		s.stepHandover(now)
		return
	}
	if !now.Before(e.renewAt) {
		e.renewAt = now.Add(lease.RenewEvery)
		s.act(RenewLease{e.authority.LeaseID})
	}
	s.requestTick(e.renewAt)
	// When the local copy includes this node's own lease, it includes everything
	// that the previous scheduler stored: later writes of that scheduler fail,
	// because they are conditional on its lease. For the same reason a read of the
	// progress that is sent now finds everything that it has stored.
	if !s.leading && e.syncedRevision >= e.authority.Fence && s.config != nil {
		s.readProgress(now)
	}
}

// acquireLease tries to acquire the scheduler lease if it is available and this
// node's delay has passed.
func (s *Scheduler) acquireLease(now time.Time) {
	e := &s.election
	if e.stopping || e.acquiring || !e.available() || e.syncedRevision == 0 || s.config == nil {
		return
	}
	if e.acquireAt.IsZero() {
		e.acquireAt = now.Add(s.acquireDelay())
	}
	if at := laterOf(e.acquireAt, e.yieldUntil); now.Before(at) {
		s.requestTick(at)
		return
	}
	e.acquiring = true
	s.act(AcquireLease{
		Epoch: e.epoch, EpochRevision: e.epochRevision, Replaces: e.holder.Fence, ReplacedLease: e.holder.Lease,
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// authorized reports whether this node may send orders now: it is the active
// scheduler and its authority has not expired.
func (s *Scheduler) authorized(now time.Time) bool {
	return s.leading && s.election.authority.Valid(now)
}

// fence returns this scheduler's fencing token.
func (s *Scheduler) fence() int64 { return s.election.authority.Fence }

// machineOpsAllowed reports whether this node may order machine operations, that is
// upkeep and moves, now.
func (s *Scheduler) machineOpsAllowed(now time.Time) bool {
	return s.authorized(now) && now.Before(s.election.authority.MachineOpsUntil())
}

// notAfter returns the time from which this node may no longer send task orders.
func (s *Scheduler) notAfter() time.Time { return s.election.authority.Until() }

// epochBase returns the number that all run numbers assigned by this scheduler
// exceed.
func (s *Scheduler) epochBase() int { return s.election.authority.Epoch * runsPerEpoch }

// becomeActive makes this node the active scheduler. It rebuilds the tasks from
// the stored progress and adds every worker that may run one of them, so that
// it is polled.
func (s *Scheduler) becomeActive(now time.Time) {
	s.leading = true
	s.pending.startLeading(s.jobs)
	s.room.startLeading(now)
	s.counts.Takeovers++
	s.workers = newOrderedMap[string, *worker.Worker]()
	s.usage = make(map[string]machine.Resources)
	s.startFairShare(now)
	s.unfinished = newOrderedMap[job.ID, *job.Job]()
	s.flush = flushState{inFlight: make(map[job.ID]bool)}
	s.place = placeState{roundNeeded: true, waits: placement.NewWaits(s.options.RemoteFactor)}
	s.machineOps = newMachineOpsState(s.machineOpsFrom(now), s.inheritMachineOrders())
	s.machineOps.orderRate = upkeep.NewOrderRate(s.options.MachineOrdersPerSecond)
	s.startTurns(now)
	s.advice = adviceState{steps: make(map[string]map[string]permission)}
	s.unreconciled, s.awaitedWorkers = 0, nil
	s.deferredStarts = make(map[job.ID][]*job.Run)
	s.lostStarts = make(map[string][]lostStart)
	s.crashLog = crashLog{}
	// The previous scheduler sent no order after its lease had ended. The effect of
	// each of its orders has ended by this time, even on workers whose clock rate
	// is off by up to worker.ClockError percent.
	predecessorOrdersEnd := now.Add(s.options.MaxTaskLease*(100+worker.ClockError+1)/100 + worker.LeaseMargin)
	s.roster.writes = recordWrites{revision: s.roster.revision}
	s.silences.startLeading(now)
	for _, m := range s.roster.members {
		w := s.newWorker(worker.Description{ID: m.ID, Address: m.Address, Service: m.Service, DataCentre: m.DataCentre})
		w.Listed = false
		w.Recorded = true
		w.ExtendExpiryTo(s.silences.expiry(m.ID, predecessorOrdersEnd))
		s.workers.set(m.ID, w)
	}
	for id, d := range s.listed.all() {
		s.subject = Record{WorkerRecord, id}
		s.updateWorker(d, now)
	}
	for id, j := range s.jobs.all() {
		s.subject = jobRecord(id)
		s.trackJob(j)
	}
	s.subject = Record{}
	s.inheritEndedRuns(now)
	s.log("scheduling begins", "fence", s.fence(), "epoch", s.election.authority.Epoch, "jobs", s.unfinished.len(), "workers", s.workers.len(), "unsettled", s.unreconciled)
}

// machineOpsFrom returns from when this scheduler may order machines that its
// predecessor may have ordered. The first scheduler, of epoch 0, has none.
func (s *Scheduler) machineOpsFrom(now time.Time) time.Time {
	a := &s.election.authority
	if a.Epoch == 0 {
		return now
	}
	return a.MachineOpsFrom(s.options.MachineOpGap, s.election.releasedEpoch == a.Epoch-1)
}

// stepDown makes this node stop scheduling and drops its authority. It does not
// release the lease in the store.
func (s *Scheduler) stepDown(reason string, now time.Time) {
	s.log("scheduling ends", "reason", reason, "fence", s.fence())
	s.leading = false
	s.pending.stopLeading()
	s.stopFairShare()
	s.election.authority = lease.Authority{}
	s.election.acquireAt = now.Add(s.acquireDelay())
	for _, j := range s.jobs.all() {
		j.StopLeading()
	}
	for _, w := range s.waves.all() {
		w.Reset()
	}
	s.workers = newOrderedMap[string, *worker.Worker]()
	s.unfinished = newOrderedMap[job.ID, *job.Job]()
	s.usage, s.unreconciled, s.awaitedWorkers, s.deferredStarts, s.lostStarts = nil, 0, nil, nil, nil
	s.place.waits, s.counts.WaitingForRack = placement.NewWaits(s.options.RemoteFactor), 0
}

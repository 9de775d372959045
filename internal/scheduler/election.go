package scheduler

import (
	"hash/fnv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Times of the election.
const (
	// seekSpread spreads the nodes' attempts, so that usually one of them writes.
	seekSpread = 120 * time.Millisecond
	// weakDelay lets nodes with more of a processor take the lease first: it is
	// the wait of a node without any, and one with ordinaryShare waits no longer.
	// A node with half of it must wait longer than seekSpread.
	weakDelay = 400 * time.Millisecond
	// ordinaryShare is the part of a core that schedules the users' fleets of
	// about 50 machines with ease.
	ordinaryShare = 0.4
	// seekAgain is the pause after an attempt that failed.
	seekAgain = 300 * time.Millisecond
)

// runsPerEpoch separates the run numbers of one scheduler from those of the
// next. A task is started far less often under one scheduler.
const runsPerEpoch = 1000

// election is what a node knows of the scheduler's lease.
type election struct {
	authority lease.Authority
	// holder is what the store says of the lease, with fence 0 for none.
	holder LeaderRead
	// lostFence is the fencing token of the last holder whose process was found
	// to have ended.
	lostFence int64
	// epoch is the number that the next scheduler gets.
	epoch         int
	epochRevision int64
	// leftEpoch is the number of the last scheduler that gave its lease up.
	leftEpoch int
	// synced is the revision up to which the copy of the jobs is complete.
	synced  int64
	seeking bool
	seekAt  time.Time
	renewAt time.Time
	// leaving is set at a planned stop: the node takes the lease no more.
	leaving bool
}

// LeaseGranted reports that this node holds the scheduler's lease. SentAt is
// when it was asked for.
type LeaseGranted struct {
	Fence, Lease int64
	Epoch        int
	SentAt       time.Time
	TTL          time.Duration
}

// Apply implements Event.
func (e LeaseGranted) Apply(s *Scheduler, now time.Time) {
	s.election.seeking = false
	if s.election.leaving {
		s.act(EndLease{e.Lease, e.Fence, e.Epoch})
		return
	}
	s.election.authority = lease.Grant(e.Fence, e.Lease, e.Epoch, e.SentAt, e.TTL, now)
	s.election.renewAt = now.Add(lease.RenewEvery)
	s.note("scheduler lease taken", "fence", e.Fence, "epoch", e.Epoch)
}

// LeaseRefused reports that another node holds the lease or that the attempt
// failed.
type LeaseRefused struct{ Reason string }

// Apply implements Event.
func (e LeaseRefused) Apply(s *Scheduler, now time.Time) {
	s.election.seeking = false
	s.election.seekAt = now.Add(seekAgain + s.spread())
}

// RenewOutcome is the result of a renewal.
type RenewOutcome int

// Results of a renewal.
const (
	Renewed RenewOutcome = iota
	// RenewUnknown means that the store did not answer or refused the call.
	RenewUnknown
	// RenewEnded means that the lease no longer exists.
	RenewEnded
)

// LeaseRenewed is the answer to RenewLease.
type LeaseRenewed struct {
	Lease   int64
	Outcome RenewOutcome
	SentAt  time.Time
	TTL     time.Duration
}

// Apply implements Event.
func (e LeaseRenewed) Apply(s *Scheduler, now time.Time) {
	a := &s.election.authority
	if a.Lease != e.Lease {
		return
	}
	switch e.Outcome {
	case Renewed:
		a.Renew(e.SentAt, e.TTL)
	case RenewUnknown:
	case RenewEnded:
		s.stepDown("the lease ended", now)
	}
}

// Leave gives the scheduler's lease up at a planned stop.
type Leave struct{}

// Apply implements Event.
func (Leave) Apply(s *Scheduler, now time.Time) {
	s.election.leaving = true
	if a := s.election.authority; a.Held() {
		s.stepDown("planned stop", now)
		s.act(EndLease{a.Lease, a.Fence, a.Epoch})
	}
}

// spread is how long this node waits before it seeks the lease: its own share
// of seekSpread, and more the less of a processor it has.
func (s *Scheduler) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.terms.Self))
	own := seekSpread * time.Duration(h.Sum32()%100) / 100
	return own + time.Duration((1-min(1, s.terms.ProcessorShare/ordinaryShare))*float64(weakDelay))
}

func (s *Scheduler) leaderSeen(l LeaderRead, now time.Time) {
	e := &s.election
	if l.Fence == e.holder.Fence {
		return
	}
	e.holder = l
	if l.Fence == 0 {
		e.seekAt = now.Add(s.spread())
	}
	if e.authority.Held() && l.Fence > e.authority.Fence {
		s.stepDown("another scheduler holds the lease", now)
	}
	if e.authority.Held() && l.Fence == 0 {
		s.stepDown("the lease is gone from the store", now)
	}
	if l.Fence == 0 || l.Process == s.terms.Process {
		s.act(WatchHolder{})
		return
	}
	s.note("scheduler seen", "holder", l.Holder, "fence", l.Fence)
	s.act(WatchHolder{Fence: l.Fence, Address: l.Address, Process: l.Process})
}

// HolderLost reports that the process that holds the scheduler's lease has
// ended. A successor need not wait until the lease lapses: fencing tokens order
// the two, whatever the last holder has sent.
type HolderLost struct {
	Fence  int64
	Reason string
}

// Apply implements Event.
func (e HolderLost) Apply(s *Scheduler, now time.Time) {
	el := &s.election
	if e.Fence != el.holder.Fence || el.authority.Held() {
		return
	}
	el.lostFence = e.Fence
	el.seekAt = now.Add(s.spread())
	s.note("scheduler's process has ended", "holder", el.holder.Holder, "fence", e.Fence, "reason", e.Reason)
}

// vacant reports whether the lease may be sought.
func (e *election) vacant() bool { return e.holder.Fence == 0 || e.holder.Fence == e.lostFence }

// stepElection seeks, renews and enters or leaves the role.
func (s *Scheduler) stepElection(now time.Time) {
	e := &s.election
	if !e.authority.Held() {
		s.seek(now)
		return
	}
	if !now.Before(e.renewAt) {
		e.renewAt = now.Add(lease.RenewEvery)
		s.act(RenewLease{e.authority.Lease})
	}
	s.wake(e.renewAt)
	// All that the last scheduler stored has been read when the copy reaches this
	// node's own lease: its later writes fail on their condition.
	if !s.leading && e.synced >= e.authority.Fence && s.config != nil {
		s.lead(now)
	}
}

func (s *Scheduler) seek(now time.Time) {
	e := &s.election
	if e.leaving || e.seeking || !e.vacant() || e.synced == 0 || s.config == nil {
		return
	}
	if e.seekAt.IsZero() {
		e.seekAt = now.Add(s.spread())
	}
	if now.Before(e.seekAt) {
		s.wake(e.seekAt)
		return
	}
	e.seeking = true
	s.act(SeekLease{
		Epoch: e.epoch, EpochRevision: e.epochRevision, Replaces: e.holder.Fence, ReplacedLease: e.holder.Lease,
	})
}

// authorized reports whether orders may be given now.
func (s *Scheduler) authorized(now time.Time) bool {
	return s.leading && s.election.authority.Valid(now)
}

func (s *Scheduler) fence() int64 { return s.election.authority.Fence }

// dutiesAllowed reports whether orders for machines may be given now.
func (s *Scheduler) dutiesAllowed(now time.Time) bool {
	return s.authorized(now) && now.Before(s.election.authority.DutyUntil())
}

// notAfter is when the right to send an order ends.
func (s *Scheduler) notAfter() time.Time { return s.election.authority.Until() }

func (s *Scheduler) epochBase() int { return s.election.authority.Epoch * runsPerEpoch }

// lead enters the role: it rebuilds tasks from the stored progress and asks
// every worker that may run some.
func (s *Scheduler) lead(now time.Time) {
	s.leading = true
	s.counts.Takeovers++
	s.workers = newOrdered[string, *worker.Worker]()
	s.usage = make(map[string]machine.Resources)
	s.unfinish = newOrdered[job.ID, *job.Job]()
	s.flush = flushState{busy: make(map[job.ID]bool)}
	s.place = placeState{dirty: true}
	s.duties = newDutyState(s.firstDuty(now))
	s.advice = adviceState{steps: make(map[string]map[string]permission)}
	s.unsettled, s.awaited = 0, nil
	s.held = make(map[job.ID][]*job.Run)
	// The last scheduler gave no order after its lease ended, and none of its
	// orders lasts longer than this.
	end := now.Add(s.terms.LongestHold*(100+worker.ClockError+1)/100 + worker.HoldMargin)
	s.roster.writing = false
	for _, m := range s.roster.members {
		w := worker.New(worker.Description{ID: m.ID, Address: m.Address, Service: m.Service, Zone: m.DataCentre})
		w.Listed = false
		w.Recorded = true
		w.ExpectOrders(end)
		s.workers.set(m.ID, w)
	}
	for _, d := range s.listed.all() {
		s.meetWorker(d, now)
	}
	for _, j := range s.jobs.all() {
		s.leadJob(j)
	}
	s.note("scheduling begins", "fence", s.fence(), "epoch", s.election.authority.Epoch, "jobs", s.unfinish.len(), "workers", s.workers.len(), "unsettled", s.unsettled)
}

// firstDuty returns when the first order for a machine may be given.
func (s *Scheduler) firstDuty(now time.Time) time.Time {
	a := &s.election.authority
	if a.Epoch == 0 {
		return now
	}
	return a.DutyFrom(s.terms.DutyTurn, s.election.leftEpoch == a.Epoch-1)
}

// stepDown leaves the role.
func (s *Scheduler) stepDown(reason string, now time.Time) {
	s.note("scheduling ends", "reason", reason, "fence", s.fence())
	s.leading = false
	s.election.authority = lease.Authority{}
	s.election.seekAt = now.Add(s.spread())
	for _, j := range s.jobs.all() {
		j.Follow()
	}
	for _, w := range s.waves.all() {
		w.Reset()
	}
	s.workers = newOrdered[string, *worker.Worker]()
	s.unfinish = newOrdered[job.ID, *job.Job]()
	s.usage, s.unsettled, s.awaited, s.held = nil, 0, nil, nil
}

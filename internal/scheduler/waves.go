package scheduler

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Times of duties for machines.
const (
	// listEvery is the age of the list of machines at which it is read again while
	// a wave is under way.
	listEvery = 500 * time.Millisecond
	// drainPatience is how long a machine's tasks may take to finish before those
	// that can resume are stopped; waitPatience is when the rest is given up.
	drainPatience = 700 * time.Millisecond
	waitPatience  = 2200 * time.Millisecond
	// drainLimit is how long a machine may be kept from new work without getting
	// empty; drainPause is when it is tried again.
	drainLimit = 5 * time.Second
	drainPause = 2 * time.Second
	// dutyRetry is the pause after an order that was refused or not answered.
	dutyRetry = 300 * time.Millisecond
	// publishGap gathers a wave's progress into one write.
	publishGap = 400 * time.Millisecond
)

type dutyState struct {
	// notBefore is when the first duty of this scheduler may be ordered.
	notBefore time.Time
	machines  map[string]upkeep.Machine
	listedAt  time.Time
	listing   bool
	listAt    time.Time
	planner   *pools.Planner
	planAt    time.Time
	moves     map[string]*moveState
	// arrivals are the jobs of each service that came of late.
	arrivals map[string][]arrival
	// retired are workers whose machine was taken away from under them.
	retired map[string]bool
}

func newDutyState(notBefore time.Time) dutyState {
	return dutyState{
		notBefore: notBefore, retired: make(map[string]bool),
		planner: pools.NewPlanner(), moves: make(map[string]*moveState), arrivals: make(map[string][]arrival),
	}
}

// MachinesListed is the answer to ListMachines.
type MachinesListed struct {
	OK       bool
	Machines []upkeep.Machine
	SentAt   time.Time
}

// Apply implements Event.
func (e MachinesListed) Apply(s *Scheduler, now time.Time) {
	s.duties.listing = false
	s.duties.listAt = now.Add(listEvery)
	if !s.leading || !e.OK {
		return
	}
	s.duties.listedAt = e.SentAt
	before := s.duties.machines
	s.duties.machines = make(map[string]upkeep.Machine, len(e.Machines))
	for _, m := range e.Machines {
		s.duties.machines[m.Name] = m
		if old := before[m.Name].Worker; m.Outlived(old) {
			s.retire(old, "its machine has gone on without it", now)
		}
	}
}

// stepWaves carries waves on.
func (s *Scheduler) stepWaves(now time.Time) {
	for _, number := range s.waveNumbers() {
		w := s.waves.get(number)
		s.publishWave(w, now)
		if w.Announced != upkeep.AnnouncedCompleted || w.Busy() > 0 {
			s.stepWave(w, now)
		}
	}
}

// waveNumbers returns the numbers of all waves, lowest first.
func (s *Scheduler) waveNumbers() []int64 {
	var numbers []int64
	for number := range s.waves.all() {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

func (s *Scheduler) listMachines(now time.Time) {
	d := &s.duties
	if d.listing {
		return
	}
	if now.Before(d.listAt) {
		s.wake(d.listAt)
		return
	}
	d.listing = true
	s.act(ListMachines{})
}

func (s *Scheduler) publishWave(w *upkeep.Wave, now time.Time) {
	want := upkeep.AnnouncedRunning
	if w.Complete() {
		want = upkeep.AnnouncedCompleted
	}
	if w.Publishing || w.Announced >= want && w.Published >= len(w.Begun()) || !s.authorized(now) {
		return
	}
	if now.Before(w.RetryAt) {
		s.wake(w.RetryAt)
		return
	}
	w.Publishing = true
	s.act(PublishWave{Wave: w.Order.Wave, Completed: want == upkeep.AnnouncedCompleted, Begun: w.Begun(), Fence: s.fence()})
}

// WavePublished is the answer to PublishWave.
type WavePublished struct {
	Wave      int64
	Completed bool
	Begun     int
	OK        bool
}

// Apply implements Event.
func (e WavePublished) Apply(s *Scheduler, now time.Time) {
	w := s.waves.get(e.Wave)
	if w == nil {
		return
	}
	w.Publishing = false
	w.RetryAt = now.Add(publishGap)
	if !e.OK {
		return
	}
	w.Published = max(w.Published, e.Begun)
	w.Announced = max(w.Announced, upkeep.AnnouncedRunning)
	if e.Completed {
		w.Announced = upkeep.AnnouncedCompleted
		s.note("wave completed", "wave", e.Wave, "machines", len(w.Members))
	}
}

// stepWave moves each member on as far as it may go.
func (s *Scheduler) stepWave(w *upkeep.Wave, now time.Time) {
	if s.duties.machines == nil {
		return
	}
	for _, m := range w.Members {
		s.observeMember(w, m, now)
	}
	s.reserveMembers(w, now)
	for _, m := range w.Members {
		if m.Phase == upkeep.Draining {
			s.drainMember(w, m, now)
		}
		if m.Phase == upkeep.Ordered && !m.InFlight {
			s.orderUpkeep(w, m, now)
		}
	}
}

// observeMember takes over what the list of machines says.
func (s *Scheduler) observeMember(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	known, ok := s.duties.machines[m.Name]
	after := s.duties.listedAt.After(m.Since)
	gone := !ok && m.Missed(s.duties.listedAt)
	if ok {
		m.MissingSince = time.Time{}
	}
	// An earlier scheduler may have ordered it, or it is down for another wave. One
	// that the list lacks may be.
	m.Away = m.Phase == upkeep.Waiting && (known.State == upkeep.MachineUpkeep || !ok && !gone)
	switch {
	case gone && (m.Phase == upkeep.Waiting || m.Phase == upkeep.Draining) && after:
		s.note("machine of a wave is gone", "wave", w.Order.Wave, "machine", m.Name)
		m.Enter(upkeep.Finished, now)
	case m.Phase == upkeep.Down && after && (gone || known.State == upkeep.MachineUp):
		m.Enter(upkeep.Finished, now)
		s.release(known)
	case m.Phase == upkeep.Draining && (known.State != upkeep.MachineUp || now.Sub(m.Since) > drainLimit):
		s.release(known)
		m.Enter(upkeep.Waiting, now)
		m.RetryAt = now.Add(drainPause)
	}
}

// Pace of a wave.
const (
	// waveCycle is how long one machine takes: draining, upkeep and the time until
	// the list of machines shows it up.
	waveCycle = 4500 * time.Millisecond
	// waveReserve is kept of a wave's time for machines that cannot go at first.
	waveReserve = 4 * time.Second
)

// reserveMembers keeps new work away from the machines that come next. Idle
// machines go as soon as there is a place; others only as fast as the deadline
// asks for.
func (s *Scheduler) reserveMembers(w *upkeep.Wave, now time.Time) {
	pace := w.Pace(now, waveCycle, waveReserve)
	for w.Count(upkeep.Draining)+w.Busy() < w.AtOnce {
		next, cost := s.cheapestMember(w, now)
		if next == nil || cost > 0 && w.Count(upkeep.Draining)+w.Busy() >= pace {
			return
		}
		next.Enter(upkeep.Draining, now)
		if wk := s.workers.get(s.duties.machines[next.Name].Worker); wk != nil {
			wk.Reserved = true
		}
	}
}

// cheapestMember returns the waiting member that interrupts least.
func (s *Scheduler) cheapestMember(w *upkeep.Wave, now time.Time) (*upkeep.Member, int) {
	var next *upkeep.Member
	fewest := 0
	for _, m := range w.Members {
		known := s.duties.machines[m.Name]
		if m.Phase != upkeep.Waiting || known.State != upkeep.MachineUp || now.Before(m.RetryAt) || s.duties.moves[m.Name] != nil {
			continue
		}
		if cost := s.removalCost(known); next == nil || cost < fewest {
			next, fewest = m, cost
		}
	}
	return next, fewest
}

// removalCost orders machines by what taking them down interrupts: lasting
// tasks that cannot go now weigh most.
func (s *Scheduler) removalCost(m upkeep.Machine) int {
	wk := s.workers.get(m.Worker)
	if wk == nil {
		return 0
	}
	cost := len(wk.Runs())
	for _, r := range wk.Runs() {
		if r.Task.Spec().Lasting && !s.mayMiss(wk, r) {
			cost += 1000
		}
	}
	return cost
}

// mayMiss reports whether a lasting run may be ended now: with all tasks of its
// step on the worker, no more than the step's allowance would be away.
func (s *Scheduler) mayMiss(w *worker.Worker, r *job.Run) bool {
	spec := r.Task.Spec()
	if !spec.Lasting || spec.MayMiss == 0 || r.Task.Occurrence.Job.Ended() {
		return true
	}
	away := 0
	tasks := r.Task.Occurrence.Tasks(r.Task.Step)
	for i := range tasks {
		t := &tasks[i]
		here := slices.ContainsFunc(t.Runs, func(o *job.Run) bool { return o.Worker == w.ID })
		if here || !s.atWork(t) {
			away++
		}
	}
	return away <= spec.MayMiss
}

// atWork reports whether a lasting task serves, as far as this scheduler knows.
// A run on a worker that does not answer may have ended long ago.
func (s *Scheduler) atWork(t *job.Task) bool {
	return slices.ContainsFunc(t.Runs, func(r *job.Run) bool {
		w := s.workers.get(r.Worker)
		return r.AtWork() && w != nil && !w.Silent
	})
}

// mayStop reports whether one lasting run may be ended now.
func (s *Scheduler) mayStop(r *job.Run) bool {
	spec := r.Task.Spec()
	if !spec.Lasting || spec.MayMiss == 0 || r.Task.Occurrence.Job.Ended() {
		return true
	}
	away := 1
	tasks := r.Task.Occurrence.Tasks(r.Task.Step)
	for i := range tasks {
		if &tasks[i] != r.Task && !s.atWork(&tasks[i]) {
			away++
		}
	}
	return away <= spec.MayMiss
}

// drainMember orders upkeep once the machine is empty enough.
func (s *Scheduler) drainMember(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	wk := s.workers.get(s.duties.machines[m.Name].Worker)
	if wk != nil {
		wk.Reserved = true
	}
	if w.Busy() >= w.AtOnce || !s.authorized(now) {
		return
	}
	if now.Before(s.duties.notBefore) {
		s.wake(s.duties.notBefore)
		return
	}
	if wk != nil && (!settled(wk, now) || !s.emptyEnough(wk, now.Sub(m.Since), now)) {
		return
	}
	m.Enter(upkeep.Ordered, now)
	if wk != nil {
		for _, r := range wk.Runs() {
			r.Planned = true
		}
	}
}

// settled reports whether it is known what runs on a worker: it has answered
// this scheduler, or nothing can run on it any more.
func settled(wk *worker.Worker, now time.Time) bool { return wk.Heard || wk.Expired(now) }

// emptyEnough reports whether a machine may go down after draining for a time.
func (s *Scheduler) emptyEnough(wk *worker.Worker, drained time.Duration, now time.Time) bool {
	ready := true
	for _, r := range wk.Runs() {
		spec := r.Task.Spec()
		switch {
		case spec.Lasting:
			ready = ready && s.lastingMayGo(wk, r, now)
		case drained >= waitPatience:
		case spec.Checkpoints && drained >= drainPatience:
			if r.StopSent.IsZero() && r.Phase == job.RunActive {
				r.Planned = true
				s.stopRun(wk, r, now)
			}
			ready = false
		default:
			ready = false
		}
	}
	if !ready {
		s.wake(now.Add(listEvery / 4))
	}
	return ready
}

// lastingMayGo reports whether a lasting run may end with its machine. Where
// the machine holds more of a step than may be away, they move one by one.
func (s *Scheduler) lastingMayGo(wk *worker.Worker, r *job.Run, now time.Time) bool {
	if s.mayMiss(wk, r) {
		return true
	}
	if r.StopSent.IsZero() && r.Phase == job.RunActive && s.mayStop(r) {
		r.Planned = true
		s.stopRun(wk, r, now)
	}
	return false
}

func (s *Scheduler) orderUpkeep(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	if !s.dutiesAllowed(now) {
		return
	}
	if now.Before(m.RetryAt) {
		s.wake(m.RetryAt)
		return
	}
	m.InFlight = true
	s.note("upkeep ordered", "wave", w.Order.Wave, "machine", m.Name, "busy", w.Busy(), "at_once", w.AtOnce, "drained_ms", now.Sub(m.Since).Milliseconds())
	s.act(OrderUpkeep{Machine: m.Name, Wave: w.Order.Wave, Fence: s.fence(), NotAfter: s.election.authority.DutyUntil()})
}

// DutyOutcome is the result of an order for a machine.
type DutyOutcome int

// Results of an order for a machine.
const (
	DutyDone DutyOutcome = iota
	// DutyNotDone means that the service certainly did nothing.
	DutyNotDone
	// DutyUnknown means that the order may have been carried out.
	DutyUnknown
)

// UpkeepAnswered is the answer to OrderUpkeep.
type UpkeepAnswered struct {
	Machine string
	Wave    int64
	Fence   int64
	Outcome DutyOutcome
	Refusal upkeep.Refusal
}

// Apply implements Event.
func (e UpkeepAnswered) Apply(s *Scheduler, now time.Time) {
	w := s.waves.get(e.Wave)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	for _, m := range w.Members {
		if m.Name == e.Machine {
			m.InFlight = false
			s.upkeepAnswered(m, e, now)
		}
	}
}

func (s *Scheduler) upkeepAnswered(m *upkeep.Member, e UpkeepAnswered, now time.Time) {
	known := s.duties.machines[m.Name]
	m.RetryAt = now.Add(dutyRetry)
	s.duties.listAt = now
	switch {
	case e.Outcome == DutyDone:
		// The answer may repeat that of an earlier order. The list of machines says
		// which worker has ended.
		m.Enter(upkeep.Down, now)
		s.note("upkeep began", "wave", e.Wave, "machine", m.Name, "worker", known.Worker)
	case e.Outcome == DutyNotDone && (e.Refusal == upkeep.RefusedWave || e.Refusal == upkeep.RefusedUnknown):
		s.note("upkeep refused", "wave", e.Wave, "machine", m.Name, "reason", e.Refusal)
		m.Enter(upkeep.Finished, now)
		s.release(known)
	case e.Outcome == DutyNotDone:
		s.note("upkeep refused", "wave", e.Wave, "machine", m.Name, "reason", e.Refusal)
		m.Enter(upkeep.Waiting, now)
		s.release(known)
	default:
		s.note("upkeep without an answer", "wave", e.Wave, "machine", m.Name)
	}
}

// release lets a machine take new work again.
func (s *Scheduler) release(m upkeep.Machine) {
	if wk := s.workers.get(m.Worker); wk != nil {
		wk.Reserved = false
		s.place.dirty = true
	}
}

// retire takes a worker off whose machine was taken away from under it: all
// that ran on it has ended.
func (s *Scheduler) retire(id, reason string, now time.Time) {
	s.duties.retired[id] = true
	s.listed.delete(id)
	w := s.workers.get(id)
	if w == nil {
		return
	}
	s.loseRuns(w, reason, now)
	s.dropWorker(w)
}

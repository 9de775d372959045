package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Intervals and timeouts of machine operations: upkeep and moves.
const (
	// listInterval is the time between two reads of the list of machines.
	listInterval = 500 * time.Millisecond
	// checkpointStopDelay is how long the tasks on a draining machine may take to
	// finish before those that can resume from a checkpoint are stopped. After
	// drainGrace, the machine is taken down with the remaining tasks still running.
	checkpointStopDelay = 700 * time.Millisecond
	drainGrace          = 2200 * time.Millisecond
	// machineDrainTimeout is how long a machine may drain before it is returned to
	// service; after drainRetryDelay it may be drained again.
	machineDrainTimeout = 5 * time.Second
	drainRetryDelay     = 2 * time.Second
	// machineOpRetryDelay is the delay before the next order for a machine after one
	// that was refused or not answered.
	machineOpRetryDelay = 300 * time.Millisecond
	// publishInterval gathers the progress of a wave into one write.
	publishInterval = 400 * time.Millisecond
)

// machineOpsState is the state of upkeep and moves that is not part of a wave.
type machineOpsState struct {
	// notBefore is from when this scheduler may order the machines that an earlier
	// scheduler may have ordered.
	notBefore time.Time
	orders    machineOrders
	orderRate upkeep.OrderRate
	// machines is the last list of machines by name, nil before the first one.
	// listedAt is when its read was sent, listAt when the next read is due.
	machines map[string]upkeep.Machine
	listedAt time.Time
	listing  bool
	listAt   time.Time
	planner  *pools.Planner
	planAt   time.Time
	// moves are the moves under way by machine.
	moves map[string]*moveState
	// arrivals are, by service, the jobs accepted within the last forecastWindow.
	arrivals map[string][]arrival
	// retired are the workers whose machine was moved, maintained or given to another
	// worker. Their entries in the store's list are ignored.
	retired map[string]bool
}

func newMachineOpsState(notBefore time.Time, orders machineOrders) machineOpsState {
	return machineOpsState{
		notBefore: notBefore, orders: orders, retired: make(map[string]bool),
		planner: pools.NewPlanner(), moves: make(map[string]*moveState), arrivals: make(map[string][]arrival),
	}
}

// MachinesListed is the result of ListMachines. SentAt is when the read was sent.
type MachinesListed struct {
	OK       bool
	Machines []upkeep.Machine
	SentAt   time.Time
}

// Apply implements Event.
func (e MachinesListed) Apply(s *Scheduler, now time.Time) {
	s.machineOps.listing = false
	s.machineOps.listAt = now.Add(listInterval)
	if !s.leading || !e.OK {
		return
	}
	s.machineOps.listedAt = e.SentAt
	before := s.machineOps.machines
	s.machineOps.machines = make(map[string]upkeep.Machine, len(e.Machines))
	for _, m := range e.Machines {
		s.machineOps.machines[m.Name] = m
		if old := before[m.Name].Worker; m.WorkerEnded(old) {
			s.retireWorker(old, "machine was moved, maintained or given to another worker", now)
		}
	}
	s.settleHeldOrders()
}

// stepWaves publishes the progress of each wave and advances those that are not
// completed.
func (s *Scheduler) stepWaves(now time.Time) {
	for _, number := range s.waveNumbers() {
		w := s.waves.get(number)
		s.subject = waveRecord(number)
		s.publishWave(w, now)
		if w.Announced != upkeep.AnnouncedCompleted || w.BusyCount() > 0 {
			s.stepWave(w, now)
		}
	}
	s.subject = Record{}
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

// listMachines reads the list of machines if the next read is due.
func (s *Scheduler) listMachines(now time.Time) {
	ops := &s.machineOps
	if ops.listing {
		return
	}
	if now.Before(ops.listAt) {
		s.requestTick(ops.listAt)
		return
	}
	ops.listing = true
	s.act(ListMachines{})
}

// publishWave stores the progress of a wave if it has changed since the last write.
func (s *Scheduler) publishWave(w *upkeep.Wave, now time.Time) {
	want := upkeep.AnnouncedRunning
	if w.Complete() {
		want = upkeep.AnnouncedCompleted
	}
	if w.Publishing || w.Announced >= want && w.PublishedBegun >= len(w.BegunMembers()) || !s.authorized(now) {
		return
	}
	if now.Before(w.RetryAt) {
		s.requestTick(w.RetryAt)
		return
	}
	w.Publishing = true
	s.act(PublishWave{Wave: w.Order.Wave, Completed: want == upkeep.AnnouncedCompleted, Begun: w.BegunMembers(), Fence: s.fence(), Expected: w.Revision})
}

// WavePublished is the result of PublishWave. Begun is the number of machines whose
// upkeep was stored as begun.
type WavePublished struct {
	Wave, Fence int64
	Completed   bool
	Begun       int
	Result      RecordResult
}

// Apply implements Event.
func (e WavePublished) Apply(s *Scheduler, now time.Time) {
	w := s.waves.get(e.Wave)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	w.Publishing = false
	w.RetryAt = now.Add(publishInterval)
	switch e.Result.Outcome {
	case StoreDone, StoreConflict:
		w.Revision = e.Result.Revision
	case StoreLeaseLost:
		s.stepDown("the store has another lease holder", now)
	}
	if e.Result.Outcome != StoreDone {
		return
	}
	w.PublishedBegun = max(w.PublishedBegun, e.Begun)
	w.Announced = max(w.Announced, upkeep.AnnouncedRunning)
	if e.Completed {
		w.Announced = upkeep.AnnouncedCompleted
		s.log("wave completed", "wave", e.Wave, "machines", len(w.Members))
	}
}

// stepWave advances each member of a wave as far as the wave's limits allow.
func (s *Scheduler) stepWave(w *upkeep.Wave, now time.Time) {
	if s.machineOps.machines == nil {
		return
	}
	for _, m := range w.Members {
		s.updateMember(w, m, now)
	}
	s.drainNextMembers(w, now)
	for _, m := range w.Members {
		if m.Phase == upkeep.Draining {
			s.drainMember(w, m, now)
		}
		if m.Phase == upkeep.Ordered && !m.InFlight {
			s.orderUpkeep(w, m, now)
		}
	}
}

// updateMember updates a member of a wave from the list of machines.
func (s *Scheduler) updateMember(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	listed, ok := s.machineOps.machines[m.Name]
	after := s.machineOps.listedAt.After(m.Since)
	delisted := !ok && m.RecordMissing(s.machineOps.listedAt)
	if ok {
		m.MissingSince = time.Time{}
	}
	// A waiting member that is in upkeep may be down for this wave, because an
	// earlier scheduler may have ordered the upkeep, or for another one. A member
	// that is missing from the list may be in upkeep, too, and so may one that an
	// earlier scheduler has ordered while the list does not show it yet.
	m.MaybeDown = m.Phase == upkeep.Waiting && (listed.State == upkeep.MachineUpkeep || !ok && !delisted || s.orderMayBeInFlight(m.Name))
	switch {
	case delisted && (m.Phase == upkeep.Waiting || m.Phase == upkeep.Draining) && after:
		s.log("wave machine no longer listed", "wave", w.Order.Wave, "machine", m.Name)
		m.EnterPhase(upkeep.Finished, now)
	case m.Phase == upkeep.Down && after && (delisted || listed.State == upkeep.MachineUp):
		m.EnterPhase(upkeep.Finished, now)
		s.unreserve(listed)
	case m.Phase == upkeep.Draining && (listed.State != upkeep.MachineUp || now.Sub(m.Since) > machineDrainTimeout):
		s.unreserve(listed)
		m.EnterPhase(upkeep.Waiting, now)
		m.RetryAt = now.Add(drainRetryDelay)
	}
}

// Durations from which the required concurrency of a wave is computed.
const (
	// waveCycle is how long one machine takes: draining, upkeep and the time until
	// the list of machines shows it up.
	waveCycle = 4500 * time.Millisecond
	// waveReserve is the part of a wave's time that is reserved for machines that
	// cannot be taken down in their first attempt.
	waveReserve = 4 * time.Second
)

// drainNextMembers starts to drain the next members of a wave. Idle machines are
// drained immediately, up to the wave's limit; other machines only as fast as the
// wave's deadline requires.
func (s *Scheduler) drainNextMembers(w *upkeep.Wave, now time.Time) {
	inProgress := w.Count(upkeep.Draining) + w.BusyCount()
	if inProgress >= w.MaxConcurrent {
		return
	}
	required := w.RequiredConcurrency(now, waveCycle, waveReserve)
	for _, next := range s.drainableMembers(w, now) {
		if inProgress >= w.MaxConcurrent || next.cost > 0 && inProgress >= required {
			return
		}
		inProgress++
		next.member.EnterPhase(upkeep.Draining, now)
		if wk := s.workers.get(s.machineOps.machines[next.member.Name].Worker); wk != nil {
			wk.Reserved = true
		}
	}
}

// drainable is a waiting member of a wave that can be drained now, and its
// interruptionCost.
type drainable struct {
	member *upkeep.Member
	cost   int
}

// drainableMembers returns the waiting members that can be drained now, those with the
// lowest interruptionCost first.
func (s *Scheduler) drainableMembers(w *upkeep.Wave, now time.Time) []drainable {
	var list []drainable
	for _, m := range w.Members {
		listed := s.machineOps.machines[m.Name]
		if m.Phase != upkeep.Waiting || listed.State != upkeep.MachineUp || now.Before(m.RetryAt) || s.machineOps.moves[m.Name] != nil || s.heldBack(m.Name, now) {
			continue
		}
		list = append(list, drainable{m, s.interruptionCost(listed)})
	}
	slices.SortStableFunc(list, func(a, b drainable) int { return cmp.Compare(a.cost, b.cost) })
	return list
}

// drainMember marks a draining member as ready for its upkeep order once its
// machine may go down.
func (s *Scheduler) drainMember(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	wk := s.workers.get(s.machineOps.machines[m.Name].Worker)
	if wk != nil {
		wk.Reserved = true
	}
	if w.BusyCount() >= w.MaxConcurrent || !s.authorized(now) {
		return
	}
	if wk != nil && (!runsKnown(wk, now) || holdsEnds(wk) || !s.evictRuns(wk, now.Sub(m.Since), now)) {
		return
	}
	m.EnterPhase(upkeep.Ordered, now)
	if wk != nil {
		for _, r := range wk.Runs() {
			r.EndPlanned = true
		}
	}
}

// holdsEnds reports whether a worker is the only one that keeps the end of a run for a
// successor of this scheduler, because the store does not hold it yet. Taken down now, it
// would take the end with it, and a task that is done would run again.
func holdsEnds(wk *worker.Worker) bool { return wk.HasUnacknowledgedEnds() || wk.EndsOutstanding }

// runsKnown reports whether the runs on a worker are known: it has answered
// this scheduler, or nothing can be running on it any longer.
func runsKnown(wk *worker.Worker, now time.Time) bool { return wk.Answered || wk.Expired(now) }

// unreserve allows new runs on a machine's worker again. The runs on it stay.
func (s *Scheduler) unreserve(m upkeep.Machine) {
	if wk := s.workers.get(m.Worker); wk != nil {
		wk.Reserved = false
		keepRuns(wk)
		s.place.roundNeeded = true
	}
}

// keepRuns takes back that the runs on a worker end with its machine. Those that were
// stopped end.
func keepRuns(wk *worker.Worker) {
	for _, r := range wk.Runs() {
		if r.StopSentAt.IsZero() {
			r.EndPlanned = false
		}
	}
}

// retireWorker removes a worker that has ended, because its machine was moved,
// maintained or given to another worker. All of its runs are lost.
func (s *Scheduler) retireWorker(workerID, reason string, now time.Time) {
	s.machineOps.retired[workerID] = true
	s.listed.delete(workerID)
	w := s.workers.get(workerID)
	if w == nil {
		return
	}
	s.loseRuns(w, reason, now)
	s.dropWorker(w)
}

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// orderUpkeep orders the upkeep of a member whose machine may go down.
func (s *Scheduler) orderUpkeep(w *upkeep.Wave, m *upkeep.Member, now time.Time) {
	if !s.machineOpsAllowed(now) {
		return
	}
	if now.Before(m.RetryAt) {
		s.requestTick(m.RetryAt)
		return
	}
	if wk := s.workers.get(s.machineOps.machines[m.Name].Worker); wk != nil && !m.OrderSent && !s.mayEndWithRuns(wk) {
		s.resumeDraining(m, wk, now)
		return
	}
	if !s.mayOrderMachine(MachineOrder{Machine: m.Name, Wave: w.Order.Wave, Worker: s.machineOps.machines[m.Name].Worker}, now) {
		return
	}
	m.InFlight, m.OrderSent = true, true
	s.log("upkeep ordered", "wave", w.Order.Wave, "machine", m.Name, "busy", w.BusyCount(), "at_once", w.MaxConcurrent, "drained_ms", now.Sub(m.Since).Milliseconds())
	s.act(OrderUpkeep{Machine: m.Name, Wave: w.Order.Wave, Fence: s.fence(), NotAfter: s.election.authority.MachineOpsUntil()})
}

// resumeDraining takes back that a member is ready for its upkeep. The order has waited
// for the store or for the rate of orders, and tasks elsewhere have become unavailable
// meanwhile.
func (s *Scheduler) resumeDraining(m *upkeep.Member, wk *worker.Worker, now time.Time) {
	s.dropMachineOrder(m.Name)
	s.log("upkeep put off", "machine", m.Name, "worker", wk.ID, "waited_ms", now.Sub(m.Since).Milliseconds())
	keepRuns(wk)
	m.EnterPhase(upkeep.Draining, now)
}

// MachineOpOutcome is the result of an order for a machine operation.
type MachineOpOutcome int

// Results of an order for a machine operation.
const (
	MachineOpDone MachineOpOutcome = iota
	// MachineOpNotDone means that the order was not carried out and will not be.
	MachineOpNotDone
	// MachineOpUnknown means that the order may have been carried out.
	MachineOpUnknown
)

// UpkeepAnswered is the result of OrderUpkeep.
type UpkeepAnswered struct {
	Machine string
	Wave    int64
	Fence   int64
	Outcome MachineOpOutcome
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
			s.applyUpkeepAnswer(m, e, now)
		}
	}
}

func (s *Scheduler) applyUpkeepAnswer(m *upkeep.Member, e UpkeepAnswered, now time.Time) {
	listed := s.machineOps.machines[m.Name]
	m.RetryAt = now.Add(machineOpRetryDelay)
	s.machineOps.listAt = now
	if e.Outcome == MachineOpNotDone {
		s.dropMachineOrder(m.Name)
	}
	switch {
	case e.Outcome == MachineOpDone:
		// The answer may repeat an earlier one, so the worker's runs are not removed
		// here: the list of machines shows which worker has ended.
		m.EnterPhase(upkeep.Down, now)
		s.log("upkeep began", "wave", e.Wave, "machine", m.Name, "worker", listed.Worker)
	case e.Outcome == MachineOpNotDone && (e.Refusal == upkeep.RefusedWave || e.Refusal == upkeep.RefusedUnknown):
		s.log("upkeep refused", "wave", e.Wave, "machine", m.Name, "reason", e.Refusal)
		m.EnterPhase(upkeep.Finished, now)
		s.unreserve(listed)
	case e.Outcome == MachineOpNotDone:
		s.log("upkeep refused", "wave", e.Wave, "machine", m.Name, "reason", e.Refusal)
		m.EnterPhase(upkeep.Waiting, now)
		s.unreserve(listed)
	default:
		s.log("upkeep without an answer", "wave", e.Wave, "machine", m.Name)
	}
}

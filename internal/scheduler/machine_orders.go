package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link/lease"
)

// The machines that a scheduler may have ordered lately are stored before the orders
// are sent. After a takeover only these machines have to wait until the least time
// between the orders of two schedulers has passed; all others may be ordered at once.

const (
	// orderEffectMargin is the time after an order was decided within which it can
	// reach the machines service: the age at which machine operations end and the
	// timeout of an order.
	orderEffectMargin = 2 * time.Second
	// orderReach is the time after the end of a scheduler's term within which its last
	// order takes effect: the timeout of an order, and a margin for clocks.
	orderReach = 1200 * time.Millisecond
	// machineOrdersRetryDelay is the delay after a write that failed.
	machineOrdersRetryDelay = 100 * time.Millisecond
)

// MachineOrdersRead carries the stored list of machines that the scheduler of Epoch,
// or those before it, may have ordered lately.
type MachineOrdersRead struct {
	Epoch    int
	Machines []string
	Revision int64
}

func (c MachineOrdersRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.storedOrders.Revision {
		s.storedOrders = c
	}
}

// StoreMachineOrders stores the machines that may have been ordered lately. The result
// is MachineOrdersStored.
type StoreMachineOrders struct {
	Fence    int64
	Epoch    int
	Machines []string
	// Expected is the revision that the list must have in the store, 0 for none.
	Expected int64
}

func (StoreMachineOrders) isAction() {}

// MachineOrdersStored is the result of StoreMachineOrders.
type MachineOrdersStored struct {
	Fence    int64
	Machines []string
	Result   RecordResult
}

// Apply implements Event.
func (e MachineOrdersStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	o := &s.machineOps.orders
	if !s.finishRecordWrite(&o.writes, e.Result, machineOrdersRetryDelay, now) {
		return
	}
	o.stored = make(map[string]bool, len(e.Machines))
	for _, name := range e.Machines {
		o.stored[name] = true
	}
	// The orders that waited for this are sent in the step that follows.
	s.slowStepAt = time.Time{}
}

// machineOrders are the machines that may have been ordered lately.
type machineOrders struct {
	// inherited are the machines that earlier schedulers may have ordered shortly
	// before this scheduler's term. All machines count as such if inheritedAll is set.
	inherited    map[string]bool
	inheritedAll bool
	// decidedAt is when this scheduler last decided to order a machine.
	decidedAt map[string]time.Time
	// stored are the machines in the stored list, nil before the first write.
	stored map[string]bool
	writes recordWrites
}

// inheritMachineOrders returns the machines that earlier schedulers may have ordered
// shortly before this term. If the last one has not written the list, it may be of a
// version without it, and every machine is taken as ordered.
func (s *Scheduler) inheritMachineOrders() machineOrders {
	o := machineOrders{inherited: make(map[string]bool), decidedAt: make(map[string]time.Time), writes: recordWrites{revision: s.storedOrders.Revision}}
	epoch := s.election.authority.Epoch
	o.inheritedAll = epoch > 0 && s.storedOrders.Epoch != epoch-1
	for _, name := range s.storedOrders.Machines {
		o.inherited[name] = true
	}
	return o
}

// heldBack reports whether a machine may not be ordered yet, because an earlier
// scheduler may have ordered it.
func (s *Scheduler) heldBack(name string, now time.Time) bool {
	ops := &s.machineOps
	if !now.Before(ops.notBefore) || !ops.orders.inheritedAll && !ops.orders.inherited[name] {
		return false
	}
	s.requestTick(ops.notBefore)
	return true
}

// orderMayBeInFlight reports whether an order of an earlier scheduler for a machine may
// take effect after the last list of machines was read.
func (s *Scheduler) orderMayBeInFlight(name string) bool {
	o := &s.machineOps.orders
	return (o.inheritedAll || o.inherited[name]) && !s.machineOps.listedAt.After(s.election.authority.Since.Add(orderReach))
}

// mayOrderMachine reports whether a machine may be ordered now, and counts the order
// towards the rate of orders if so. If the machine is not in the stored list yet, the
// next stepMachineOrders stores it.
func (s *Scheduler) mayOrderMachine(name string, now time.Time) bool {
	if s.heldBack(name, now) {
		return false
	}
	s.machineOps.orders.decidedAt[name] = now
	return s.machineOps.orders.stored[name] && s.machineOps.orderRate.Take(now)
}

// stepMachineOrders stores the list of machines if one is missing from it, and at the
// beginning of a term.
func (s *Scheduler) stepMachineOrders(now time.Time) {
	o := &s.machineOps.orders
	if !s.machineOrdersMissing() || !s.mayWriteRecord(&o.writes, now) {
		return
	}
	keep := s.options.MachineOpGap + orderEffectMargin + lease.SafetyMargin
	maps.DeleteFunc(o.decidedAt, func(_ string, at time.Time) bool { return now.Sub(at) > keep })
	names := make(map[string]bool, len(o.decidedAt))
	for name := range o.decidedAt {
		names[name] = true
	}
	if now.Before(s.machineOps.notBefore) {
		maps.Copy(names, o.inherited)
	}
	o.writes.writing = true
	s.act(StoreMachineOrders{
		Fence: s.fence(), Epoch: s.election.authority.Epoch, Machines: slices.Sorted(maps.Keys(names)), Expected: o.writes.revision,
	})
}

func (s *Scheduler) machineOrdersMissing() bool {
	o := &s.machineOps.orders
	if o.stored == nil {
		return true
	}
	for name := range o.decidedAt {
		if !o.stored[name] {
			return true
		}
	}
	return false
}

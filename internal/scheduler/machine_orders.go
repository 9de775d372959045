package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// The orders that a scheduler may have given for machines lately are stored before they
// are sent. After a takeover only these machines have to wait until the least time
// between the orders of two schedulers has passed; all others may be ordered at once.
//
// A cut can hold up the orders of a scheduler that was killed before it closed their
// connections, and they are carried out when the cut is over. So a machine is not ordered
// while the list of machines does not show the effect of the order that it may still get.

const (
	// orderEffectMargin is the time after an order was decided within which it can
	// reach the machines service: the age at which machine operations end and the
	// timeout of an order.
	orderEffectMargin = 2 * time.Second
	// orderReach is the time after the end of a scheduler's term within which its last
	// order takes effect: the timeout of an order, and a margin for clocks.
	orderReach = 1200 * time.Millisecond
	// heldOrderLimit is how long a new scheduler waits for the effect of an order of its
	// predecessor: longer than the cuts of nodes and data centres that users expect, 12 s.
	// An order whose effect is missing is usually one that was not sent, and its machine
	// can't be used elsewhere meanwhile.
	heldOrderLimit = 15 * time.Second
	// machineOrdersRetryDelay is the delay after a write that failed.
	machineOrdersRetryDelay = 100 * time.Millisecond
	// machineOrdersInterval is the least time between two writes, so that one names several
	// machines while orders wait for their rate.
	machineOrdersInterval = 50 * time.Millisecond
)

// MachineOrder is an order for a machine: to move to Pool, or the upkeep of Wave. With
// neither, the order is not known, or it has no effect later.
type MachineOrder struct {
	Machine string
	Pool    string
	Wave    int64
	// Worker is the machine's worker before its upkeep.
	Worker string
}

// settled returns the order for which nothing is awaited any longer.
func (o MachineOrder) settled() MachineOrder { return MachineOrder{Machine: o.Machine} }

// mayTakeEffect reports whether the order may still be carried out, as far as the list of
// machines shows.
func (o MachineOrder) mayTakeEffect(m upkeep.Machine) bool {
	switch {
	case o.Pool != "":
		return m.Pool != o.Pool
	case o.Wave != 0:
		return m.State != upkeep.MachineUpkeep && m.Worker == o.Worker
	}
	return false
}

// MachineOrdersRead carries the stored list of the orders that the scheduler of Epoch,
// or those before it, may have given lately, one for each machine.
type MachineOrdersRead struct {
	Epoch    int
	Orders   []MachineOrder
	Revision int64
}

func (c MachineOrdersRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.storedOrders.Revision {
		s.storedOrders = c
	}
}

// StoreMachineOrders stores the orders that may have been given lately. The result is
// MachineOrdersStored.
type StoreMachineOrders struct {
	Fence  int64
	Epoch  int
	Orders []MachineOrder
	// Expected is the revision that the list must have in the store, 0 for none.
	Expected int64
}

func (StoreMachineOrders) isAction() {}

// MachineOrdersStored is the result of StoreMachineOrders.
type MachineOrdersStored struct {
	Fence  int64
	Orders []MachineOrder
	Result RecordResult
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
	o.stored = make(map[string]MachineOrder, len(e.Orders))
	for _, order := range e.Orders {
		o.stored[order.Machine] = order
	}
	// The orders that waited for this are sent in the step that follows.
	s.slowStepAt = time.Time{}
}

// machineOrders are the orders that may have been given lately, by machine.
type machineOrders struct {
	// inherited are the orders that earlier schedulers may have given shortly before this
	// scheduler's term. If inheritedAll is set, they may have given any.
	inherited    map[string]MachineOrder
	inheritedAll bool
	// held are those of the inherited orders that may still be carried out.
	held map[string]MachineOrder
	// heldLogged is set when the list of machines was first compared with them.
	heldLogged bool
	// decided are the last decisions of this scheduler.
	decided map[string]machineDecision
	// stored are the orders in the stored list, nil before the first write.
	stored  map[string]MachineOrder
	writes  recordWrites
	writeAt time.Time
}

// machineDecision is the decision to give an order. Admitted is set from the time when it
// was counted towards the rate of orders until it is given.
type machineDecision struct {
	order    MachineOrder
	at       time.Time
	admitted bool
}

// inheritMachineOrders returns the orders that earlier schedulers may have given
// shortly before this term. If the last one has not written the list, it may be of a
// version without it, and every machine is taken as ordered.
func (s *Scheduler) inheritMachineOrders() machineOrders {
	o := machineOrders{
		inherited: make(map[string]MachineOrder), held: make(map[string]MachineOrder), decided: make(map[string]machineDecision),
		writes: recordWrites{revision: s.storedOrders.Revision},
	}
	epoch := s.election.authority.Epoch
	o.inheritedAll = epoch > 0 && s.storedOrders.Epoch != epoch-1
	for _, order := range s.storedOrders.Orders {
		o.inherited[order.Machine] = order
		if order != order.settled() {
			o.held[order.Machine] = order
		}
	}
	return o
}

// settleHeldOrders drops the inherited orders whose effect the list of machines or the
// stored progress of a wave shows.
func (s *Scheduler) settleHeldOrders() {
	o := &s.machineOps.orders
	maps.DeleteFunc(o.held, func(name string, order MachineOrder) bool {
		m, ok := s.machineOps.machines[name]
		return ok && !order.mayTakeEffect(m) || order.Wave != 0 && slices.Contains(s.waveProgress[order.Wave].Begun, name)
	})
	if !o.heldLogged && len(o.held) > 0 {
		s.log("machine orders of an earlier scheduler awaited", "machines", len(o.held))
	}
	o.heldLogged = true
}

// heldBack reports whether a machine may not be ordered yet, because an earlier
// scheduler may have ordered it.
func (s *Scheduler) heldBack(name string, now time.Time) bool {
	ops := &s.machineOps
	_, held := ops.orders.held[name]
	_, inherited := ops.orders.inherited[name]
	until := time.Time{}
	switch {
	case held:
		until = s.heldUntil()
	case inherited || ops.orders.inheritedAll:
		until = ops.notBefore
	}
	if !now.Before(until) {
		return false
	}
	s.requestTick(until)
	return true
}

// heldUntil returns until when this scheduler waits for the effects of inherited orders.
func (s *Scheduler) heldUntil() time.Time { return s.election.authority.Since.Add(heldOrderLimit) }

// orderMayBeInFlight reports whether an order of an earlier scheduler for a machine may
// take effect after the last list of machines was read.
func (s *Scheduler) orderMayBeInFlight(name string) bool {
	o, listedAt := &s.machineOps.orders, s.machineOps.listedAt
	if _, held := o.held[name]; held {
		return !listedAt.After(s.heldUntil())
	}
	_, inherited := o.inherited[name]
	return (inherited || o.inheritedAll) && !listedAt.After(s.election.authority.Since.Add(orderReach))
}

// mayOrderMachine reports whether an order may be given now. It counts the order towards
// the rate of orders first. Only then stepMachineOrders stores it, so that the list has few
// orders that were not sent, whose effect a successor would await.
func (s *Scheduler) mayOrderMachine(order MachineOrder, now time.Time) bool {
	if s.heldBack(order.Machine, now) {
		return false
	}
	o := &s.machineOps.orders
	d := o.decided[order.Machine]
	if d.order != order || !d.admitted {
		if !s.machineOps.orderRate.Take(now) {
			return false
		}
		d = machineDecision{order: order, admitted: true}
	}
	given := o.stored[order.Machine] == order
	d.at, d.admitted = now, !given
	o.decided[order.Machine] = d
	return given
}

// dropMachineOrder records that the last order that this scheduler decided to give was
// refused, or is not given.
func (s *Scheduler) dropMachineOrder(name string) {
	o := &s.machineOps.orders
	if d, ok := o.decided[name]; ok {
		d.order = d.order.settled()
		o.decided[name] = d
	}
}

// stepMachineOrders stores the list of orders if it lacks one or has one that was dropped,
// and at the beginning of a term.
func (s *Scheduler) stepMachineOrders(now time.Time) {
	o := &s.machineOps.orders
	if !s.machineOrdersMissing() || !s.mayWriteRecord(&o.writes, now) {
		return
	}
	if now.Before(o.writeAt) {
		s.requestTick(o.writeAt)
		return
	}
	keep := s.options.MachineOpGap + orderEffectMargin + lease.SafetyMargin
	maps.DeleteFunc(o.decided, func(_ string, d machineDecision) bool { return now.Sub(d.at) > keep })
	orders := make(map[string]MachineOrder, len(o.decided))
	if now.Before(s.machineOps.notBefore) {
		maps.Copy(orders, o.inherited)
	} else if now.Before(s.heldUntil()) {
		maps.Copy(orders, o.held)
	}
	for name, d := range o.decided {
		orders[name] = d.order
	}
	list := make([]MachineOrder, 0, len(orders))
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		list = append(list, orders[name])
	}
	o.writes.writing, o.writeAt = true, now.Add(machineOrdersInterval)
	s.act(StoreMachineOrders{Fence: s.fence(), Epoch: s.election.authority.Epoch, Orders: list, Expected: o.writes.revision})
}

func (s *Scheduler) machineOrdersMissing() bool {
	o := &s.machineOps.orders
	if o.stored == nil {
		return true
	}
	for name, d := range o.decided {
		if o.stored[name] != d.order {
			return true
		}
	}
	return false
}

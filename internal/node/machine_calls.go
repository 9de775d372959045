package node

import (
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

func (r *runner) orderIssuer(fence int64) platform.OrderIssuer {
	return platform.OrderIssuer{Node: r.nodeName, Fence: fence}
}

// orderUpkeep sends the order if its NotAfter time has not passed.
func (r *runner) orderUpkeep(a scheduler.OrderUpkeep) scheduler.Event {
	e := scheduler.UpkeepAnswered{Machine: a.Machine, Wave: a.Wave, Fence: a.Fence, Outcome: scheduler.MachineOpNotDone}
	if r.maySend(a.NotAfter) {
		e.Outcome, e.Refusal = machineOrderOutcome(r.client.OrderUpkeep(r.orderIssuer(a.Fence), a.Machine, a.Wave, machineOrderTimeout))
	}
	return e
}

// orderMove sends the order if its NotAfter time has not passed.
func (r *runner) orderMove(a scheduler.OrderMove) scheduler.Event {
	e := scheduler.MoveAnswered{Machine: a.Machine, Pool: a.Pool, Fence: a.Fence, Outcome: scheduler.MachineOpNotDone}
	if r.maySend(a.NotAfter) {
		e.Outcome, e.Refusal = machineOrderOutcome(r.client.OrderMove(r.orderIssuer(a.Fence), a.Machine, a.Pool, machineOrderTimeout))
	}
	return e
}

// machineOrderOutcome maps the error of an order for a machine to its outcome
// and, if the order was refused for a reason, that reason.
func machineOrderOutcome(err error) (scheduler.MachineOpOutcome, upkeep.Refusal) {
	var refused *platform.MachineRefusedError
	switch {
	case err == nil:
		return scheduler.MachineOpDone, ""
	case errors.As(err, &refused):
		return scheduler.MachineOpNotDone, refused.Reason
	case errors.Is(err, platform.ErrNotDone):
		return scheduler.MachineOpNotDone, ""
	}
	return scheduler.MachineOpUnknown, ""
}

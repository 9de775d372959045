package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// WatchMachines waits for Delay and then until the platform's list of machines
// has a version above After. The result is MachinesSeen or MachinesFailed.
type WatchMachines struct {
	Term  uint64
	After uint64
	Delay time.Duration
}

func (WatchMachines) isAction() {}

// MachinesSeen reports the machines that changed, or all machines when Full is
// set.
type MachinesSeen struct {
	Term     uint64
	Version  uint64
	Full     bool
	Machines []machine.Observed
}

// Apply implements Event.
func (e MachinesSeen) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	f.planner.view.Observe(e.Machines, e.Full, now)
	next := WatchMachines{Term: e.Term, After: e.Version}
	sameConfig := f.planner.configRevision == f.register.Revision()
	if len(e.Machines) == 0 && sameConfig && f.planner.status.SuspensionReason == "" && !f.planner.due(now) {
		return []Action{next}
	}
	return append(f.planMaintenance(now), next)
}

// MachinesFailed reports that the list of machines could not be read.
type MachinesFailed struct {
	Term  uint64
	After uint64
}

// Apply implements Event. The last list stays in use; planning stops when it is
// too old.
func (e MachinesFailed) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	return append(f.planMaintenance(now), WatchMachines{Term: e.Term, After: e.After, Delay: PlatformRetryDelay})
}

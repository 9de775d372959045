package standin

import (
	"context"
	"sort"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// States of a machine as the platform lists them.
const (
	stateServing   = "serving"
	stateDraining  = "draining"
	stateDrained   = "drained"
	stateRebooting = "rebooting"
	stateReady     = "ready"
	stateDown      = "down"
)

// MachineFaults are the faults that a test injects into one machine.
type MachineFaults struct {
	// Stuck prevents a drain from completing.
	Stuck bool `json:"stuck"`
	// Down makes the machine fail. It stays down until the fault is cleared; a
	// reboot does not bring it back.
	Down bool `json:"down"`
	// UnhealthyAfterReboot makes the machine unhealthy after a reboot.
	UnhealthyAfterReboot bool `json:"sick"`
}

// MachineOptions set the durations of machine commands, the lag of the machine
// list, and the loss of command answers.
type MachineOptions struct {
	// DrainMS, RebootMS and FillMS are the durations of the commands, in
	// milliseconds.
	DrainMS  int64 `json:"drain_ms"`
	RebootMS int64 `json:"reboot_ms"`
	FillMS   int64 `json:"fill_ms"`
	// LagMS is the delay, in milliseconds, until the machine list shows a
	// change of a machine.
	LagMS int64 `json:"lag_ms"`
	// LoseAnswers is how many of the next commands take effect but return
	// platform.ErrOutcomeUnknown.
	LoseAnswers int `json:"lose_answers"`
}

// MachineEffect records one state change or command of a machine, for test
// checkers.
type MachineEffect struct {
	At      time.Time `json:"at"`
	Machine string    `json:"machine"`
	// Kind is drain, reboot or fill for a command, and drained, ready, serving,
	// down or up for a state change.
	Kind string `json:"kind"`
	Pool string `json:"pool,omitempty"`
	// Operation is the operation number of the command, 0 for a state change.
	Operation uint64 `json:"operation,omitempty"`
	// Interrupted is true for a reboot of a healthy machine that was serving or
	// draining, which interrupts its running requests.
	Interrupted bool `json:"cut,omitempty"`
}

// machineState is one machine with its faults, its running command and the
// changes that the list does not show yet.
type machineState struct {
	platform.Machine
	faults MachineFaults
	// recoveryState is the state that the machine enters when the Down fault is
	// cleared. A machine that was ordered to drain or reboot does not serve
	// again without a fill.
	recoveryState string
	// completesAt is when the running command completes, zero when none runs.
	completesAt time.Time
	// changedVersion is the list version in which the machine last changed.
	changedVersion uint64
	// listed is the machine as the list shows it. pending holds its later states,
	// oldest first, which the list shows once the lag has passed.
	listed  platform.Machine
	pending []pendingListing
}

// pendingListing is a state of a machine with the time from which the list
// shows it.
type pendingListing struct {
	at      time.Time
	machine platform.Machine
}

// machineSet holds the machines of a Store. Store.mu guards it.
type machineSet struct {
	options MachineOptions
	byID    map[string]*machineState
	version uint64
	effects []MachineEffect
	// recordEffects enables the recording of effects.
	recordEffects bool
}

// RecordMachineEffects enables the recording of effects on machines for test
// checkers.
func (s *Store) RecordMachineEffects() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.recordEffects = true
}

// TakeMachineEffects returns the effects since the previous call and discards
// them.
func (s *Store) TakeMachineEffects() []MachineEffect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceMachines()
	list := s.machines.effects
	s.machines.effects = nil
	return list
}

// SetMachineOptions replaces the options of the machines. Running commands keep
// their completion times.
func (s *Store) SetMachineOptions(o MachineOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.options = o
}

// AddMachines adds or replaces machines. The list shows them without lag.
func (s *Store) AddMachines(list []platform.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machines.byID == nil {
		s.machines.byID = make(map[string]*machineState)
	}
	s.machines.version++
	for _, m := range list {
		s.machines.byID[m.ID] = &machineState{Machine: m, listed: m, recoveryState: stateServing, changedVersion: s.machines.version}
	}
	s.wakeWatches()
}

// RemoveMachine marks a machine as gone. The list shows that after the lag.
func (s *Store) RemoveMachine(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.machines.byID[id]; ok {
		s.advanceMachines()
		m.Gone = true
		s.recordChange(m, "down")
		s.scheduleListing(m)
	}
}

// SetMachineFaults replaces the faults of one machine. Unknown and removed
// machines are ignored.
func (s *Store) SetMachineFaults(id string, f MachineFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceMachines()
	m, ok := s.machines.byID[id]
	if !ok {
		return
	}
	if m.Gone {
		return
	}
	old := m.faults
	m.faults = f
	switch {
	case f.Down && !old.Down:
		m.State, m.Healthy, m.completesAt = stateDown, false, time.Time{}
		s.recordChange(m, "down")
	case !f.Down && old.Down:
		// The machine recovers without a command, as after a power failure.
		m.State, m.Healthy = m.recoveryState, true
		if m.recoveryState == stateServing {
			s.recordChange(m, "up")
		}
	}
	s.scheduleListing(m)
}

// CurrentMachines returns the current state of the machines, ordered by id,
// without the lag of the list.
func (s *Store) CurrentMachines() []platform.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceMachines()
	var list []platform.Machine
	for _, id := range s.machineIDs() {
		if m := s.machines.byID[id]; !m.Gone {
			list = append(list, m.Machine)
		}
	}
	return list
}

func (s *Store) machineIDs() []string {
	ids := make([]string, 0, len(s.machines.byID))
	for id := range s.machines.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// recordChange records a state change of a machine. The caller holds s.mu.
func (s *Store) recordChange(m *machineState, kind string) { s.recordMachineEffect(m, kind, 0, false) }

// recordMachineEffect records an effect on a machine if RecordMachineEffects
// was called. The caller holds s.mu.
func (s *Store) recordMachineEffect(m *machineState, kind string, operation uint64, interrupted bool) {
	if s.machines.recordEffects {
		e := MachineEffect{At: s.clock(), Machine: m.ID, Kind: kind, Pool: m.Pool, Operation: operation, Interrupted: interrupted}
		s.machines.effects = append(s.machines.effects, e)
	}
}

// Peek returns a record without counting a call and regardless of faults.
func (s *Store) Peek(key string) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return platform.Record{Key: key, Value: e.value, Version: e.version}, ok
}

// scheduleListing makes the list show the current state of a machine after the
// lag.
func (s *Store) scheduleListing(m *machineState) {
	lag := time.Duration(s.machines.options.LagMS) * time.Millisecond
	m.pending = append(m.pending, pendingListing{at: s.clock().Add(lag), machine: m.Machine})
	s.updateListing(m)
}

// updateListing moves the states whose lag has passed to the list and wakes
// the watches.
func (s *Store) updateListing(m *machineState) {
	now := s.clock()
	for len(m.pending) > 0 && !now.Before(m.pending[0].at) {
		m.listed = m.pending[0].machine
		m.pending = m.pending[1:]
		s.machines.version++
		m.changedVersion = s.machines.version
		s.wakeWatches()
	}
}

// advanceMachines completes the commands that are due and lists the states
// whose lag has passed. The caller holds s.mu.
func (s *Store) advanceMachines() {
	now := s.clock()
	for _, m := range s.machines.byID {
		if !m.completesAt.IsZero() && !now.Before(m.completesAt) {
			m.completesAt = time.Time{}
			s.completeCommand(m)
		}
		s.updateListing(m)
	}
}

// completeCommand moves a machine to the state in which its running command
// ends. The caller holds s.mu.
func (s *Store) completeCommand(m *machineState) {
	switch m.State {
	case stateDraining:
		m.State = stateDrained
	case stateRebooting:
		m.State, m.Healthy = stateReady, !m.faults.UnhealthyAfterReboot
	case stateReady, stateDrained:
		m.State = stateServing
	}
	s.recordChange(m, m.State)
	s.scheduleListing(m)
}

// applyCommand counts one command and calls apply if its operation number is
// greater than that of the machine's last command. A repeated command has no
// effect.
func (s *Store) applyCommand(ctx context.Context, id string, operation uint64, apply func(*machineState)) error {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.advanceMachines()
	m, ok := s.machines.byID[id]
	if !ok || m.Gone {
		return platform.ErrNotFound
	}
	if s.loseWrite() {
		return platform.ErrOutcomeUnknown
	}
	if operation > m.Operation {
		m.Operation = operation
		apply(m)
		s.scheduleListing(m)
	}
	if s.machines.options.LoseAnswers > 0 {
		s.machines.options.LoseAnswers--
		return platform.ErrOutcomeUnknown
	}
	return s.finishWrite()
}

func (s *Store) timeAfter(ms int64) time.Time {
	return s.clock().Add(time.Duration(ms) * time.Millisecond)
}

// Drain implements platform.Machines.
func (s *Store) Drain(ctx context.Context, id string, operation uint64) error {
	return s.applyCommand(ctx, id, operation, func(m *machineState) {
		m.recoveryState = stateDrained
		if m.faults.Down {
			return
		}
		if m.State == stateServing {
			m.State = stateDraining
		}
		s.recordMachineEffect(m, "drain", operation, false)
		if m.State == stateDraining && !m.faults.Stuck {
			m.completesAt = s.timeAfter(s.machines.options.DrainMS)
		}
	})
}

// Reboot implements platform.Machines.
func (s *Store) Reboot(ctx context.Context, id string, operation uint64) error {
	return s.applyCommand(ctx, id, operation, func(m *machineState) {
		m.recoveryState = stateReady
		hadRequests := m.State == stateServing || m.State == stateDraining
		s.recordMachineEffect(m, "reboot", operation, hadRequests && m.Healthy)
		if m.faults.Down {
			return
		}
		m.State, m.Healthy = stateRebooting, false
		m.completesAt = s.timeAfter(s.machines.options.RebootMS)
	})
}

// Fill implements platform.Machines.
func (s *Store) Fill(ctx context.Context, id, pool string, operation uint64) error {
	return s.applyCommand(ctx, id, operation, func(m *machineState) {
		m.Pool, m.recoveryState = pool, stateServing
		s.recordMachineEffect(m, "fill", operation, false)
		if m.faults.Down || m.State == stateServing {
			return
		}
		if m.State == stateDraining {
			m.State = stateDrained
		}
		m.completesAt = s.timeAfter(s.machines.options.FillMS)
	})
}

// WatchMachines implements platform.Machines.
func (s *Store) WatchMachines(ctx context.Context, after uint64, wait time.Duration) (platform.MachineList, error) {
	var list platform.MachineList
	deadline := time.Now().Add(wait)
	for count := countWatch; ; count = countNone {
		// A command completes when its time has passed, which does not close
		// s.changed, so the watch polls.
		interval := min(max(time.Until(deadline), 0), machineWatchInterval)
		err := s.awaitChange(ctx, count, interval, func() bool {
			s.advanceMachines()
			list = s.listMachines(after)
			return list.Version != after
		})
		if err != nil || list.Version != after || !time.Now().Before(deadline) {
			return list, err
		}
	}
}

// machineWatchInterval is the polling interval of a watch. It bounds how late
// the watch reports the completion of a command.
const machineWatchInterval = 50 * time.Millisecond

// listMachines returns the machines that changed after a version of the list,
// or the full list for version 0.
func (s *Store) listMachines(after uint64) platform.MachineList {
	list := platform.MachineList{Version: s.machines.version, Full: after == 0}
	if after == list.Version {
		return list
	}
	for _, id := range s.machineIDs() {
		m := s.machines.byID[id]
		if m.changedVersion > after && !(list.Full && m.listed.Gone) {
			list.Machines = append(list.Machines, m.listed)
		}
	}
	return list
}

package standin

import (
	"context"
	"sort"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// States of a machine in the platform's list.
const (
	stateServing   = "serving"
	stateDraining  = "draining"
	stateDrained   = "drained"
	stateRebooting = "rebooting"
	stateReady     = "ready"
	stateDown      = "down"
)

// MachineFaults are what a test can switch on for one machine.
type MachineFaults struct {
	// Stuck means that a drain never ends.
	Stuck bool `json:"stuck"`
	// Down means that the machine has failed. It answers to nothing; a reboot
	// does not help while the fault lasts.
	Down bool `json:"down"`
	// Sick means that the machine comes back unhealthy from a reboot.
	Sick bool `json:"sick"`
}

// ParkOptions are the times of the machines.
type ParkOptions struct {
	// DrainMS, RebootMS and FillMS are how long each command takes, in
	// milliseconds.
	DrainMS  int64 `json:"drain_ms"`
	RebootMS int64 `json:"reboot_ms"`
	FillMS   int64 `json:"fill_ms"`
	// LagMS is how far the list is behind, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// LoseAnswers is the number of following commands that take effect while
	// their answer is lost.
	LoseAnswers int `json:"lose_answers"`
}

// Effect is one effect on a machine, for checkers.
type Effect struct {
	At      time.Time `json:"at"`
	Machine string    `json:"machine"`
	// Kind is drain, drained, reboot, ready, fill, serving, down or up.
	Kind string `json:"kind"`
	Pool string `json:"pool,omitempty"`
	// Operation is the number of the command, 0 when there was none.
	Operation uint64 `json:"operation,omitempty"`
	// Cut is true for a reboot that cut off running requests.
	Cut bool `json:"cut,omitempty"`
}

// parked is one machine with the time when its running command ends.
type parked struct {
	platform.Machine
	faults MachineFaults
	// back is the state that the machine has when it comes back by itself: a
	// machine that was told to drain does not serve again without a fill.
	back    string
	until   time.Time
	changed uint64
	// listed is the machine as the list shows it, history what it is yet to show.
	listed  platform.Machine
	history []seenAt
}

type seenAt struct {
	at      time.Time
	machine platform.Machine
}

// machinePark holds the machines of a Store. The store's lock guards it.
type machinePark struct {
	options  ParkOptions
	machines map[string]*parked
	version  uint64
	effects  []Effect
	// record makes the park remember effects.
	record bool
}

// RecordEffects makes the store remember effects on machines for checkers.
func (s *Store) RecordEffects() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.record = true
}

// Effects returns the effects since the last call.
func (s *Store) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	list := s.machines.effects
	s.machines.effects = nil
	return list
}

// SetParkOptions replaces the times of the machines.
func (s *Store) SetParkOptions(o ParkOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines.options = o
}

// AddMachines adds or replaces machines. They are in the list at once.
func (s *Store) AddMachines(list []platform.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machines.machines == nil {
		s.machines.machines = make(map[string]*parked)
	}
	s.machines.version++
	for _, m := range list {
		s.machines.machines[m.ID] = &parked{Machine: m, listed: m, back: stateServing, changed: s.machines.version}
	}
	s.wake()
}

// RemoveMachine takes a machine out of the fleet. The list drops it.
func (s *Store) RemoveMachine(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.machines.machines[id]; ok {
		s.advance()
		m.Gone = true
		s.note(m, "down")
		s.show(m)
	}
}

// SetMachineFaults replaces the faults of one machine.
func (s *Store) SetMachineFaults(id string, f MachineFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	m, ok := s.machines.machines[id]
	if !ok {
		return
	}
	if m.Gone {
		return
	}
	was := m.faults
	m.faults = f
	switch {
	case f.Down && !was.Down:
		m.State, m.Healthy, m.until = stateDown, false, time.Time{}
		s.note(m, "down")
	case !f.Down && was.Down:
		// The machine comes back by itself, as after a power cut.
		m.State, m.Healthy = m.back, true
		if m.back == stateServing {
			s.note(m, "up")
		}
	}
	s.show(m)
}

// Truth returns the machines as they are now, ordered by id, without the lag.
func (s *Store) Truth() []platform.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	var list []platform.Machine
	for _, id := range s.machineIDs() {
		if m := s.machines.machines[id]; !m.Gone {
			list = append(list, m.Machine)
		}
	}
	return list
}

func (s *Store) machineIDs() []string {
	ids := make([]string, 0, len(s.machines.machines))
	for id := range s.machines.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (s *Store) note(m *parked, kind string) { s.noteCommand(m, kind, 0, false) }

func (s *Store) noteCommand(m *parked, kind string, operation uint64, cut bool) {
	if s.machines.record {
		e := Effect{At: s.clock(), Machine: m.ID, Kind: kind, Pool: m.Pool, Operation: operation, Cut: cut}
		s.machines.effects = append(s.machines.effects, e)
	}
}

// Peek returns a record without a call, regardless of faults.
func (s *Store) Peek(key string) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return platform.Record{Key: key, Value: e.value, Version: e.version}, ok
}

// show puts the present state of a machine into the list, after the lag.
func (s *Store) show(m *parked) {
	lag := time.Duration(s.machines.options.LagMS) * time.Millisecond
	m.history = append(m.history, seenAt{at: s.clock().Add(lag), machine: m.Machine})
	s.publish(m)
}

func (s *Store) publish(m *parked) {
	now := s.clock()
	for len(m.history) > 0 && !now.Before(m.history[0].at) {
		m.listed = m.history[0].machine
		m.history = m.history[1:]
		s.machines.version++
		m.changed = s.machines.version
		s.wake()
	}
}

// advance ends the commands whose time has come and moves the list on. The lock
// is held.
func (s *Store) advance() {
	now := s.clock()
	for _, m := range s.machines.machines {
		if !m.until.IsZero() && !now.Before(m.until) {
			m.until = time.Time{}
			s.complete(m)
		}
		s.publish(m)
	}
}

func (s *Store) complete(m *parked) {
	switch m.State {
	case stateDraining:
		m.State = stateDrained
	case stateRebooting:
		m.State, m.Healthy = stateReady, !m.faults.Sick
	case stateReady, stateDrained:
		m.State = stateServing
	}
	s.note(m, m.State)
	s.show(m)
}

// take applies one command when its operation number is new.
func (s *Store) take(ctx context.Context, id string, operation uint64, apply func(*parked)) error {
	if err := s.begin(ctx, countWrite); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.advance()
	m, ok := s.machines.machines[id]
	if !ok || m.Gone {
		return platform.ErrNotFound
	}
	if s.loseWrite() {
		return platform.ErrUnknown
	}
	if operation > m.Operation {
		m.Operation = operation
		apply(m)
		s.show(m)
	}
	if s.machines.options.LoseAnswers > 0 {
		s.machines.options.LoseAnswers--
		return platform.ErrUnknown
	}
	return s.finishWrite()
}

func (s *Store) after(ms int64) time.Time {
	return s.clock().Add(time.Duration(ms) * time.Millisecond)
}

// Drain implements platform.Machines.
func (s *Store) Drain(ctx context.Context, id string, operation uint64) error {
	return s.take(ctx, id, operation, func(m *parked) {
		m.back = stateDrained
		if m.faults.Down {
			return
		}
		if m.State == stateServing {
			m.State = stateDraining
		}
		s.noteCommand(m, "drain", operation, false)
		if m.State == stateDraining && !m.faults.Stuck {
			m.until = s.after(s.machines.options.DrainMS)
		}
	})
}

// Reboot implements platform.Machines.
func (s *Store) Reboot(ctx context.Context, id string, operation uint64) error {
	return s.take(ctx, id, operation, func(m *parked) {
		m.back = stateReady
		cut := m.State == stateServing || m.State == stateDraining
		s.noteCommand(m, "reboot", operation, cut && m.Healthy)
		if m.faults.Down {
			return
		}
		m.State, m.Healthy = stateRebooting, false
		m.until = s.after(s.machines.options.RebootMS)
	})
}

// Fill implements platform.Machines.
func (s *Store) Fill(ctx context.Context, id, pool string, operation uint64) error {
	return s.take(ctx, id, operation, func(m *parked) {
		m.Pool, m.back = pool, stateServing
		s.noteCommand(m, "fill", operation, false)
		if m.faults.Down || m.State == stateServing {
			return
		}
		if m.State == stateDraining {
			m.State = stateDrained
		}
		m.until = s.after(s.machines.options.FillMS)
	})
}

// WatchMachines implements platform.Machines.
func (s *Store) WatchMachines(ctx context.Context, after uint64, wait time.Duration) (platform.MachineList, error) {
	var list platform.MachineList
	deadline := time.Now().Add(wait)
	for count := countWatch; ; count = countNothing {
		// Commands end by the clock and wake nobody, so the wait is cut into
		// short pieces.
		piece := min(max(time.Until(deadline), 0), machineWatchPiece)
		err := s.await(ctx, count, piece, func() bool {
			s.advance()
			list = s.listMachines(after)
			return list.Version != after
		})
		if err != nil || list.Version != after || !time.Now().Before(deadline) {
			return list, err
		}
	}
}

// machineWatchPiece bounds how late a watch notices the end of a command.
const machineWatchPiece = 50 * time.Millisecond

func (s *Store) listMachines(after uint64) platform.MachineList {
	list := platform.MachineList{Version: s.machines.version, Full: after == 0}
	if after == list.Version {
		return list
	}
	for _, id := range s.machineIDs() {
		m := s.machines.machines[id]
		if m.changed > after && !(list.Full && m.listed.Gone) {
			list.Machines = append(list.Machines, m.listed)
		}
	}
	return list
}

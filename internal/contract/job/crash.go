package job

import (
	"slices"
	"time"
)

// startProbation is how long after its start a run must be listed by its worker to show
// that it has not crashed the worker at its start. Crashes were seen 10 ms after it.
const startProbation = 250 * time.Millisecond

// Proven reports whether the worker has listed the run after its probation.
func (r *Run) Proven() bool { return r.ReportedAt.Sub(r.OrderedAt) >= startProbation }

// CrashSuspicion is how long after its start a run must be listed by its worker to be no
// suspect when the worker crashes later.
const CrashSuspicion = time.Second

// Cleared reports whether the run is no suspect if its worker crashes. Any task may be
// running on a machine that fails.
func (r *Run) Cleared() bool { return r.ReportedAt.Sub(r.OrderedAt) >= CrashSuspicion }

// Crash is the crash of a worker under a run of a task that was not cleared.
type Crash struct {
	Run int `cbor:"1,keyasint"`
	// Late means that the run was proven.
	Late bool `cbor:"2,keyasint,omitempty"`
	// Certain means that the worker has confirmed the run. A start without an answer may
	// have been sent to a worker that was already down.
	Certain bool `cbor:"3,keyasint,omitempty"`
	// Single means that the run was kept apart, and was the only one on the worker that
	// was not proven.
	Single bool `cbor:"4,keyasint,omitempty"`
	// Address is the worker's address. A worker that crashes again and again keeps it,
	// also with a new id.
	Address string `cbor:"5,keyasint,omitempty"`
}

// Isolation is how a task that may crash workers is kept apart from other tasks, so
// that the next crash shows whether it is the cause.
type Isolation int

// Degrees of isolation.
const (
	// NotIsolated is for tasks that are not suspected.
	NotIsolated Isolation = iota
	// IsolatedStart means that no other run on the worker is unproven until the task's
	// run is proven.
	IsolatedStart
	// IsolatedLonger means that all other runs on the worker are cleared until the task's
	// run is.
	IsolatedLonger
	// IsolationDegrees is the number of degrees.
	IsolationDegrees
)

// Numbers of crashes.
const (
	// lateCrashesForIsolation is the number of late crashes after which a task is kept
	// apart for longer, which takes a worker out of use for all others.
	lateCrashesForIsolation = 2
	// furtherUncertainCrashes is how many more crashes are needed if a task is given up as
	// the single suspect, although its starts were not confirmed.
	furtherUncertainCrashes = 1
)

// Evidence that a task crashes its workers, by the addresses of these.
const (
	// certainCrashWeight is that of a worker that has certainly crashed under the task.
	certainCrashWeight = 2
	// lostStartWeight is that of a worker that was lost right after a start and did not
	// come back at its address. It may be cut off.
	lostStartWeight = 1
)

// crashEvidence is what a task is given up for: the loss of a number of workers, all but
// one of which have certainly crashed.
func crashEvidence(workers int) int { return certainCrashWeight*(workers-1) + lostStartWeight }

// RecordCrash records a crash under a run of the task. A repeated report of a run is not
// counted again.
func (t *Task) RecordCrash(c Crash) {
	j := t.Occurrence.Job
	ordinal := t.sharedOrdinal()
	if slices.ContainsFunc(j.progress.Crashes[ordinal], func(known Crash) bool { return known.Run == c.Run }) {
		return
	}
	j.progress.Crashes[ordinal] = append(j.progress.Crashes[ordinal], c)
	j.markChanged()
}

// Crashes returns the crashes of workers under the task or its gang. The caller must not
// change the slice.
func (t *Task) Crashes() []Crash { return t.Occurrence.Job.progress.Crashes[t.sharedOrdinal()] }

// Delays of the next run of a long-running task after lost starts in succession. They
// bound the damage of a task that crashes its workers, which is never given up.
const (
	firstLostStartDelay = 250 * time.Millisecond
	maxLostStartDelay   = 3 * time.Second
)

// RecordLostStart records that a run which was not proven was lost with the worker at an
// address, and may have caused that.
func (t *Task) RecordLostStart(address string, now time.Time) {
	t.lostStarts = append(t.lostStarts, address)
	if n := len(t.lostStarts); t.Spec().LongRunning && n > 1 {
		t.NotBefore = now.Add(min(firstLostStartDelay<<min(n-2, 8), maxLostStartDelay))
	}
}

// RecordProven records that a run of the task is proven. A long-running task loses runs
// with their workers in time; only those in succession make it a suspect.
func (t *Task) RecordProven() {
	if t.Spec().LongRunning {
		t.lostStarts = nil
	}
}

// LostAt reports whether a run of the task was lost with a worker at an address.
func (t *Task) LostAt(address string) bool {
	return slices.Contains(t.lostStarts, address) || slices.ContainsFunc(t.Crashes(), func(c Crash) bool { return c.Address == address })
}

// Suspected reports whether a worker has crashed, or may have crashed, under the task.
func (t *Task) Suspected() bool { return len(t.lostStarts) > 0 || len(t.Crashes()) > 0 }

// Isolation returns how the next run of the task must be kept apart. A further run beside
// one that is not proven starts because the worker of that one is silent, which may have
// crashed.
func (t *Task) Isolation() Isolation {
	if len(t.Runs) == 0 && len(t.lostStarts) == 0 && len(t.Occurrence.Job.progress.Crashes) == 0 {
		return NotIsolated
	}
	early, late := len(t.lostStarts), 0
	for _, r := range t.Runs {
		if !r.Proven() {
			early++
		}
	}
	for _, c := range t.Crashes() {
		if c.Late {
			late++
		} else {
			early++
		}
	}
	switch {
	case late >= lateCrashesForIsolation:
		return IsolatedLonger
	case early > 0:
		return IsolatedStart
	}
	return NotIsolated
}

// CrashesWorkers reports whether the crashes show that the task is their cause. Alone
// means that no other task on the worker that was lost last was a suspect, and that the
// task was kept apart there. Beside proven runs, one of which may be the cause, two workers
// must have crashed with the task as the single suspect. Crashes of one worker may be the
// fault of that worker. Without a certain crash, nothing shows that workers have crashed.
// Workers is how many must be lost right after starts of the task.
func (t *Task) CrashesWorkers(alone bool, workers int) bool {
	certain, single, lost := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, address := range t.lostStarts {
		lost[address] = true
	}
	crashes := t.Crashes()
	var last Crash
	for _, last = range crashes {
		if last.Certain {
			certain[last.Address] = true
			single[last.Address] = single[last.Address] || last.Single
		}
	}
	evidence := certainCrashWeight * len(certain)
	for address := range lost {
		if !certain[address] {
			evidence += lostStartWeight
		}
	}
	singles := 0
	for _, isSingle := range single {
		if isSingle {
			singles++
		}
	}
	shown := len(certain) > 0 && (alone || singles > 1)
	return shown && evidence >= crashEvidence(workers) || last.Single && len(crashes) >= workers+furtherUncertainCrashes
}

// SameSuspect reports whether a crash cannot distinguish two tasks: they are the same
// task or belong to one gang.
func (t *Task) SameSuspect(other *Task) bool {
	return t.Occurrence.Job == other.Occurrence.Job && t.sharedOrdinal() == other.sharedOrdinal()
}

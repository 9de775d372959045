package machine

import (
	"slices"
	"time"
)

// WaveState is the state of a maintenance wave.
type WaveState string

// States of a wave.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveDone    WaveState = "done"
)

// Wave is an operator's order to reboot every member of some pools once, the
// value of the record order/wave/<name>. Its progress is in the records of the
// instances.
type Wave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools"`
	State WaveState `json:"state"`
	// OneByOne takes out a single instance at a time. It is the baseline that
	// waves are compared with.
	OneByOne bool      `json:"one_by_one,omitempty"`
	Author   string    `json:"author"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	// Revision is the platform's version of the record.
	Revision uint64 `json:"-"`
}

// Covers reports whether the wave includes a pool.
func (w *Wave) Covers(pool string) bool { return slices.Contains(w.Pools, pool) }

// Rebooted reports whether the instance is back from a reboot that began after
// the wave started.
func (w *Wave) Rebooted(i *Instance) bool {
	return i.Phase == PhaseServing && !i.RebootedAt.Before(w.Started)
}

// Skipped reports whether a drain of the instance was given up since the wave
// started.
func (w *Wave) Skipped(i *Instance) bool { return !i.GaveUp.Before(w.Started) }

// Owes reports whether the wave still has to reboot the instance. An instance
// on loan is left to a wave of the spare pool that it came from.
func (w *Wave) Owes(i *Instance, spare string) bool {
	if !w.Covers(i.Pool) || w.Rebooted(i) || w.Skipped(i) {
		return false
	}
	return !i.Lent || w.Covers(spare)
}

// Order returns the instances in the order in which the wave takes them out:
// failure domains with an instance out already first, then domain by domain.
func (w *Wave) Order(owed []*Instance, open map[string]bool) []*Instance {
	SortByDomain(owed)
	var first, rest []*Instance
	for _, i := range owed {
		if open[i.Domain()] {
			first = append(first, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(first, rest...)
}

// Pause returns the paused wave. Instances that are out already come back.
func (w Wave) Pause() Wave { return w.become(WavePaused, WaveRunning) }

// Resume returns the wave that goes on.
func (w Wave) Resume() Wave { return w.become(WaveRunning, WavePaused) }

// Finish returns the finished wave.
func (w Wave) Finish(now time.Time) Wave {
	w = w.become(WaveDone, WaveRunning)
	if w.State == WaveDone {
		w.Finished = now
	}
	return w
}

// become changes the state when the wave is in the state from.
func (w Wave) become(next, from WaveState) Wave {
	if w.State == from {
		w.State = next
	}
	return w
}

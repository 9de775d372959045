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
// value of the record order/wave/<name>. Its progress is stored in the records
// of the instances.
type Wave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools"`
	State WaveState `json:"state"`
	// OneByOne limits the wave to one instance at a time. It is the baseline
	// with which other waves are compared.
	OneByOne bool      `json:"one_by_one,omitempty"`
	Author   string    `json:"author"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	// Revision is the platform's version of the record.
	Revision uint64 `json:"-"`
}

// Covers reports whether the wave includes a pool.
func (w *Wave) Covers(pool string) bool { return slices.Contains(w.Pools, pool) }

// Rebooted reports whether the instance serves again after a reboot that began
// after the wave started.
func (w *Wave) Rebooted(i *Instance) bool {
	return i.Phase == PhaseServing && !i.RebootedAt.Before(w.Started)
}

// Skipped reports whether a drain of the instance was abandoned after the wave
// started.
func (w *Wave) Skipped(i *Instance) bool { return !i.DrainAbandonedAt.Before(w.Started) }

// NeedsReboot reports whether the wave still has to reboot the instance. An
// instance on loan is rebooted only by a wave that also covers the spare pool
// from which it was lent.
func (w *Wave) NeedsReboot(i *Instance, spare string) bool {
	if !w.Covers(i.Pool) || w.Rebooted(i) || w.Skipped(i) {
		return false
	}
	return !i.Lent || w.Covers(spare)
}

// Order returns the instances in the order in which the wave stops them:
// failure domains in openDomains first, which already have an instance out of
// service, then domain by domain. It sorts pending in place.
func (w *Wave) Order(pending []*Instance, openDomains map[string]bool) []*Instance {
	SortByDomain(pending)
	var first, rest []*Instance
	for _, i := range pending {
		if openDomains[i.Domain()] {
			first = append(first, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(first, rest...)
}

// Pause returns the paused wave. Instances that are already out of service
// still return.
func (w Wave) Pause() Wave { return w.transition(WavePaused, WaveRunning) }

// Resume returns the running wave.
func (w Wave) Resume() Wave { return w.transition(WaveRunning, WavePaused) }

// Finish returns the finished wave.
func (w Wave) Finish(now time.Time) Wave {
	w = w.transition(WaveDone, WaveRunning)
	if w.State == WaveDone {
		w.Finished = now
	}
	return w
}

// transition changes the state to next if it is from.
func (w Wave) transition(next, from WaveState) Wave {
	if w.State == from {
		w.State = next
	}
	return w
}

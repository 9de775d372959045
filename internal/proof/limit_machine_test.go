package proof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// TestUpperLimitHoldsUnderFaults guards against more work of a team running
// across the fleet than its limit allows, under crashes before and after a
// swap, pauses past the hold, outages, lost answers, delayed writes, changed
// limits, and duplicate and late loan messages, several at once.
func TestUpperLimitHoldsUnderFaults(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.steps())
		admitted += w.admitted
	})
	if admitted == 0 {
		t.Error("no work was admitted in any run")
	}
}

// pick draws a running process, or skips the step.
func (w *world) pick(t *rapid.T) *process {
	var awake []string
	for _, name := range w.names() {
		if !w.processes[name].paused {
			awake = append(awake, name)
		}
	}
	if len(awake) == 0 {
		t.Skip("no process is awake")
	}
	return w.processes[rapid.SampledFrom(awake).Draw(t, "process")]
}

func (w *world) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"admit": func(t *rapid.T) {
			p := w.pick(t)
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				w.admit(p)
			}
			w.collect(p)
		},
		"admitSlow": func(t *rapid.T) { w.admit(w.pick(t)) },
		"collect":   func(t *rapid.T) { w.collect(w.pick(t)) },
		"cancel": func(t *rapid.T) {
			p := w.pick(t)
			for _, x := range p.works {
				if !x.started {
					w.apply(p, fleet.CancelAdmit{Reply: x.reply})
					return
				}
			}
		},
		"finish": func(t *rapid.T) {
			p := w.pick(t)
			for _, x := range p.works {
				if x.started {
					w.finish(p, x)
					return
				}
			}
		},
		"run":      w.stepRun,
		"runAgain": w.stepRun,
		"settle": func(t *rapid.T) {
			for _, name := range w.names() {
				if p := w.processes[name]; !p.paused {
					w.runAll(p)
					w.collect(p)
				}
			}
		},
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms"))*time.Millisecond, false)
		},
		"advanceBusy": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "s"))*time.Second, true)
		},
		"limit": func(t *rapid.T) {
			w.setLimit(rapid.SampledFrom(teams).Draw(t, "team"), rapid.IntRange(0, 12).Draw(t, "limit"))
		},
		"bound":          func(t *rapid.T) { w.setBound(rapid.IntRange(0, 8).Draw(t, "bound")) },
		"deliver":        func(t *rapid.T) { w.deliverHeads(w.pick(t)) },
		"pause":          func(t *rapid.T) { w.pause(w.pick(t)) },
		"saturate":       func(t *rapid.T) { w.saturate(rapid.SampledFrom(teams).Draw(t, "team")) },
		"returnInFlight": w.stepReturnInFlight,
		"pausePastHold":  w.stepPausePastHold,
		"resume":         w.stepResume,
		"kill":           func(t *rapid.T) { w.kill(w.pick(t)) },
		"launch": func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"entry-0", "entry-1", "entry-2"}).Draw(t, "name")
			if p, ok := w.processes[name]; ok {
				w.kill(p)
			}
			w.launch(name)
		},
		"outage":  func(t *rapid.T) { w.store.down = !w.store.down },
		"message": w.stepMessage,
		"delayedWrite": func(t *rapid.T) {
			if len(w.store.delayed) == 0 {
				t.Skip("no delayed write")
			}
			i := rapid.IntRange(0, len(w.store.delayed)-1).Draw(t, "write")
			d := w.store.delayed[i]
			_, _ = w.store.write(d.key, d.expect, d.value)
		},
		"stop": func(t *rapid.T) {
			p := w.pick(t)
			w.apply(p, fleet.ReleaseAllotments{Reply: make(chan fleet.Returned, 1)})
		},
		"": w.check,
	}
}

func (w *world) stepRun(t *rapid.T) {
	p := w.pick(t)
	if len(p.actions) == 0 {
		t.Skip("no action")
	}
	index := rapid.IntRange(0, len(p.actions)-1).Draw(t, "action")
	mode := faultMode(rapid.IntRange(0, int(faultModes)-1).Draw(t, "mode"))
	w.run(p, index, mode, rapid.Bool().Draw(t, "interleave"))
}

// pause stops a process. Its started work ends at the endpoint by its deadline.
func (w *world) pause(p *process) {
	p.paused = true
	for _, x := range p.works {
		if x.started {
			left := max(0, x.deadline.Sub(p.now(w)))
			w.orphans = append(w.orphans, &orphan{id: x.id, team: x.team, by: w.elapsed + left})
		}
	}
}

// saturate sends more requests of a team to every process than its limit.
func (w *world) saturate(team string) {
	for _, name := range w.names() {
		if p := w.processes[name]; !p.paused {
			w.saturateAt(p, team)
			w.runAll(p)
			w.collect(p)
		}
	}
}

func (w *world) saturateAt(p *process, team string) {
	for range 8 {
		w.admitOf(p, team, longestWork)
	}
	w.collect(p)
}

// stepReturnInFlight lets holders become idle and sends load again while their
// swaps to return slots are not answered yet.
func (w *world) stepReturnInFlight(t *rapid.T) {
	team := rapid.SampledFrom(teams).Draw(t, "team")
	w.saturate(team)
	w.advance(time.Duration(rapid.IntRange(15, 28).Draw(t, "s"))*time.Second, false)
	w.saturate(team)
}

// stepPausePastHold pauses a process for about as long as its hold and a lease,
// while the others reclaim and use its slots, and lets it start work again
// before and after it renews.
func (w *world) stepPausePastHold(t *rapid.T) {
	p := w.pick(t)
	team := rapid.SampledFrom(teams).Draw(t, "team")
	w.saturate(team)
	w.pause(p)
	w.advance(time.Duration(rapid.IntRange(25, 70).Draw(t, "s"))*time.Second, true)
	w.saturate(team)
	p.paused = false
	w.resumeWorks(p)
	w.deliverHeads(p)
	w.saturateAt(p, team)
	if rapid.Bool().Draw(t, "renew") {
		w.keep(p, p.fleet.Tick(p.now(w)))
		w.runAll(p)
		w.saturateAt(p, team)
	}
}

// stepResume lets a paused process go on. It sees the configuration first, as
// the freshness horizon makes it do.
func (w *world) stepResume(t *rapid.T) {
	for _, name := range w.names() {
		p := w.processes[name]
		if !p.paused {
			continue
		}
		p.paused = false
		w.resumeWorks(p)
		w.deliverHeads(p)
		w.collect(p)
		return
	}
	t.Skip("no process is paused")
}

// resumeWorks releases the work that ended during the pause and takes the rest
// back from the endpoint's account.
func (w *world) resumeWorks(p *process) {
	var left []*work
	for _, x := range p.works {
		if x.started && !w.adopt(x.id) {
			w.apply(p, fleet.Release{Team: x.team, Service: service})
			continue
		}
		left = append(left, x)
	}
	p.works = left
}

func (w *world) adopt(id string) bool {
	for i, o := range w.orphans {
		if o.id == id {
			w.orphans = append(w.orphans[:i:i], w.orphans[i+1:]...)
			return true
		}
	}
	return false
}

// stepMessage delivers an old loan message again, whoever runs now under the
// name of its receiver.
func (w *world) stepMessage(t *rapid.T) {
	if len(w.messages) == 0 {
		t.Skip("no message")
	}
	m := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")]
	p, ok := w.processes[m.to]
	if !ok || p.paused {
		t.Skip("the receiver is gone")
	}
	w.apply(p, m.event())
}

func (w *world) check(t *rapid.T) {
	for _, v := range w.limits.Violations() {
		t.Fatal(v)
	}
	for _, name := range w.names() {
		w.checkWaiting(t, w.processes[name])
	}
}

// checkWaiting fails when a request waits although its team and its service
// have a free slot.
func (w *world) checkWaiting(t *rapid.T, p *process) {
	reply := make(chan fleet.LimitsReport, 1)
	w.apply(p, fleet.LimitsQuery{Reply: reply})
	report := <-reply
	free := func(name string) bool {
		for _, l := range report.Limits {
			if l.Limit.Name == name {
				return l.Settled && l.Running < l.Held-l.Lent
			}
		}
		return true
	}
	for _, l := range report.Limits {
		if l.Limit.Kind == contract.KindTeam && l.Waiting > 0 && report.Held && !p.paused && free(l.Limit.Name) && free(service) {
			t.Fatalf("%s: %d requests of %s wait while slots are free", p.member.ID, l.Waiting, l.Limit)
		}
	}
}

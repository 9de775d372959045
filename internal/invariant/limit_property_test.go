package invariant_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// TestUpperLimitHoldsUnderFaults guards against a team running more work across
// the fleet than its limit allows. The faults are crashes before and after a
// swap, pauses longer than the hold, outages, lost answers, delayed writes,
// changed limits, and duplicate and late loan messages, several at a time.
func TestUpperLimitHoldsUnderFaults(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.steps())
		admitted += sim.admitted
	})
	if admitted == 0 {
		t.Error("no work was admitted in any run")
	}
}

// drawProcess draws a process that is not paused, or skips the step.
func (sim *simulation) drawProcess(t *rapid.T) *process {
	var active []string
	for _, name := range sim.processNames() {
		if !sim.processes[name].paused {
			active = append(active, name)
		}
	}
	if len(active) == 0 {
		t.Skip("every process is paused")
	}
	return sim.processes[rapid.SampledFrom(active).Draw(t, "process")]
}

// steps returns the steps of the state machine test, with check as the invariant
// after each.
func (sim *simulation) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"admit": func(t *rapid.T) {
			p := sim.drawProcess(t)
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				sim.sendRandomRequest(p)
			}
			sim.readReplies(p)
		},
		"admitSlow": func(t *rapid.T) { sim.sendRandomRequest(sim.drawProcess(t)) },
		"collect":   func(t *rapid.T) { sim.readReplies(sim.drawProcess(t)) },
		"cancel": func(t *rapid.T) {
			p := sim.drawProcess(t)
			for _, r := range p.requests {
				if !r.started {
					sim.apply(p, fleet.CancelAdmit{Reply: r.reply})
					return
				}
			}
		},
		"finish": func(t *rapid.T) {
			p := sim.drawProcess(t)
			for _, r := range p.requests {
				if r.started {
					sim.finishRequest(p, r)
					return
				}
			}
		},
		"run":      sim.stepRun,
		"runAgain": sim.stepRun,
		"settle": func(t *rapid.T) {
			for _, name := range sim.processNames() {
				if p := sim.processes[name]; !p.paused {
					sim.runQueuedActions(p)
					sim.readReplies(p)
				}
			}
		},
		"advance": func(t *rapid.T) {
			sim.advanceTime(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms"))*time.Millisecond, false)
		},
		"advanceBusy": func(t *rapid.T) {
			sim.advanceTime(time.Duration(rapid.IntRange(1, 60).Draw(t, "s"))*time.Second, true)
		},
		"limit": func(t *rapid.T) {
			sim.setLimit(rapid.SampledFrom(teams).Draw(t, "team"), rapid.IntRange(0, 12).Draw(t, "limit"))
		},
		"bound":          func(t *rapid.T) { sim.setBound(rapid.IntRange(0, 8).Draw(t, "bound")) },
		"deliver":        func(t *rapid.T) { sim.deliverChanges(sim.drawProcess(t)) },
		"pause":          func(t *rapid.T) { sim.pauseProcess(sim.drawProcess(t)) },
		"saturate":       func(t *rapid.T) { sim.saturate(rapid.SampledFrom(teams).Draw(t, "team")) },
		"returnInFlight": sim.stepReturnInFlight,
		"pausePastHold":  sim.stepPausePastHold,
		"resume":         sim.stepResume,
		"kill":           func(t *rapid.T) { sim.killProcess(sim.drawProcess(t)) },
		"launch": func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"entry-0", "entry-1", "entry-2"}).Draw(t, "name")
			if p, ok := sim.processes[name]; ok {
				sim.killProcess(p)
			}
			sim.startProcess(name)
		},
		"outage":  func(t *rapid.T) { sim.store.down = !sim.store.down },
		"message": sim.stepMessage,
		"delayedWrite": func(t *rapid.T) {
			if len(sim.store.delayed) == 0 {
				t.Skip("no delayed write")
			}
			i := rapid.IntRange(0, len(sim.store.delayed)-1).Draw(t, "write")
			d := sim.store.delayed[i]
			_, _ = sim.store.write(d.key, d.expect, d.value)
		},
		"stop": func(t *rapid.T) {
			p := sim.drawProcess(t)
			sim.apply(p, fleet.ReleaseAllotments{Reply: make(chan fleet.ReleaseResult, 1)})
		},
		"": sim.check,
	}
}

func (sim *simulation) stepRun(t *rapid.T) {
	p := sim.drawProcess(t)
	if len(p.actions) == 0 {
		t.Skip("no action")
	}
	index := rapid.IntRange(0, len(p.actions)-1).Draw(t, "action")
	mode := faultMode(rapid.IntRange(0, int(faultModes)-1).Draw(t, "mode"))
	sim.runAction(p, index, mode, rapid.Bool().Draw(t, "interleave"))
}

// pauseProcess pauses a process. Its started requests become orphans, which
// finish at the endpoint by their deadlines.
func (sim *simulation) pauseProcess(p *process) {
	p.paused = true
	for _, r := range p.requests {
		if r.started {
			remaining := max(0, r.deadline.Sub(p.now(sim)))
			sim.orphans = append(sim.orphans, &orphan{id: r.id, team: r.team, finishesAt: sim.elapsed + remaining})
		}
	}
}

// saturate sends 8 requests of a team to every process that is not paused. With
// two or more such processes, the requests exceed every limit that the test sets.
func (sim *simulation) saturate(team string) {
	for _, name := range sim.processNames() {
		if p := sim.processes[name]; !p.paused {
			sim.saturateAt(p, team)
			sim.runQueuedActions(p)
			sim.readReplies(p)
		}
	}
}

func (sim *simulation) saturateAt(p *process, team string) {
	for range 8 {
		sim.sendTeamRequest(p, team, longestDeadline)
	}
	sim.readReplies(p)
}

// stepReturnInFlight sends no load until idle holders queue swaps that return
// slots, and sends load again before these swaps are performed.
func (sim *simulation) stepReturnInFlight(t *rapid.T) {
	team := rapid.SampledFrom(teams).Draw(t, "team")
	sim.saturate(team)
	sim.advanceTime(time.Duration(rapid.IntRange(15, 28).Draw(t, "s"))*time.Second, false)
	sim.saturate(team)
}

// stepPausePastHold pauses a process for about as long as its hold and a lease,
// while the other processes reclaim and use its slots. The resumed process
// receives requests before it renews its hold, and in some runs also after.
func (sim *simulation) stepPausePastHold(t *rapid.T) {
	p := sim.drawProcess(t)
	team := rapid.SampledFrom(teams).Draw(t, "team")
	sim.saturate(team)
	sim.pauseProcess(p)
	sim.advanceTime(time.Duration(rapid.IntRange(25, 70).Draw(t, "s"))*time.Second, true)
	sim.saturate(team)
	p.paused = false
	sim.deliverChanges(p)
	sim.resumeRequests(p)
	sim.saturateAt(p, team)
	if rapid.Bool().Draw(t, "renew") {
		sim.queueActions(p, p.fleet.Tick(p.now(sim)))
		sim.runQueuedActions(p)
		sim.saturateAt(p, team)
	}
}

// stepResume resumes a paused process. The process loads the configuration
// first, as the freshness horizon forces an entry instance to do.
func (sim *simulation) stepResume(t *rapid.T) {
	for _, name := range sim.processNames() {
		p := sim.processes[name]
		if !p.paused {
			continue
		}
		p.paused = false
		sim.deliverChanges(p)
		sim.resumeRequests(p)
		sim.readReplies(p)
		return
	}
	t.Skip("no process is paused")
}

// resumeRequests releases the slots of the requests that finished during the pause
// and removes the other started requests from the orphans.
func (sim *simulation) resumeRequests(p *process) {
	var remaining []*request
	for _, r := range p.requests {
		if r.started && !sim.removeOrphan(r.id) {
			sim.apply(p, fleet.Release{Team: r.team, Service: service})
			continue
		}
		remaining = append(remaining, r)
	}
	p.requests = remaining
}

// removeOrphan removes a request from the orphans and reports whether it was one.
func (sim *simulation) removeOrphan(id string) bool {
	for i, o := range sim.orphans {
		if o.id == id {
			sim.orphans = append(sim.orphans[:i:i], sim.orphans[i+1:]...)
			return true
		}
	}
	return false
}

// stepMessage delivers an earlier loan message again, to the process that now
// has the name of its receiver.
func (sim *simulation) stepMessage(t *rapid.T) {
	if len(sim.messages) == 0 {
		t.Skip("no message")
	}
	m := sim.messages[rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")]
	p, ok := sim.processes[m.to]
	if !ok || p.paused {
		t.Skip("the receiver is gone")
	}
	sim.apply(p, m.event())
}

// check fails on a violated limit, or on a request that waits although slots are
// free.
func (sim *simulation) check(t *rapid.T) {
	for _, v := range sim.limits.Violations() {
		t.Fatal(v)
	}
	for _, name := range sim.processNames() {
		sim.checkWaiting(t, sim.processes[name])
	}
}

// checkWaiting fails if a request waits in a process although its team and its
// service have free slots there.
func (sim *simulation) checkWaiting(t *rapid.T, p *process) {
	reply := make(chan fleet.LimitsReport, 1)
	sim.apply(p, fleet.LimitsQuery{Reply: reply})
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
		if l.Limit.Kind == contract.KindTeam && l.Waiting > 0 && report.HoldValid && !p.paused && free(l.Limit.Name) && free(service) {
			t.Fatalf("%s: %d requests of %s wait while slots are free", p.member.ID, l.Waiting, l.Limit)
		}
	}
}

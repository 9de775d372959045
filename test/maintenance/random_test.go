package maintenance

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// Seed and number of the random runs unless flags say otherwise.
const (
	randomSeed = "20260601"
	randomRuns = "100"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": randomSeed, "rapid.checks": randomRuns, "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// history is one random run.
type history struct {
	*world
	waves  int
	faults map[string]standin.MachineFaults
}

// TestRandomHistories runs waves, moves and repairs while processes crash and
// pause, answers are lost, the platform is out, operators race, and machines,
// racks and data centres fail, alone and together. It guards against every
// violation that the checkers of I1, I2 and I10 know, and against a fleet that
// does not come to rest once the faults are over.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		h := &history{world: smallWorld(), faults: make(map[string]standin.MachineFaults)}
		h.advance(2 * time.Minute)
		r.Repeat(map[string]func(*rapid.T){
			"advance":     h.pass,
			"steps":       h.steps,
			"crash":       h.crash,
			"pause":       h.pauseOne,
			"resume":      h.resumeOne,
			"lose":        h.lose,
			"outage":      h.outage,
			"fail":        h.fail,
			"rack":        h.rack,
			"centre":      h.centre,
			"takeOut":     h.takeOutOne,
			"heal":        h.heal,
			"move":        h.move,
			"race":        h.race,
			"wave":        h.startWave,
			"pauseWave":   h.pauseWave,
			"resumeWave":  h.resumeWave,
			"minimum":     h.minimum,
			"machineGone": h.replace,
			"":            func(r *rapid.T) { h.verdict(r) },
		})
		h.calm()
		if rest := h.settle(12 * time.Hour); rest != "" {
			h.verdict(r)
			r.Fatalf("not at rest: %s", rest)
		}
		h.verdict(r)
	})
}

func (h *history) verdict(r *rapid.T) {
	if h.err != nil {
		r.Fatal(h.err)
	}
}

// calm ends every fault and resumes every process and wave. Random moves may
// have left a pool with fewer members than its minimum, where a wave waits for
// its operators, so the minimum is lowered.
func (h *history) calm() {
	h.tick = 5 * time.Second
	h.store.SetFaults(standin.Faults{})
	for _, p := range h.procs {
		if p.paused {
			p.resumeStale()
		}
		p.crashAfter = -1
	}
	h.revive()
	for _, m := range h.store.Truth() {
		h.store.SetMachineFaults(m.ID, standin.MachineFaults{})
	}
	for _, centre := range []string{"dc0", "dc1"} {
		h.takeOut(centre, false)
	}
	for _, pool := range twoPools {
		h.document("a-"+pool, pool, 0)
		h.document("b-"+pool, pool, 0)
	}
	for n := range h.waves {
		_, _ = h.orders.ResumeWave(context.Background(), fmt.Sprintf("w%d", n))
	}
}

// revive replaces the processes that have died.
func (h *history) revive() {
	for _, p := range append([]*proc(nil), h.procs...) {
		if p.dead {
			p.kill()
		}
	}
}

func (h *history) pass(r *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{2 * time.Second, 10 * time.Second, time.Minute, 4 * time.Minute, 12 * time.Minute}).Draw(r, "d")
	h.advance(d)
	h.revive()
}

// steps lets one process do some steps of its batch, so that a pause or crash
// can fall between any two.
func (h *history) steps(r *rapid.T) {
	h.now = h.now.Add(time.Second)
	h.observe()
	h.process(r).run(rapid.IntRange(0, 4).Draw(r, "steps"))
	h.revive()
}

func (h *history) process(r *rapid.T) *proc {
	return h.procs[rapid.IntRange(0, len(h.procs)-1).Draw(r, "process")]
}

func (h *history) crash(r *rapid.T) {
	p := h.process(r)
	p.crashAfter, p.late = rapid.IntRange(0, 6).Draw(r, "calls"), rapid.Bool().Draw(r, "late")
}

func (h *history) pauseOne(r *rapid.T) {
	p := h.process(r)
	if !p.paused {
		p.run(rapid.IntRange(0, 3).Draw(r, "steps"))
		p.pause()
	}
}

func (h *history) resumeOne(r *rapid.T) {
	for _, p := range h.procs {
		if p.paused {
			p.resumeStale()
			break
		}
	}
	h.revive()
}

func (h *history) lose(r *rapid.T) {
	h.store.SetFaults(standin.Faults{
		LoseAnswers: rapid.IntRange(0, 3).Draw(r, "answers"),
		LoseWrites:  rapid.IntRange(0, 3).Draw(r, "writes"),
	})
}

func (h *history) outage(r *rapid.T) {
	h.store.SetFaults(standin.Faults{Outage: true})
	h.advance(rapid.SampledFrom([]time.Duration{3 * time.Second, 20 * time.Second, 3 * time.Minute}).Draw(r, "d"))
	h.store.SetFaults(standin.Faults{})
	h.revive()
}

func (h *history) machine(r *rapid.T) string {
	var ids []string
	for _, m := range h.store.Truth() {
		ids = append(ids, m.ID)
	}
	return rapid.SampledFrom(ids).Draw(r, "machine")
}

func (h *history) fail(r *rapid.T) {
	h.store.SetMachineFaults(h.machine(r), rapid.SampledFrom([]standin.MachineFaults{
		{Down: true}, {Stuck: true}, {Sick: true}, {Stuck: true, Sick: true},
	}).Draw(r, "fault"))
}

func (h *history) rack(r *rapid.T) {
	centre := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre")
	h.rackFaults(centre, rapid.SampledFrom([]string{"r00", "r01", "r02"}).Draw(r, "rack"), standin.MachineFaults{Down: true})
}

func (h *history) centre(r *rapid.T) {
	centre := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre")
	for _, rack := range []string{"r00", "r01", "r02"} {
		h.rackFaults(centre, rack, standin.MachineFaults{Down: true})
	}
}

func (h *history) takeOutOne(r *rapid.T) {
	h.takeOut(rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre"), rapid.Bool().Draw(r, "out"))
}

func (h *history) heal(r *rapid.T) {
	for _, m := range h.store.Truth() {
		if rapid.Bool().Draw(r, "heal") {
			h.store.SetMachineFaults(m.ID, standin.MachineFaults{})
		}
	}
}

func (h *history) move(r *rapid.T) {
	pool := rapid.SampledFrom([]string{"bookings", "photos", "spare"}).Draw(r, "pool")
	_, _ = h.orders.Move(context.Background(), h.machine(r), pool, "op")
}

// race lets two operators order different moves of one instance.
func (h *history) race(r *rapid.T) {
	id := h.machine(r)
	_, _ = h.orders.Move(context.Background(), id, "bookings", "one")
	_, _ = h.orders.Move(context.Background(), id, "photos", "two")
}

func (h *history) startWave(r *rapid.T) {
	pools := rapid.SampledFrom([][]string{{"bookings"}, {"photos", "spare"}, {"bookings", "photos", "spare"}}).Draw(r, "pools")
	w := machine.Wave{Name: fmt.Sprintf("w%d", h.waves), Pools: pools, OneByOne: rapid.Bool().Draw(r, "one"), Author: "op"}
	if _, err := h.orders.StartWave(context.Background(), w); err == nil {
		h.waves++
	}
}

func (h *history) pauseWave(r *rapid.T) {
	_, _ = h.orders.PauseWave(context.Background(), fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(r, "wave")))
}

func (h *history) resumeWave(r *rapid.T) {
	_, _ = h.orders.ResumeWave(context.Background(), fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(r, "wave")))
}

func (h *history) minimum(r *rapid.T) {
	pool := rapid.SampledFrom(twoPools).Draw(r, "pool")
	h.document("a-"+pool, pool, rapid.IntRange(4, 9).Draw(r, "minimum"))
}

// replace takes a machine away and adds a new one in its rack.
func (h *history) replace(r *rapid.T) {
	h.swapMachine(h.machine(r))
}

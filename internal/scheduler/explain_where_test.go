package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// whereOf asks where a job goes and fails the test if there is no answer.
func whereOf(t *testing.T, s *Scheduler, q WhereQuery, now time.Time) Where {
	t.Helper()
	reply := make(chan Where, 1)
	q.Reply = reply
	q.Apply(s, now)
	answer := <-reply
	if answer.Problem != "" {
		t.Fatal(answer.Problem)
	}
	return answer
}

// TestWhereIsWhatTheRoundDoes guards against an answer that differs from the next round of
// placement, and against a question that changes the state or the decisions.
func TestWhereIsWhatTheRoundDoes(t *testing.T) {
	s, _, now := waitingForRack(t)
	known := addJob(s, 9, job.Step{Count: 3, Need: machine.Resources{MilliCores: 9000}, Estimate: time.Second, Rack: "r1"}, now)
	state := func() string {
		text := fmt.Sprint(s.actions, s.counts, s.place.roundNeeded, s.place.waits.Count("", now))
		for _, w := range s.workers.all() {
			text += fmt.Sprint(w.ID, w.InUse(), len(w.Runs()))
		}
		return text
	}
	before := state()
	waiting := whereOf(t, s, WhereQuery{ID: "0000000000000002"}, now)
	if w := waiting.Steps[0].Waits; len(w) != 1 || w[0].Rack != "r0" || w[0].ExpectedMS != 300 || w[0].EndsInMS != 600 || w[0].GainMS != 1000 {
		t.Errorf("the waiting task: %+v", waiting.Steps)
	}
	answer := whereOf(t, s, WhereQuery{ID: known.ID}, now)
	hypothetical := whereOf(t, s, WhereQuery{Terms: known.Terms, Spec: known.Spec}, now)
	if a, h := answer.Steps[0], hypothetical.Steps[0]; !slices.Equal(a.Starts, h.Starts) || !slices.Equal(a.Against, h.Against) {
		t.Errorf("known job %+v, the same one unsent %+v", a, h)
	}
	if after := state(); after != before {
		t.Errorf("a question changes the state from %s to %s", before, after)
	}
	if a := answer.Steps[0].Against; len(a) != 1 || a[0].Rack != "r0" || a[0].Reason != "too few free cores" {
		t.Errorf("reasons against other workers: %+v", a)
	}
	s.placeRound(now)
	runs := make(map[string]int)
	for _, id := range workersOf(known) {
		runs[id]++
	}
	for _, start := range answer.Steps[0].Starts {
		if runs[start.Worker] != start.Tasks {
			t.Errorf("%d tasks start on %s, the answer was %d", runs[start.Worker], start.Worker, start.Tasks)
		}
	}
	if len(runs) != len(answer.Steps[0].Starts) {
		t.Errorf("the tasks start on %v, the answer was %+v", runs, answer.Steps[0].Starts)
	}
}

package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// limitHarness runs one fleet against a simulated record of each limit, in
// virtual time.
type limitHarness struct {
	t       *testing.T
	f       *Fleet
	now     time.Time
	records map[contract.Ref]*contract.AllotmentRecord
	swaps   []SwapAllotment
	ended   bool
}

func newLimitHarness(t *testing.T, limit, bound int) *limitHarness {
	t.Helper()
	h := &limitHarness{
		t: t, now: time.Unix(1_800_000_000, 0), records: make(map[contract.Ref]*contract.AllotmentRecord),
		f: New(Options{
			Self:        link.Member{ID: "entry-1", Incarnation: 1, DataCentre: "north"},
			DataCentres: map[string]string{"north": "west"}, FreshnessHorizon: 1000 * time.Hour,
		}),
	}
	h.perform(h.f.Start(h.now))
	head := contract.Head{Revision: 2, Flushed: 2}
	h.apply(ConfigLoaded{Before: head, After: head, SentAt: h.now, Objects: []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Revision: 1, Team: &contract.Team{Name: "depots", UpperLimit: limit, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: "bookings"}, Revision: 2, Document: &contract.Document{Service: "bookings", Team: "depots", Pool: "p", MaxSlots: bound}},
	}})
	return h
}

func (h *limitHarness) apply(e Event) { h.perform(e.Apply(h.f, h.now)) }

// perform answers each action immediately, except swaps, which it queues.
func (h *limitHarness) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case RenewHold:
			h.apply(HoldRenewed{Written: a.Record, SentAt: h.now})
		case SwapAllotment:
			h.swaps = append(h.swaps, a)
		case EndHold:
			h.ended = true
			h.apply(HoldEnded{})
		}
	}
}

// answerSwaps answers all queued swaps.
func (h *limitHarness) answerSwaps() {
	for len(h.swaps) > 0 {
		a := h.swaps[0]
		h.swaps = h.swaps[1:]
		record, ok := h.records[a.Limit]
		if !ok {
			record = &contract.AllotmentRecord{}
			h.records[a.Limit] = record
		}
		*record, _ = record.Apply(a.Request)
		h.apply(AllotmentSwapped{Limit: a.Limit, Sequence: a.Request.Sequence, Record: *record})
	}
}

func (h *limitHarness) admit(id string, wait time.Duration) chan Admission {
	reply := make(chan Admission, 1)
	h.apply(Admit{RequestID: id, Team: "depots", Service: "bookings", Deadline: h.now.Add(wait), Reply: reply})
	return reply
}

// refusal returns the refusal in reply, nil when the request was admitted. It
// fails the test when there is no answer.
func (h *limitHarness) refusal(reply chan Admission) *Refusal {
	h.t.Helper()
	select {
	case a := <-reply:
		return a.Refusal
	default:
		h.t.Fatal("no answer")
		return nil
	}
}

func unanswered(reply chan Admission) bool { return len(reply) == 0 }

// TestAdmissionWaitsForSwap guards against a request that is refused while a
// swap is in flight, and against one that waits when no swap can bring a slot.
func TestAdmissionWaitsForSwap(t *testing.T) {
	h := newLimitHarness(t, 2, 0)
	first := h.admit("r1", time.Second)
	if !unanswered(first) {
		t.Fatal("answered before the swap")
	}
	second, third := h.admit("r2", time.Second), h.admit("r3", time.Second)
	h.answerSwaps()
	if h.refusal(first) != nil || h.refusal(second) != nil {
		t.Error("two requests within the limit were refused")
	}
	r := h.refusal(third)
	if r == nil || r.Code != CodeUpperLimit || r.RetryAfter <= 0 {
		t.Fatalf("the third request got %+v", r)
	}
	for _, part := range []string{"limit 2", "holds 2", "runs 2"} {
		if !strings.Contains(r.Reason, part) {
			t.Errorf("reason %q does not say %q", r.Reason, part)
		}
	}
	if len(h.f.journal.about(Subject{Kind: SubjectRefusal, Name: "r3"})) != 1 {
		t.Error("the refusal is not recorded")
	}
	h.apply(Release{Team: "depots", Service: "bookings"})
	if h.refusal(h.admit("r4", time.Second)) != nil {
		t.Error("a free slot was refused")
	}
}

// TestServiceBoundHoldsBelowTeamLimit guards against a service that gets more
// slots than its own bound because the team's limit is larger.
func TestServiceBoundHoldsBelowTeamLimit(t *testing.T) {
	h := newLimitHarness(t, 10, 2)
	replies := []chan Admission{h.admit("r1", time.Second), h.admit("r2", time.Second), h.admit("r3", time.Second)}
	h.answerSwaps()
	refused := 0
	for _, reply := range replies {
		if h.refusal(reply) != nil {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d of 3 requests refused with bound 2", refused)
	}
}

// TestCancelAdmitFreesQueuePlace guards against a cancelled request that still
// occupies a slot or a place in the queue.
func TestCancelAdmitFreesQueuePlace(t *testing.T) {
	h := newLimitHarness(t, 1, 0)
	cancelled, next := h.admit("r1", time.Second), h.admit("r2", time.Second)
	h.apply(CancelAdmit{Reply: cancelled})
	if h.refusal(cancelled) == nil || h.f.limits.queue.Len() != 1 {
		t.Error("the cancelled request was not refused immediately")
	}
	h.apply(CancelAdmit{Reply: cancelled})
	h.answerSwaps()
	if h.refusal(next) != nil {
		t.Error("the slot did not go to the next request")
	}
}

// TestQueuedRequestIsRefusedAtDeadline guards against a request that waits past
// its deadline.
func TestQueuedRequestIsRefusedAtDeadline(t *testing.T) {
	h := newLimitHarness(t, 1, 0)
	reply := h.admit("r1", time.Second)
	h.now = h.now.Add(time.Second)
	if at := h.f.NextTick(); at.After(h.now) {
		t.Fatalf("next tick %v is after the deadline", at)
	}
	h.perform(h.f.Tick(h.now))
	if r := h.refusal(reply); r == nil || r.Code != CodeDeadline {
		t.Errorf("got %+v", r)
	}
}

// TestDelayedReleaseKeepsSlotOccupied guards against a slot that is used again
// while an endpoint may still run a request whose outcome is unknown.
func TestDelayedReleaseKeepsSlotOccupied(t *testing.T) {
	h := newLimitHarness(t, 1, 0)
	h.admit("r1", time.Second)
	h.answerSwaps()
	h.apply(Release{Team: "depots", Service: "bookings", Until: h.now.Add(time.Second)})
	next := h.admit("r2", 5*time.Second)
	h.answerSwaps()
	if h.refusal(next) == nil {
		t.Error("the slot was used again immediately")
	}
	h.now = h.now.Add(time.Second)
	h.perform(h.f.Tick(h.now))
	if h.refusal(h.admit("r3", time.Second)) != nil {
		t.Error("the slot is not free after the delay of its release")
	}
}

// TestPlannedStopReturnsAllSlots guards against a planned stop that is answered
// while work runs, or that leaves slots or the holder record in the platform.
func TestPlannedStopReturnsAllSlots(t *testing.T) {
	h := newLimitHarness(t, 4, 3)
	h.admit("r1", time.Second)
	h.answerSwaps()
	waiting := h.admit("r2", time.Second)
	reply := make(chan ReleaseResult, 1)
	h.apply(ReleaseAllotments{Reply: reply})
	if !unanswered(waiting) && h.refusal(waiting) != nil {
		t.Error("a request that had a slot was refused")
	}
	if r := h.refusal(h.admit("r3", time.Second)); r == nil || r.Code != CodeNotReady {
		t.Errorf("admitted during the stop: %+v", r)
	}
	h.answerSwaps()
	if len(reply) != 0 || h.ended {
		t.Fatal("the stop ended while work runs")
	}
	for range 2 {
		h.apply(Release{Team: "depots", Service: "bookings"})
	}
	h.answerSwaps()
	if len(reply) != 1 || !h.ended {
		t.Fatalf("answers %d, hold ended %t", len(reply), h.ended)
	}
	if r := <-reply; r.Unreturned != 0 {
		t.Errorf("%d slots were not returned", r.Unreturned)
	}
	for ref, record := range h.records {
		if record.Sum() != 0 {
			t.Errorf("%s still records %d", ref, record.Sum())
		}
	}
}

// TestLoanOfPredecessorIsNotReturned guards against a new process that returns
// a loan of its predecessor, whose work may still run on the borrowed slots.
// The state machine test found the fault with seed 21783342.
func TestLoanOfPredecessorIsNotReturned(t *testing.T) {
	h := newLimitHarness(t, 4, 0)
	granted := LoanGranted{
		From: link.Member{ID: "entry-2"}, Limit: contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Reply: contract.LoanReply{Slots: 1, Period: time.Minute}, SentAt: h.now,
	}
	granted.ID = "entry-1/0/1"
	if actions := granted.Apply(h.f, h.now); len(actions) != 0 {
		t.Errorf("a loan of the predecessor led to %+v", actions)
	}
	granted.ID = h.f.transferPrefix() + "1"
	actions := granted.Apply(h.f, h.now)
	if len(actions) != 1 {
		t.Fatalf("a loan without a pending request led to %+v", actions)
	}
	if _, ok := actions[0].(ReturnLoan); !ok {
		t.Errorf("got %T", actions[0])
	}
}

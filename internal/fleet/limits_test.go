package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// limitBench runs one fleet against a simulated record of each limit, in virtual
// time.
type limitBench struct {
	t       *testing.T
	f       *Fleet
	now     time.Time
	records map[contract.Ref]*contract.AllotmentRecord
	swaps   []SwapAllotment
	ended   bool
}

func newLimitBench(t *testing.T, limit, bound int) *limitBench {
	t.Helper()
	b := &limitBench{
		t: t, now: time.Unix(1_800_000_000, 0), records: make(map[contract.Ref]*contract.AllotmentRecord),
		f: New(Options{
			Self:        link.Member{ID: "entry-1", Incarnation: 1, DataCentre: "north"},
			DataCentres: map[string]string{"north": "west"}, Horizon: 1000 * time.Hour,
		}),
	}
	b.take(b.f.Start(b.now))
	head := contract.Head{Revision: 2, Flushed: 2}
	b.apply(ConfigLoaded{Before: head, After: head, SentAt: b.now, Objects: []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Revision: 1, Team: &contract.Team{Name: "depots", UpperLimit: limit, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: "bookings"}, Revision: 2, Document: &contract.Document{Service: "bookings", Team: "depots", Pool: "p", MaxSlots: bound}},
	}})
	return b
}

func (b *limitBench) apply(e Event) { b.take(e.Apply(b.f, b.now)) }

// take answers all actions at once but swaps, which it queues.
func (b *limitBench) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case RenewHold:
			b.apply(HoldRenewed{Written: a.Record, SentAt: b.now})
		case SwapAllotment:
			b.swaps = append(b.swaps, a)
		case EndHold:
			b.ended = true
			b.apply(HoldEnded{})
		}
	}
}

// swap answers all queued swaps.
func (b *limitBench) swap() {
	for len(b.swaps) > 0 {
		a := b.swaps[0]
		b.swaps = b.swaps[1:]
		record, ok := b.records[a.Limit]
		if !ok {
			record = &contract.AllotmentRecord{}
			b.records[a.Limit] = record
		}
		*record, _ = record.Apply(a.Request)
		b.apply(AllotmentSwapped{Limit: a.Limit, Sequence: a.Request.Sequence, Record: *record})
	}
}

func (b *limitBench) admit(id string, wait time.Duration) chan Admission {
	reply := make(chan Admission, 1)
	b.apply(Admit{RequestID: id, Team: "depots", Service: "bookings", Deadline: b.now.Add(wait), Reply: reply})
	return reply
}

// refusal returns the refusal in reply, nil when the request was admitted. It
// fails the test when there is no answer.
func (b *limitBench) refusal(reply chan Admission) *Refusal {
	b.t.Helper()
	select {
	case a := <-reply:
		return a.Refusal
	default:
		b.t.Fatal("no answer")
		return nil
	}
}

func waits(reply chan Admission) bool { return len(reply) == 0 }

// TestAdmissionWaitsForSwap guards against a request that is refused while a
// swap is in flight, and against one that waits when no swap can bring a slot.
func TestAdmissionWaitsForSwap(t *testing.T) {
	b := newLimitBench(t, 2, 0)
	first := b.admit("r1", time.Second)
	if !waits(first) {
		t.Fatal("answered before the swap")
	}
	second, third := b.admit("r2", time.Second), b.admit("r3", time.Second)
	b.swap()
	if b.refusal(first) != nil || b.refusal(second) != nil {
		t.Error("two requests within the limit were refused")
	}
	r := b.refusal(third)
	if r == nil || r.Code != CodeUpperLimit || r.RetryAfter <= 0 {
		t.Fatalf("the third request got %+v", r)
	}
	for _, part := range []string{"limit 2", "holds 2", "runs 2"} {
		if !strings.Contains(r.Reason, part) {
			t.Errorf("reason %q does not say %q", r.Reason, part)
		}
	}
	if len(b.f.journal.about(Subject{Kind: SubjectRefusal, Name: "r3"})) != 1 {
		t.Error("the refusal is not recorded")
	}
	b.apply(Release{Team: "depots", Service: "bookings"})
	if b.refusal(b.admit("r4", time.Second)) != nil {
		t.Error("a free slot was refused")
	}
}

// TestServiceBoundHoldsBelowTeamLimit guards against a service that takes more
// than its own bound of a larger team limit.
func TestServiceBoundHoldsBelowTeamLimit(t *testing.T) {
	b := newLimitBench(t, 10, 2)
	replies := []chan Admission{b.admit("r1", time.Second), b.admit("r2", time.Second), b.admit("r3", time.Second)}
	b.swap()
	refused := 0
	for _, reply := range replies {
		if b.refusal(reply) != nil {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d of 3 requests refused with bound 2", refused)
	}
}

// TestCancelFreesPlace guards against a cancelled request that still occupies a
// slot or a place in the queue.
func TestCancelFreesPlace(t *testing.T) {
	b := newLimitBench(t, 1, 0)
	gone, next := b.admit("r1", time.Second), b.admit("r2", time.Second)
	b.apply(CancelAdmit{Reply: gone})
	if b.refusal(gone) == nil || b.f.limits.queue.Len() != 1 {
		t.Error("the cancelled request was not refused at once")
	}
	b.apply(CancelAdmit{Reply: gone})
	b.swap()
	if b.refusal(next) != nil {
		t.Error("the slot did not go to the next request")
	}
}

// TestWaitEndsAtDeadline guards against a request that waits past its deadline.
func TestWaitEndsAtDeadline(t *testing.T) {
	b := newLimitBench(t, 1, 0)
	reply := b.admit("r1", time.Second)
	b.now = b.now.Add(time.Second)
	if at := b.f.NextWake(); at.After(b.now) {
		t.Fatalf("next wake %v is after the deadline", at)
	}
	b.take(b.f.Tick(b.now))
	if r := b.refusal(reply); r == nil || r.Code != CodeDeadline {
		t.Errorf("got %+v", r)
	}
}

// TestKeptSlotStaysOccupied guards against a slot that is used again while an
// endpoint may still run a request whose outcome is unknown.
func TestKeptSlotStaysOccupied(t *testing.T) {
	b := newLimitBench(t, 1, 0)
	b.admit("r1", time.Second)
	b.swap()
	b.apply(Release{Team: "depots", Service: "bookings", Until: b.now.Add(time.Second)})
	next := b.admit("r2", 5*time.Second)
	b.swap()
	if b.refusal(next) == nil {
		t.Error("the slot was used again at once")
	}
	b.now = b.now.Add(time.Second)
	b.take(b.f.Tick(b.now))
	if b.refusal(b.admit("r3", time.Second)) != nil {
		t.Error("the slot is not free after the delay of its release")
	}
}

// TestPlannedStopReturnsEverything guards against a planned stop that is answered
// while work runs, or that leaves slots or the holder record in the platform.
func TestPlannedStopReturnsEverything(t *testing.T) {
	b := newLimitBench(t, 4, 3)
	b.admit("r1", time.Second)
	b.swap()
	waiting := b.admit("r2", time.Second)
	reply := make(chan Returned, 1)
	b.apply(ReleaseAllotments{Reply: reply})
	if !waits(waiting) && b.refusal(waiting) != nil {
		t.Error("a request that had a slot was refused")
	}
	if r := b.refusal(b.admit("r3", time.Second)); r == nil || r.Code != CodeNotReady {
		t.Errorf("admitted during the stop: %+v", r)
	}
	b.swap()
	if len(reply) != 0 || b.ended {
		t.Fatal("the stop ended while work runs")
	}
	for range 2 {
		b.apply(Release{Team: "depots", Service: "bookings"})
	}
	b.swap()
	if len(reply) != 1 || !b.ended {
		t.Fatalf("answers %d, hold ended %t", len(reply), b.ended)
	}
	if r := <-reply; r.Kept != 0 {
		t.Errorf("kept %d", r.Kept)
	}
	for ref, record := range b.records {
		if record.Sum() != 0 {
			t.Errorf("%s still records %d", ref, record.Sum())
		}
	}
}

// TestForeignLoanIsNotReturned guards against a new process that returns a loan
// of its predecessor, whose work may still run on the borrowed slots. The state
// machine test found the fault with seed 21783342.
func TestForeignLoanIsNotReturned(t *testing.T) {
	b := newLimitBench(t, 4, 0)
	granted := LoanGranted{
		From: link.Member{ID: "entry-2"}, Limit: contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Reply: contract.LoanReply{Slots: 1, Period: time.Minute}, SentAt: b.now,
	}
	granted.ID = "entry-1/0/1"
	if actions := granted.Apply(b.f, b.now); len(actions) != 0 {
		t.Errorf("a loan of the predecessor led to %+v", actions)
	}
	granted.ID = b.f.transferPrefix() + "1"
	actions := granted.Apply(b.f, b.now)
	if len(actions) != 1 {
		t.Fatalf("a loan that was not asked for any more led to %+v", actions)
	}
	if _, ok := actions[0].(ReturnLoan); !ok {
		t.Errorf("got %T", actions[0])
	}
}

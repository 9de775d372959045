package ingress

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// fullControl is a control thread whose view has a service that can do nothing in time.
type fullControl struct{ fakeControl }

func (c fullControl) View() View {
	v := c.fakeControl.View()
	room := admission.Room{Supply: admission.Supply{Up: 1000}, Loads: []admission.Load{{Begun: 1000}}}
	v.Rooms = &admission.Rooms{ByService: map[string]admission.Room{"s": room}, AsOf: testNow}
	return v
}

// admissionStore answers the reads before a refusal and counts the writes.
type admissionStore struct {
	fakeStore
	holds   bool
	readErr error
	result  WriteResult
	writes  int
	// onRead is called with each read.
	onRead func()
}

func (s *admissionStore) Holds(job.ID, time.Duration) (bool, error) {
	s.onRead()
	return s.holds, s.readErr
}

func (s *admissionStore) Accept(*job.Job, time.Time) WriteResult {
	s.writes++
	return s.result
}

func submitTo(s *Service, step job.Step) Answer {
	step.Count, step.Estimate = 1, time.Second
	return s.Submit(Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"}, func() (job.Spec, error) {
		return job.Spec{Steps: []job.Step{step}}, nil
	})
}

// TestRefusalIsTrue guards against a refusal of a job that is stored or that another
// request writes after the store was read, and against refusals that rest on a store which
// does not answer.
func TestRefusalIsTrue(t *testing.T) {
	for name, c := range map[string]struct {
		store  *admissionStore
		step   job.Step
		want   Code
		writes int
	}{
		"not stored":        {&admissionStore{}, job.Step{}, OverCapacity, 0},
		"stored before":     {&admissionStore{holds: true}, job.Step{}, Accepted, 0},
		"written meanwhile": {&admissionStore{}, job.Step{}, Accepted, 1},
		"store not read":    {&admissionStore{readErr: errors.New("down")}, job.Step{}, Accepted, 1},
		"long-running job":  {&admissionStore{}, job.Step{LongRunning: true}, Accepted, 1},
	} {
		s := New(fullControl{}, c.store, func() time.Time { return testNow }, time.Second)
		c.store.onRead = func() {
			if name == "written meanwhile" {
				s.openJobs.begin(testJob)
				s.openJobs.beginWrite(testJob)
				s.openJobs.end(testJob, false, testNow)
			}
		}
		a := submitTo(s, c.step)
		if a.Code != c.want || c.store.writes != c.writes {
			t.Errorf("%s: %v after %d writes, want %v after %d", name, a.Code, c.store.writes, c.want, c.writes)
		}
		if a.Code == OverCapacity && (a.RetryAfter < time.Second || a.RetryAfter%time.Second != 0 || a.Reason == "") {
			t.Errorf("%s: retry after %v, reason %q", name, a.RetryAfter, a.Reason)
		}
	}
}

// TestNoRefusalOfUnsettledWrite guards against a refusal of a job while a write of it from
// this node may still take effect, and against a refusal for ever after.
func TestNoRefusalOfUnsettledWrite(t *testing.T) {
	now := testNow
	store := &admissionStore{readErr: errors.New("down"), result: WriteUnknown, onRead: func() {}}
	s := New(fullControl{}, store, func() time.Time { return now }, time.Hour)
	if a := submitTo(s, job.Step{}); a.Code != Unsettled {
		t.Fatalf("first submission: %v", a.Code)
	}
	store.readErr, store.result = nil, Stored
	if a := submitTo(s, job.Step{}); a.Code != Accepted || store.writes != 2 {
		t.Errorf("with an unsettled write: %v after %d writes", a.Code, store.writes)
	}
	now = now.Add(unsettledMemory)
	s.openJobs.begin("fedcba9876543210")
	s.openJobs.end("fedcba9876543210", false, now)
	if len(s.openJobs.open) != 0 {
		t.Errorf("%d jobs are remembered", len(s.openJobs.open))
	}
}

// TestTooManyUnsettledWrites guards against refusals by a node that cannot remember all of
// its unsettled writes.
func TestTooManyUnsettledWrites(t *testing.T) {
	var s openJobs
	for i := range maxUnsettled + 1 {
		id := job.ID(rune(i))
		s.begin(id)
		s.beginWrite(id)
		s.end(id, true, testNow)
	}
	s.begin(testJob)
	if s.recordRefusal(testJob, testNow) || !s.recordRefusal(testJob, testNow.Add(unsettledMemory)) {
		t.Error("refused although a write was forgotten, or not refused after all are settled")
	}
}

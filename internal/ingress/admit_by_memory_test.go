package ingress

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// floodedControl is a control thread whose view has no memory left for jobs.
type floodedControl struct{ fakeControl }

func (c floodedControl) View() View {
	v := c.fakeControl.View()
	v.JobMemory = admission.NewJobMemory(1)
	return v
}

// TestRefusalForMemoryIsTrue guards against a refusal of a job that is stored, and against
// writing a job for which no node has memory while the store can't be read.
func TestRefusalForMemoryIsTrue(t *testing.T) {
	for name, c := range map[string]struct {
		store *admissionStore
		want  Code
	}{
		"not stored":     {&admissionStore{}, NotRun},
		"stored before":  {&admissionStore{holds: true}, Accepted},
		"store not read": {&admissionStore{readErr: errors.New("down")}, Unsettled},
	} {
		c.store.onRead = func() {}
		s := New(floodedControl{}, c.store, func() time.Time { return testNow }, time.Second)
		a := submitTo(s, job.Step{})
		if a.Code != c.want || c.store.writes != 0 {
			t.Errorf("%s: %v after %d writes, want %v after none", name, a.Code, c.store.writes, c.want)
		}
		if a.Code == NotRun && (a.RetryAfter <= 0 || a.Reason == "") {
			t.Errorf("%s: retry after %v, reason %q", name, a.RetryAfter, a.Reason)
		}
	}
}

// TestJobsOfLastSecondCount guards against jobs that a node admits without limit until they
// are in the sum of the memory of jobs.
func TestJobsOfLastSecondCount(t *testing.T) {
	const limit, bytes = 1000, 10
	var r recentJobs
	m := admission.NewJobMemory(limit)
	admit := func(team string, now time.Time) (admitted int) {
		for r.admit(m, team, bytes, now) {
			admitted++
		}
		return admitted
	}
	if first, second := admit("a", testNow), admit("b", testNow); first != limit/bytes/2 || second == 0 || first+second > limit/bytes {
		t.Errorf("%d and %d jobs are admitted", first, second)
	}
	if n := admit("a", testNow.Add(recentWindow)); n != 0 {
		t.Errorf("%d more jobs are admitted after one window", n)
	}
	if n := admit("a", testNow.Add(4*recentWindow)); n == 0 {
		t.Error("no job is admitted after the windows")
	}
}

// countingStore counts the cancellations that are written.
type countingStore struct {
	fakeStore
	cancellations int
}

func (s *countingStore) Cancel(job.ID, int64, time.Time) WriteResult {
	s.cancellations++
	return Stored
}

// Read implements Store: no job is stored.
func (s *countingStore) Read(id job.ID, _ time.Time) (scheduler.JobView, error) {
	return scheduler.JobView{ID: id}, nil
}

// TestCancellationsOfUnknownJobsAreLimited guards against cancellations of jobs that don't
// exist, which every node keeps.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	const limit = 100 * admission.CancellationBytes
	store := &countingStore{}
	m := admission.NewJobMemory(limit)
	s := New(limitedControl{memory: m}, store, func() time.Time { return testNow }, time.Second)
	refused := 0
	for range 200 {
		switch a := s.Cancel(t.Context(), Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"}); a.Code {
		case NotRun:
			refused++
		case NoJob:
		default:
			t.Fatalf("%v: %s", a.Code, a.Reason)
		}
	}
	if store.cancellations != 50 || refused != 150 {
		t.Errorf("%d cancellations are stored and %d refused, want 50 and 150", store.cancellations, refused)
	}
}

// limitedControl is a control thread that knows no job and has a limit of memory.
type limitedControl struct {
	fakeControl
	memory *admission.JobMemory
}

func (c limitedControl) View() View {
	v := c.fakeControl.View()
	v.JobMemory = c.memory
	return v
}

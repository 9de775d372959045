package ingress

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
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

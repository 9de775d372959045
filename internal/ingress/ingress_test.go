package ingress

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

var testNow = time.UnixMilli(1_700_000_000_000)

const testJob = job.ID("0123456789abcdef")

// fakeControl is a control thread whose copy holds one view of a job.
type fakeControl struct {
	view       scheduler.JobView
	configAge  time.Duration
	superseded bool
}

func (c fakeControl) View() View {
	config := policy.New(1, []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}},
		[]policy.Team{{Name: "team", Keys: []string{"key"}}}, nil, policy.RequestLimits{})
	return View{Config: config, ConfigAsOf: testNow.Add(-c.configAge), ConfigSuperseded: c.superseded}
}

func (c fakeControl) Job(context.Context, job.ID) (scheduler.JobView, error) { return c.view, nil }

func (c fakeControl) Pending(context.Context, policy.QueueRef) (int, error) { return 0, nil }

// fakeStore holds a job in one state and counts the reads.
type fakeStore struct {
	state             job.State
	err               error
	reads, stateReads int
}

func (s *fakeStore) Accept(*job.Job, time.Time) WriteResult { return Stored }

func (s *fakeStore) Holds(job.ID, time.Duration) (bool, error) { return false, s.err }

func (s *fakeStore) RetryAfter() time.Duration { return time.Second }

func (s *fakeStore) Cancel(job.ID, int64, time.Time) WriteResult { return Stored }

func (s *fakeStore) Read(id job.ID, _ time.Time) (scheduler.JobView, error) {
	s.reads++
	return scheduler.JobView{ID: id, Known: true, StateKnown: true, Queue: policy.QueueRef{Name: "q"}, Team: "team", State: s.state}, s.err
}

func (s *fakeStore) ReadState(job.ID, time.Time) (job.State, error) {
	s.stateReads++
	return s.state, s.err
}

// TestShowIsNeverBehindTheStore guards against a node that shows a job as running after
// the store holds its end, because the node's copy does not hold the job's progress or
// is old: callers learned of an end up to 1.7 s late. It also guards against reads of
// the store for what the copy shows.
func TestShowIsNeverBehindTheStore(t *testing.T) {
	view := func(state job.State, known bool, age time.Duration) scheduler.JobView {
		return scheduler.JobView{ID: testJob, Known: true, StateKnown: known, Queue: policy.QueueRef{Name: "q"}, Team: "team", State: state, AsOf: testNow.Add(-age)}
	}
	for name, c := range map[string]struct {
		view              scheduler.JobView
		want              job.State
		reads, stateReads int
	}{
		"ended":                    {view(job.Cancelled, true, time.Hour), job.Cancelled, 0, 0},
		"running at the scheduler": {view(job.Running, true, time.Second), job.Running, 0, 0},
		"running elsewhere":        {view(job.Queued, false, time.Second), job.Completed, 0, 1},
		"old copy":                 {view(job.Running, true, maxJobViewAge+time.Millisecond), job.Completed, 1, 0},
		"not in the copy":          {scheduler.JobView{ID: testJob}, job.Completed, 1, 0},
	} {
		store := &fakeStore{state: job.Completed}
		s := New(fakeControl{view: c.view}, store, func() time.Time { return testNow }, 5*time.Second)
		a := s.Show(t.Context(), Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"})
		if a.Code != Shown || a.State != c.want || store.reads != c.reads || store.stateReads != c.stateReads {
			t.Errorf("%s: %v %q, %d and %d reads; want %q, %d and %d", name, a.Code, a.State, store.reads, store.stateReads, c.want, c.reads, c.stateReads)
		}
	}
}

// TestUnknownStateIsNotGuessed guards against a state that is shown although the store
// could not be read.
func TestUnknownStateIsNotGuessed(t *testing.T) {
	store := &fakeStore{err: errors.New("down")}
	view := scheduler.JobView{ID: testJob, Known: true, Queue: policy.QueueRef{Name: "q"}, Team: "team", State: job.Queued, AsOf: testNow}
	s := New(fakeControl{view: view}, store, func() time.Time { return testNow }, 5*time.Second)
	if a := s.Show(t.Context(), Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"}); a.Code != Unavailable || a.State != "" {
		t.Errorf("%v %q", a.Code, a.State)
	}
}

// TestNoRefusalByOutdatedConfiguration guards against a request that is refused as
// unknown by a copy which a newer version may have replaced so long ago that it must be
// in force.
func TestNoRefusalByOutdatedConfiguration(t *testing.T) {
	const keyWithdrawal, configApply = 5 * time.Second, 3 * time.Second
	for name, c := range map[string]struct {
		request Request
		age     time.Duration
		want    Code
	}{
		"unknown queue, current copy":  {Request{Host: "h", Path: "/added/", Key: "key"}, 2 * time.Second, NoQueue},
		"unknown queue, outdated copy": {Request{Host: "h", Path: "/added/", Key: "key"}, configApply, Unavailable},
		"unknown key, current copy":    {Request{Host: "h", Path: "/q/", Key: "granted"}, 2 * time.Second, BadKey},
		"unknown key, outdated copy":   {Request{Host: "h", Path: "/q/", Key: "granted"}, configApply, Unavailable},
		"known queue, outdated copy":   {Request{Host: "h", Path: "/q/", Key: "key"}, configApply, Unavailable},
	} {
		s := New(fakeControl{configAge: c.age}, &fakeStore{}, func() time.Time { return testNow }, MaxConfigAge(keyWithdrawal, configApply))
		if a := s.Show(t.Context(), c.request); a.Code != c.want {
			t.Errorf("%s: %v, want %v", name, a.Code, c.want)
		}
	}
}

// TestNoAnswerBySupersededConfiguration guards against a caller who has seen the effect
// of a version and is then refused by an older one.
func TestNoAnswerBySupersededConfiguration(t *testing.T) {
	s := New(fakeControl{superseded: true}, &fakeStore{}, func() time.Time { return testNow }, time.Second)
	if a := s.Show(t.Context(), Request{Host: "h", Path: "/added/", Key: "key"}); a.Code != Unavailable {
		t.Errorf("%v", a.Code)
	}
}

// racingStore holds a job that is stored between the read of its absence and its
// cancellation.
type racingStore struct {
	fakeStore
	stored    bool
	cancelled []int64
}

func (s *racingStore) Read(id job.ID, _ time.Time) (scheduler.JobView, error) {
	if !s.stored {
		return scheduler.JobView{ID: id}, nil
	}
	return scheduler.JobView{ID: id, Known: true, StateKnown: true, Queue: policy.QueueRef{Name: "q"}, Team: "team", State: job.Queued, Revision: 7}, nil
}

func (s *racingStore) Cancel(_ job.ID, revision int64, _ time.Time) WriteResult {
	s.cancelled = append(s.cancelled, revision)
	if !s.stored {
		s.stored = true
		return JobChanged
	}
	return Stored
}

// TestCancelOfJobStoredMeanwhile guards against a cancellation that is answered with "no
// such job" although the job was stored while it was served.
func TestCancelOfJobStoredMeanwhile(t *testing.T) {
	store := &racingStore{}
	s := New(fakeControl{view: scheduler.JobView{ID: testJob}}, store, func() time.Time { return testNow }, 5*time.Second)
	a := s.Cancel(t.Context(), Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"})
	if a.Code != Withdrawn || a.State != job.Cancelled || !slices.Equal(store.cancelled, []int64{0, 7}) {
		t.Errorf("%v %q after cancellations at revisions %v", a.Code, a.State, store.cancelled)
	}
}

// unwritableStore has no jobs and does not confirm writes.
type unwritableStore struct{ fakeStore }

func (*unwritableStore) Read(id job.ID, _ time.Time) (scheduler.JobView, error) {
	return scheduler.JobView{ID: id}, nil
}

func (*unwritableStore) Cancel(job.ID, int64, time.Time) WriteResult { return WriteUnknown }

// TestAbsenceIsConfirmed guards against a cancellation that is answered with "no such
// job" while a submission of it can still be stored.
func TestAbsenceIsConfirmed(t *testing.T) {
	s := New(fakeControl{view: scheduler.JobView{ID: testJob}}, &unwritableStore{}, func() time.Time { return testNow }, 5*time.Second)
	r := Request{Host: "h", Path: "/q/" + string(testJob), Key: "key"}
	if a := s.Cancel(t.Context(), r); a.Code != Unsettled {
		t.Errorf("cancellation: %v, want %v", a.Code, Unsettled)
	}
	if a := s.Show(t.Context(), r); a.Code != NoJob {
		t.Errorf("state: %v, want %v", a.Code, NoJob)
	}
}

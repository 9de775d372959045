package node

import (
	"io"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// TestFailedActionCountsAsUnanswered guards against an action that fails unexpectedly
// and ends the process, or whose missing result leaves its subject waiting for ever.
func TestFailedActionCountsAsUnanswered(t *testing.T) {
	// Without a client every call of the platform fails.
	r := &runner{clock: newBootClock(), log: asynclog.New(io.Discard, logrus.Fields{})}
	notAfter := r.clock.Now().Add(1 << 40)
	withResult := []scheduler.Action{
		scheduler.AcquireLease{}, scheduler.RenewLease{}, scheduler.PollWorker{NotAfter: notAfter}, scheduler.StartTask{NotAfter: notAfter},
		scheduler.StopRun{NotAfter: notAfter}, scheduler.StoreProgress{}, scheduler.StoreRoster{}, scheduler.StoreMachineOrders{}, scheduler.ListMachines{},
		scheduler.OrderUpkeep{NotAfter: notAfter}, scheduler.OrderMove{NotAfter: notAfter}, scheduler.PublishWave{}, scheduler.RequestAdvice{},
	}
	for _, a := range withResult {
		if r.performContained(a) == nil {
			t.Errorf("%T that failed has no result", a)
		}
	}
	for _, a := range []scheduler.Action{scheduler.ReleaseLease{}, scheduler.SetPace{NotAfter: notAfter}, scheduler.RemoveJobs{}, scheduler.CloseWorker{}, scheduler.StoreQuarantine{}} {
		if e := r.performContained(a); e != nil {
			t.Errorf("%T that failed has the result %+v", a, e)
		}
	}
}

// TestConflictThatNamesOtherKeys guards against a malformed answer of the store that
// ends the process.
func TestConflictThatNamesOtherKeys(t *testing.T) {
	conflict := &platform.ConflictError{Items: []platform.Item{{Key: "op", Revision: 7}, {Key: progressKey + "a", Revision: 9}, {Key: leaderKey, Revision: 3}}}
	if outcome := conflictOutcome(conflict, 3); outcome != scheduler.StoreConflict {
		t.Errorf("outcome %v", outcome)
	}
	want := map[job.ID]scheduler.FoundProgress{"a": {Revision: 9}}
	found, err := foundProgress(conflict)
	if diff := cmp.Diff(want, found); diff != "" || err == nil {
		t.Errorf("error %v, found %s", err, diff)
	}
}

// TestDecoderFailureIsAnError guards against a stored value that makes a decoder fail
// and ends the process.
func TestDecoderFailureIsAnError(t *testing.T) {
	m := mirror{decode: func(platform.Item) (scheduler.Change, error) { panic("unexpected") }}
	if change, err := m.decodeItem(platform.Item{}); change != nil || err == nil {
		t.Errorf("change %v, error %v", change, err)
	}
}

// TestStoredJobIsChecked guards against a stored job on which decisions cannot rely,
// such as one with a dependency on a step that it lacks.
func TestStoredJobIsChecked(t *testing.T) {
	valid := job.Spec{Steps: []job.Step{{Count: 1}, {Count: 1, After: []int{0}}}}
	for name, change := range map[string]func(*job.Spec){
		"no steps":          func(s *job.Spec) { s.Steps = nil },
		"unknown step":      func(s *job.Spec) { s.Steps[1].After = []int{7} },
		"negative step":     func(s *job.Spec) { s.Steps[1].After = []int{-1} },
		"no tasks":          func(s *job.Spec) { s.Steps[0].Count = 0 },
		"negative times":    func(s *job.Spec) { s.Times = -1 },
		"negative need":     func(s *job.Spec) { s.Steps[0].Need.MilliCores = -1 },
		"too many tasks":    func(s *job.Spec) { s.Steps[0].Count = job.MaxTasksPerStep + 1 },
		"negative interval": func(s *job.Spec) { s.Times, s.Interval = 2, -1 },
	} {
		spec := job.Spec{Steps: append([]job.Step(nil), valid.Steps...)}
		change(&spec)
		if _, err := decodeJobsItem(jobItem(t, spec)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if change, err := decodeJobsItem(jobItem(t, valid)); err != nil || change == nil {
		t.Errorf("valid job: %v", err)
	}
}

func jobItem(t *testing.T, spec job.Spec) platform.Item {
	t.Helper()
	value, err := cbor.Marshal(jobRecord{Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Item{Key: jobKey + strings.Repeat("a", 16), Value: value, Revision: 1}
}

// TestQuarantineKeysAreDecoded guards against a quarantine that is not read back.
func TestQuarantineKeysAreDecoded(t *testing.T) {
	r := scheduler.Record{Kind: scheduler.JobRecord, Name: strings.Repeat("a", 16)}
	for _, removed := range []bool{false, true} {
		change, err := decodeJobsItem(platform.Item{Key: keyOfQuarantine(r), Removed: removed})
		var want scheduler.Change = scheduler.QuarantineRead{Record: r}
		if removed {
			want = scheduler.QuarantineLifted{Record: r}
		}
		if err != nil || change != want {
			t.Errorf("removed %v: %+v, error %v", removed, change, err)
		}
	}
	if change, err := decodeJobsItem(platform.Item{Key: quarantineKey + "job"}); err == nil {
		t.Errorf("key without a name: %+v", change)
	}
}

package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TestBatchStopsAtTheFirstBudgetThatFails guards against a budget that is
// charged although the write of an earlier budget of the batch failed, and
// against an outcome that is reported for another step.
func TestBatchStopsAtTheFirstBudgetThatFails(t *testing.T) {
	now := time.Unix(0, 0)
	store := standin.NewStore(func() time.Time { return now })
	r := control.NewMaintenanceRunner(store, func() time.Time { return now })
	a := fleet.RunSteps{Term: 1, Until: now.Add(time.Second)}
	for n, service := range []string{"a", "b", "c"} {
		// The second record does not have the expected revision.
		revision := uint64(0)
		if n == 1 {
			revision = 7
		}
		a.Steps = append(a.Steps, zone.MaintenanceStep{Kind: zone.StepBudget, Subject: service, Revision: revision, Budget: &contract.BudgetRecord{Service: service}})
	}
	for n := range 40 {
		id := fmt.Sprint(n)
		a.Steps = append(a.Steps, zone.MaintenanceStep{Kind: zone.StepAdopt, Subject: id, Instance: &machine.Instance{ID: id}})
	}
	e, _ := r.Run(context.Background(), a)
	outcomes := e.(fleet.StepsRun).Outcomes
	want := []zone.StepResult{zone.StepDone, zone.StepConflict, zone.StepFailed}
	for n, o := range outcomes {
		result := zone.StepDone
		if n < len(want) {
			result = want[n]
		}
		if o.Step.Subject != a.Steps[n].Subject || o.Result != result {
			t.Errorf("step %d (%s): %s of %s", n, a.Steps[n].Subject, o.Result, o.Step.Subject)
		}
	}
}

// TestStepsExpireWithTheLease guards against a step that starts after the
// planner's lease has expired.
func TestStepsExpireWithTheLease(t *testing.T) {
	now := time.Unix(0, 0)
	store := standin.NewStore(func() time.Time { return now })
	r := control.NewMaintenanceRunner(store, func() time.Time { return now })
	o := r.RunStep(context.Background(), zone.MaintenanceStep{Subject: "i", Instance: &machine.Instance{ID: "i"}}, now)
	if o.Result != zone.StepExpired || store.Calls().Writes != 0 {
		t.Errorf("result %s, %d writes", o.Result, store.Calls().Writes)
	}
}

// TestCommandIsNotSentForAChangedRecord guards against a command that is sent
// although the instance's record has changed since the command was derived from
// it.
func TestCommandIsNotSentForAChangedRecord(t *testing.T) {
	now := time.Unix(0, 0)
	store := standin.NewStore(func() time.Time { return now })
	store.AddMachines([]platform.Machine{{ID: "i", State: "serving", Healthy: true}})
	r := control.NewMaintenanceRunner(store, func() time.Time { return now })
	version, err := store.Swap(context.Background(), control.InstancePrefix+"i", 0, []byte("{}"), 0)
	if err != nil {
		t.Fatal(err)
	}
	command := machine.Command{Kind: machine.CommandDrain, Instance: "i", Operation: 2}
	for _, c := range []struct {
		revision  uint64
		result    zone.StepResult
		operation uint64
	}{
		{uint64(version) + 1, zone.StepConflict, 0},
		{uint64(version), zone.StepDone, 2},
	} {
		o := r.RunStep(context.Background(), zone.MaintenanceStep{Kind: zone.StepCommand, Subject: "i", Revision: c.revision, Command: &command}, now.Add(time.Second))
		if accepted := store.CurrentMachines()[0].Operation; o.Result != c.result || accepted != c.operation {
			t.Errorf("revision %d: %s, operation %d accepted", c.revision, o.Result, accepted)
		}
	}
}

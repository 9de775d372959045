package control_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/proptest"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// stoppedClockStore returns a stand-in store with a stopped clock, so that no
// lease expires.
func stoppedClockStore() *standin.Store {
	return standin.NewStore(func() time.Time { return time.Unix(1000, 0) })
}

// noDelayCommitter returns a committer that retries without a delay.
func noDelayCommitter(s platform.Store) *control.Committer {
	c := control.NewCommitter(s)
	c.SetSleep(noSleep)
	return c
}

func noSleep(context.Context, time.Duration) bool { return true }

func teamChange(id string, base uint64, name string, limit int) contract.Change {
	return contract.Change{ID: id, Author: "operator", Base: base, Object: contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: name},
		Team: &contract.Team{Name: name, UpperLimit: limit, Share: 1},
	}}
}

func mustCommit(t errorReporter, c *control.Committer, change contract.Change) control.ChangeOutcome {
	outcome, err := c.Commit(context.Background(), change)
	if err != nil {
		t.Errorf("%s: %v", change.ID, err)
	}
	return outcome
}

// errorReporter is the part of testing.T and rapid.T that the helpers use.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// TestRacingOperatorsGetOneConflict guards against two concurrent changes to
// the same revision of an object that are both accepted, so that one overwrites
// the other.
func TestRacingOperatorsGetOneConflict(t *testing.T) {
	store := stoppedClockStore()
	for round := range 20 {
		name := fmt.Sprintf("team-%d", round)
		results := make([]contract.ChangeResult, 2)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() {
				c := teamChange(fmt.Sprintf("%s-%d", name, i), 0, name, i+1)
				results[i] = mustCommit(t, noDelayCommitter(store), c).Result
			})
		}
		group.Wait()
		if results[0] == results[1] || results[0] != contract.ChangeAccepted && results[1] != contract.ChangeAccepted {
			t.Errorf("round %d: %v", round, results)
		}
	}
}

// TestLostAnswersAreResolved guards against a change that is committed twice,
// rejected as a conflict with its own earlier attempt, or reported as accepted
// although its write was lost.
func TestLostAnswersAreResolved(t *testing.T) {
	proptest.Check(t, 3, func(t *rapid.T) {
		store := stoppedClockStore()
		committer := noDelayCommitter(store)
		accepted := uint64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			faults := standin.StoreFaults{
				LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lost answers"),
				LoseWrites:  rapid.IntRange(0, 3).Draw(t, "lost writes"),
			}
			store.SetStoreFaults(faults)
			outcome := mustCommit(t, committer, teamChange(fmt.Sprintf("c%d", i), accepted, "depots", i))
			if outcome.Result != contract.ChangeAccepted || outcome.Revision != accepted+1 {
				t.Fatalf("change %d: %s at revision %d: %s", i, outcome.Result, outcome.Revision, outcome.Reason)
			}
			accepted = outcome.Revision
		}
	})
}

// TestOutcomeIsUnknownAfterRingOverflow guards against a committed change that
// is reported as a conflict: its answer is lost, and so many other changes
// follow that the ring no longer contains it.
func TestOutcomeIsUnknownAfterRingOverflow(t *testing.T) {
	store := stoppedClockStore()
	other := noDelayCommitter(store)
	store.SetStoreFaults(standin.StoreFaults{LoseAnswers: 1})
	committer := noDelayCommitter(store)
	committer.SetSleep(func(context.Context, time.Duration) bool {
		for i := range contract.RingSize + 1 {
			mustCommit(t, other, teamChange(fmt.Sprintf("o%d", i), 0, fmt.Sprintf("other-%d", i), 1))
		}
		committer.SetSleep(noSleep)
		return true
	})
	if _, err := committer.Commit(t.Context(), teamChange("c", 0, "depots", 1)); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("error %v", err)
	}
}

// TestRefusedWritesAreNotAccepted guards against a change that is reported as
// accepted or unknown although an outage prevented every write.
func TestRefusedWritesAreNotAccepted(t *testing.T) {
	store := stoppedClockStore()
	store.SetStoreFaults(standin.StoreFaults{Outage: true})
	if _, err := noDelayCommitter(store).Commit(t.Context(), teamChange("c", 0, "depots", 1)); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// interleavedPlatform is a platform that runs beforeRead at the start of each Get
// and List.
type interleavedPlatform struct {
	platform.Platform
	beforeRead func()
}

func (s interleavedPlatform) Get(ctx context.Context, key string) (platform.Record, error) {
	s.beforeRead()
	return s.Platform.Get(ctx, key)
}

func (s interleavedPlatform) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	s.beforeRead()
	return s.Platform.List(ctx, prefix)
}

// TestLoadDuringCommitsDoesNotRevert guards against a load that runs while
// others commit and combines objects and heads of different revisions into an
// old configuration. After each load every object must be at least as new as
// the revision that the process reports.
func TestLoadDuringCommitsDoesNotRevert(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	proptest.Check(t, 4, func(t *rapid.T) {
		store := stoppedClockStore()
		writer := noDelayCommitter(store)
		committed := contract.NewRegister()
		history := map[uint64]contract.Object{}
		write := func() {
			for range rapid.IntRange(0, 12).Draw(t, "writes") {
				name := fmt.Sprintf("team-%d", rapid.IntRange(0, 5).Draw(t, "team"))
				known, _ := committed.Get(contract.Ref{Kind: contract.KindTeam, Name: name})
				outcome := mustCommit(t, writer, teamChange(fmt.Sprint(committed.Revision()), known.Revision, name, int(committed.Revision())))
				committed.ApplyHead(outcome.Head)
				o, _ := committed.Get(contract.Ref{Kind: contract.KindTeam, Name: name})
				history[committed.Revision()] = o
			}
		}
		runner := control.NewPlatformRunner(interleavedPlatform{store, write}, logrus.NewEntry(log), time.Now)
		f := fleet.New(fleet.Options{})
		snapshot := f.TakeSnapshot()
		for range rapid.IntRange(1, 6).Draw(t, "loads") {
			loaded := runner.Run(context.Background(), fleet.LoadConfig{})
			before := snapshot.Revision
			loaded.Apply(f, time.Unix(1000, 0))
			if next := f.TakeSnapshot(); next != nil {
				snapshot = next
			}
			if snapshot.Revision < before || snapshot.Revision > committed.Revision() {
				t.Fatalf("loaded revision %d, previous revision %d, head revision %d", snapshot.Revision, before, committed.Revision())
			}
			checkObjects(t, snapshot, history)
		}
	})
}

// checkObjects checks that a snapshot contains every change up to its revision.
func checkObjects(t *rapid.T, snapshot *fleet.Snapshot, history map[uint64]contract.Object) {
	for revision := uint64(1); revision <= snapshot.Revision; revision++ {
		want := history[revision]
		got, ok := contract.Find(snapshot.Objects(contract.KindTeam), want.Ref.Name)
		if !ok || got.Revision < want.Revision {
			t.Fatalf("snapshot at revision %d has %s at revision %d, want at least %d", snapshot.Revision, want.Ref, got.Revision, want.Revision)
		}
		if got.Team.UpperLimit != history[got.Revision].Team.UpperLimit {
			t.Fatalf("%s at revision %d differs from the committed value", want.Ref, got.Revision)
		}
	}
}

// TestCommitUsesTheRegister guards against a commit that reads all objects from
// the platform, which costs one read per object at the target size, although the
// process's register is at the head's revision. It also guards against a register
// that accepts a stale change.
func TestCommitUsesTheRegister(t *testing.T) {
	store := stoppedClockStore()
	register := contract.NewRegister()
	check := func(_ context.Context, head contract.Head, c contract.Change) (fleet.ChangeChecked, error) {
		register.ApplyHead(head)
		result, err := register.Validate(c)
		return fleet.ChangeChecked{AtHead: true, Result: result, Err: err}, nil
	}
	lists := 0
	counted := countingLists{store, &lists}
	committer := control.NewCheckedCommitter(counted, check)
	for i := range 2 * contract.RingSize {
		mustCommit(t, committer, teamChange(fmt.Sprint(i), 0, fmt.Sprintf("team-%d", i), 1))
	}
	if lists != 0 {
		t.Errorf("commits listed all objects %d times, want 0", lists)
	}
	outcome := mustCommit(t, committer, teamChange("late", 0, "team-0", 2))
	if outcome.Result != contract.ChangeConflict {
		t.Errorf("change from an old revision: %s", outcome.Result)
	}
}

// countingLists counts the calls of List.
type countingLists struct {
	platform.Store
	lists *int
}

func (s countingLists) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	*s.lists++
	return s.Store.List(ctx, prefix)
}

// TestDeletedObjectCanBeCreatedAgain guards against a name that cannot be used
// again after its object was deleted, and against a delete from an old revision
// that is accepted.
func TestDeletedObjectCanBeCreatedAgain(t *testing.T) {
	committer := noDelayCommitter(stoppedClockStore())
	mustCommit(t, committer, teamChange("create", 0, "depots", 1))
	mustCommit(t, committer, teamChange("edit", 1, "depots", 2))
	remove := teamChange("remove", 1, "depots", 0)
	remove.Object.Deleted, remove.Object.Team = true, nil
	if outcome := mustCommit(t, committer, remove); outcome.Result != contract.ChangeConflict {
		t.Errorf("delete from an old revision: %s", outcome.Result)
	}
	remove.Base = 2
	mustCommit(t, committer, remove)
	if outcome := mustCommit(t, committer, teamChange("again", 0, "depots", 3)); outcome.Result != contract.ChangeAccepted {
		t.Errorf("create after a delete: %s %s", outcome.Result, outcome.Reason)
	}
	if outcome := mustCommit(t, committer, teamChange("third", 0, "depots", 4)); outcome.Result != contract.ChangeConflict {
		t.Errorf("create of an existing object: %s", outcome.Result)
	}
}

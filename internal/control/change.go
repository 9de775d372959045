package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// ChangeOutcome is the outcome of an operator's change.
type ChangeOutcome struct {
	Result contract.ChangeResult
	// Revision is set when the change was accepted.
	Revision uint64
	// Reason explains the result unless the change was accepted.
	Reason string
	// Head is the committed head when the change was accepted.
	Head contract.Head
}

// Number of attempts to commit one change, and the delay between them. An
// attempt fails when another change is committed first or during an outage.
const (
	maxChangeAttempts = 8
	changeRetryDelay  = 50 * time.Millisecond
)

// Checker validates a change against the register of this process. The result's
// AtHead is false when the register is not at the revision of head; the change
// was not validated then.
type Checker func(ctx context.Context, head contract.Head, c contract.Change) (fleet.ChangeChecked, error)

// Committer commits configuration changes through the platform.
type Committer struct {
	store platform.Store
	check Checker
	// sleepFunc blocks between two attempts and returns false when ctx has ended.
	sleepFunc func(ctx context.Context, d time.Duration) bool
}

// NewCommitter returns a committer that writes to s. It reads all objects from
// s to validate each change.
func NewCommitter(s platform.Store) *Committer { return NewCheckedCommitter(s, nil) }

// NewCheckedCommitter returns a committer that validates changes with check. It
// reads all objects only when the process's register is not at the revision of
// the head.
func NewCheckedCommitter(s platform.Store, check Checker) *Committer {
	return &Committer{store: s, check: check, sleepFunc: sleep}
}

// NewLoopChecker returns a Checker that lets the control thread l validate
// changes.
func NewLoopChecker(l *Loop) Checker {
	return func(ctx context.Context, head contract.Head, c contract.Change) (fleet.ChangeChecked, error) {
		return Ask(ctx, l, func(reply chan<- fleet.ChangeChecked) fleet.Event {
			return fleet.CheckChange{Head: head, Change: c, Reply: reply}
		})
	}
}

// commitState is the state of one change across attempts.
type commitState struct {
	change contract.Change
	// uncertainRevision is the revision that the change has if the last write
	// whose answer was lost took effect. It is 0 when no answer was lost.
	uncertainRevision uint64
}

// Commit validates and commits one change. It returns platform.ErrUnavailable
// when the change has not taken effect, and platform.ErrOutcomeUnknown when it may
// have.
func (c *Committer) Commit(ctx context.Context, change contract.Change) (ChangeOutcome, error) {
	state := commitState{change: change}
	var lastErr error
	for range maxChangeAttempts {
		outcome, err := c.attempt(ctx, &state)
		if err == nil {
			return outcome, nil
		}
		lastErr = err
		if !c.sleepFunc(ctx, changeRetryDelay) {
			break
		}
	}
	if state.uncertainRevision != 0 {
		return ChangeOutcome{}, errors.Wrap(platform.ErrOutcomeUnknown, lastErr.Error())
	}
	return ChangeOutcome{}, errors.Wrap(platform.ErrUnavailable, lastErr.Error())
}

// attempt reads the head, returns the outcome of an earlier attempt that took
// effect, and otherwise tries to commit the change. The caller retries after an
// error.
func (c *Committer) attempt(ctx context.Context, state *commitState) (ChangeOutcome, error) {
	head, version, err := ReadHead(ctx, c.store)
	if err != nil {
		return ChangeOutcome{}, err
	}
	if done, ok := head.Find(state.change.ID); ok {
		return accepted(done, head), nil
	}
	if state.uncertainRevision != 0 && state.uncertainRevision < head.Oldest() {
		// The ring no longer contains this revision, so it does not show which
		// change was committed as it.
		return ChangeOutcome{}, errors.Wrap(platform.ErrOutcomeUnknown, "the ring of recent changes no longer contains the change's revision")
	}
	result, err := c.validate(ctx, head, state.change)
	if err != nil {
		return ChangeOutcome{}, err
	}
	if result.Result != contract.ChangeAccepted {
		return rejected(result.Result, state.change, result.Err), nil
	}
	if head, err = c.flush(ctx, head); err != nil {
		return ChangeOutcome{}, err
	}
	return c.swapHead(ctx, head, version, state)
}

// validate checks the change with the committer's Checker. Without one, or when
// the register of this process is not at the head's revision, it validates
// against the objects in the platform.
func (c *Committer) validate(ctx context.Context, head contract.Head, change contract.Change) (fleet.ChangeChecked, error) {
	if c.check != nil {
		checked, err := c.check(ctx, head, change)
		if err != nil || checked.AtHead {
			return checked, err
		}
	}
	objects, err := readObjects(ctx, c.store)
	if err != nil {
		return fleet.ChangeChecked{}, err
	}
	register := contract.NewRegister()
	register.Load(head.Flushed, objects)
	register.ApplyHead(head)
	result, err := register.Validate(change)
	return fleet.ChangeChecked{AtHead: true, Result: result, Err: err}, nil
}

// flush stores the object of the oldest change under its own key when the next
// commit drops that change from the ring. It returns the head with Flushed
// updated.
func (c *Committer) flush(ctx context.Context, head contract.Head) (contract.Head, error) {
	if len(head.Changes) < contract.RingSize {
		return head, nil
	}
	oldest := head.Changes[0].Object
	if oldest.Revision <= head.Flushed {
		return head, nil
	}
	if err := c.writeObject(ctx, oldest); err != nil {
		return head, err
	}
	head.Flushed = oldest.Revision
	return head, nil
}

// writeObject stores an object unless the same or a higher revision is stored
// already.
func (c *Committer) writeObject(ctx context.Context, object contract.Object) error {
	key := ObjectPrefix + object.Ref.String()
	record, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		var stored contract.Object
		if err := json.Unmarshal(record.Value, &stored); err != nil {
			return errors.Wrapf(err, "decode %s", key)
		}
		if stored.Revision >= object.Revision {
			return nil
		}
	}
	value, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	_, err = c.store.Swap(ctx, key, record.Version, value, 0)
	return err
}

func (c *Committer) swapHead(ctx context.Context, head contract.Head, version platform.Version, state *commitState) (ChangeOutcome, error) {
	next := head.Append(state.change)
	value, err := json.Marshal(next)
	if err != nil {
		return ChangeOutcome{}, errors.Wrap(err, "encode head")
	}
	if _, err := c.store.Swap(ctx, HeadKey, version, value, 0); err != nil {
		if errors.Is(err, platform.ErrOutcomeUnknown) {
			state.uncertainRevision = next.Revision
		}
		return ChangeOutcome{}, err
	}
	return accepted(next.Changes[len(next.Changes)-1], next), nil
}

func accepted(c contract.Change, head contract.Head) ChangeOutcome {
	return ChangeOutcome{Result: contract.ChangeAccepted, Revision: c.Object.Revision, Head: head}
}

func rejected(result contract.ChangeResult, c contract.Change, err error) ChangeOutcome {
	reason := c.Object.Ref.String() + " was changed since it was read"
	if err != nil {
		reason = err.Error()
	}
	return ChangeOutcome{Result: result, Reason: reason}
}

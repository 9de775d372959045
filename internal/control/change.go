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

// ChangeOutcome is the answer to an operator's change.
type ChangeOutcome struct {
	Result contract.ChangeResult
	// Revision is set when the change was accepted.
	Revision uint64
	// Reason explains every result but "accepted".
	Reason string
	// Head is the committed head when the change was accepted.
	Head contract.Head
}

// Attempts and pause of a change that races with others or meets an outage.
const (
	changeAttempts = 8
	changePause    = 50 * time.Millisecond
)

// Checker validates a change against the register of this process. Known is
// false when the register is not at the revision of the head.
type Checker func(ctx context.Context, head contract.Head, c contract.Change) (fleet.ChangeChecked, error)

// Committer commits configuration changes through the platform.
type Committer struct {
	store platform.Store
	check Checker
	// wait pauses between two attempts; false means that the context ended.
	wait func(ctx context.Context, d time.Duration) bool
}

// NewCommitter returns a committer that writes to s and reads all objects for
// each change.
func NewCommitter(s platform.Store) *Committer { return NewCheckedCommitter(s, nil) }

// NewCheckedCommitter returns a committer that validates with check, and reads
// all objects only when the process lacks a revision.
func NewCheckedCommitter(s platform.Store, check Checker) *Committer {
	return &Committer{store: s, check: check, wait: pause}
}

// CheckWith returns a Checker that asks the control thread.
func CheckWith(l *Loop) Checker {
	return func(ctx context.Context, head contract.Head, c contract.Change) (fleet.ChangeChecked, error) {
		return Ask(ctx, l, func(reply chan<- fleet.ChangeChecked) fleet.Event {
			return fleet.CheckChange{Head: head, Change: c, Reply: reply}
		})
	}
}

// commit is the state of one change across attempts.
type commit struct {
	change contract.Change
	// maybeAt is the revision that the change got if a write whose answer was
	// lost took effect, 0 when no such write was sent.
	maybeAt uint64
}

// Commit validates and commits one change. It returns ErrUnavailable when the
// change is known not to have taken effect and ErrUnknown when that could not
// be found out.
func (c *Committer) Commit(ctx context.Context, change contract.Change) (ChangeOutcome, error) {
	state := commit{change: change}
	var last error
	for range changeAttempts {
		outcome, err := c.attempt(ctx, &state)
		if err == nil {
			return outcome, nil
		}
		last = err
		if !c.wait(ctx, changePause) {
			break
		}
	}
	if state.maybeAt != 0 {
		return ChangeOutcome{}, errors.Wrap(platform.ErrUnknown, last.Error())
	}
	return ChangeOutcome{}, errors.Wrap(platform.ErrUnavailable, last.Error())
}

// attempt reads the head, finds out whether an earlier attempt took effect, and
// otherwise tries to commit. An error means: try again.
func (c *Committer) attempt(ctx context.Context, state *commit) (ChangeOutcome, error) {
	head, version, err := ReadHead(ctx, c.store)
	if err != nil {
		return ChangeOutcome{}, err
	}
	if done, ok := head.Find(state.change.ID); ok {
		return accepted(done, head), nil
	}
	if state.maybeAt != 0 && state.maybeAt < head.Oldest() {
		// The ring has moved on, so it does not tell whose change got the
		// revision.
		return ChangeOutcome{}, errors.Wrap(platform.ErrUnknown, "the change has left the ring of recent changes")
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
	return c.swap(ctx, head, version, state)
}

// validate asks the control thread, and falls back to the platform's objects
// when the register of this process is not at the head's revision.
func (c *Committer) validate(ctx context.Context, head contract.Head, change contract.Change) (fleet.ChangeChecked, error) {
	if c.check != nil {
		checked, err := c.check(ctx, head, change)
		if err != nil || checked.Known {
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
	return fleet.ChangeChecked{Known: true, Result: result, Err: err}, nil
}

// flush writes out the changes that the next commit pushes off the ring.
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

// writeObject stores an object unless a higher revision is stored already.
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

func (c *Committer) swap(ctx context.Context, head contract.Head, version platform.Version, state *commit) (ChangeOutcome, error) {
	next := head.Append(state.change)
	value, err := json.Marshal(next)
	if err != nil {
		return ChangeOutcome{}, errors.Wrap(err, "encode head")
	}
	if _, err := c.store.Swap(ctx, HeadKey, version, value, 0); err != nil {
		if errors.Is(err, platform.ErrUnknown) {
			state.maybeAt = next.Revision
		}
		return ChangeOutcome{}, err
	}
	return accepted(next.Changes[len(next.Changes)-1], next), nil
}

func accepted(c contract.Change, head contract.Head) ChangeOutcome {
	return ChangeOutcome{Result: contract.ChangeAccepted, Revision: c.Object.Revision, Head: head}
}

func rejected(result contract.ChangeResult, c contract.Change, err error) ChangeOutcome {
	reason := c.Object.Ref.String() + " was changed by someone else since it was read"
	if err != nil {
		reason = err.Error()
	}
	return ChangeOutcome{Result: result, Reason: reason}
}

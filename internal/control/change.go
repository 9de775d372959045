package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
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

// Committer commits configuration changes through the platform.
type Committer struct{ store platform.Store }

// NewCommitter returns a committer that writes to s.
func NewCommitter(s platform.Store) *Committer { return &Committer{store: s} }

// Commit validates and commits one change. It returns ErrUnavailable when the
// change is known not to have taken effect and ErrUnknown when that could not
// be found out.
func (c *Committer) Commit(ctx context.Context, change contract.Change) (ChangeOutcome, error) {
	maybeWritten := false
	var last error
	for range changeAttempts {
		outcome, err := c.attempt(ctx, change)
		if err == nil {
			return outcome, nil
		}
		last = err
		maybeWritten = maybeWritten || errors.Is(err, platform.ErrUnknown)
		if !pause(ctx, changePause) {
			break
		}
	}
	if maybeWritten {
		return ChangeOutcome{}, errors.Wrap(platform.ErrUnknown, last.Error())
	}
	return ChangeOutcome{}, errors.Wrap(platform.ErrUnavailable, last.Error())
}

// attempt reads the configuration, finds out whether an earlier attempt took
// effect, and otherwise tries to commit. An error means: try again.
func (c *Committer) attempt(ctx context.Context, change contract.Change) (ChangeOutcome, error) {
	head, version, err := ReadHead(ctx, c.store)
	if err != nil {
		return ChangeOutcome{}, err
	}
	if done, ok := head.Find(change.ID); ok {
		return accepted(done, head), nil
	}
	register, err := c.register(ctx, head)
	if err != nil {
		return ChangeOutcome{}, err
	}
	if result, err := register.Validate(change); result != contract.ChangeAccepted {
		return rejected(result, change, err), nil
	}
	if head, err = c.flush(ctx, head); err != nil {
		return ChangeOutcome{}, err
	}
	return c.swap(ctx, head, version, change)
}

// register rebuilds the configuration at the revision of head.
func (c *Committer) register(ctx context.Context, head contract.Head) (*contract.Register, error) {
	records, err := c.store.List(ctx, ObjectPrefix)
	if err != nil {
		return nil, err
	}
	objects := make([]contract.Object, 0, len(records))
	for _, record := range records {
		var object contract.Object
		if err := json.Unmarshal(record.Value, &object); err != nil {
			return nil, errors.Wrapf(err, "decode %s", record.Key)
		}
		objects = append(objects, object)
	}
	register := contract.NewRegister()
	register.Load(head.Flushed, objects)
	register.ApplyHead(head)
	return register, nil
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

func (c *Committer) swap(ctx context.Context, head contract.Head, version platform.Version, change contract.Change) (ChangeOutcome, error) {
	next := head.Append(change)
	value, err := json.Marshal(next)
	if err != nil {
		return ChangeOutcome{}, errors.Wrap(err, "encode head")
	}
	if _, err := c.store.Swap(ctx, HeadKey, version, value, 0); err != nil {
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

package control

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// ErrOrderRefused is wrapped by errors about operators' orders that were
// refused and had no effect.
var ErrOrderRefused = errors.New("order refused")

// Orders stores operators' orders in the platform, where they survive a change
// of the planner, and reads the maintenance records for operators. It needs no
// planner lease, so every entry instance can serve operators.
type Orders struct {
	store platform.Store
	clock func() time.Time
}

// NewOrders returns an Orders that reads and writes records in s.
func NewOrders(s platform.Store, clock func() time.Time) *Orders {
	return &Orders{store: s, clock: clock}
}

// Move orders the move of an instance to a pool. It returns an error that wraps
// ErrOrderRefused when the instance does not exist or another move of it is
// ordered.
func (o *Orders) Move(ctx context.Context, instance, pool, author string) (machine.MoveOrder, error) {
	order := machine.MoveOrder{Instance: instance, Pool: pool, Author: author, At: o.clock().UTC()}
	if _, err := o.store.Get(ctx, InstancePrefix+instance); err != nil {
		if errors.Is(err, platform.ErrNotFound) {
			return order, errors.Wrap(ErrOrderRefused, "no instance "+instance)
		}
		return order, err
	}
	err := o.putOrder(ctx, MovePrefix+instance, 0, order)
	if errors.Is(err, platform.ErrConflict) {
		return order, errors.Wrap(ErrOrderRefused, "another move of "+instance+" has been ordered")
	}
	return order, err
}

// StartWave orders a wave. It returns an error that wraps ErrOrderRefused when a
// wave with this name exists.
func (o *Orders) StartWave(ctx context.Context, w machine.Wave) (machine.Wave, error) {
	w.State, w.Started, w.Finished = machine.WaveRunning, o.clock().UTC(), time.Time{}
	err := o.putOrder(ctx, WavePrefix+w.Name, 0, w)
	if errors.Is(err, platform.ErrConflict) {
		return w, errors.Wrap(ErrOrderRefused, "a wave "+w.Name+" exists already")
	}
	return w, err
}

// PauseWave stops a running wave from draining further instances.
func (o *Orders) PauseWave(ctx context.Context, name string) (machine.Wave, error) {
	return o.changeWave(ctx, name, machine.Wave.Pause, machine.WavePaused)
}

// ResumeWave continues a paused wave.
func (o *Orders) ResumeWave(ctx context.Context, name string) (machine.Wave, error) {
	return o.changeWave(ctx, name, machine.Wave.Resume, machine.WaveRunning)
}

func (o *Orders) changeWave(ctx context.Context, name string, change func(machine.Wave) machine.Wave, want machine.WaveState) (machine.Wave, error) {
	var w machine.Wave
	record, err := o.store.Get(ctx, WavePrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return w, errors.Wrap(ErrOrderRefused, "no wave "+name)
	}
	if err != nil {
		return w, err
	}
	if err := json.Unmarshal(record.Value, &w); err != nil {
		return w, errors.Wrap(err, "decode wave")
	}
	next := change(w)
	if next.State != want {
		return w, errors.Wrapf(ErrOrderRefused, "wave %s is %s", name, w.State)
	}
	err = o.putOrder(ctx, WavePrefix+name, record.Version, next)
	if errors.Is(err, platform.ErrConflict) {
		return w, errors.Wrap(ErrOrderRefused, "wave "+name+" was changed at the same time")
	}
	return next, err
}

// putOrder writes an order and notifies the planner. After a lost answer it
// reads the record to find out whether the order took effect.
func (o *Orders) putOrder(ctx context.Context, key string, expect platform.Version, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = o.store.Swap(ctx, key, expect, data, 0)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		record, readErr := o.store.Get(ctx, key)
		if readErr != nil || !bytes.Equal(record.Value, data) {
			return err
		}
		err = nil
	}
	if err != nil {
		return err
	}
	o.notifyPlanner(ctx)
	return nil
}

// notifyPlanner changes the key that the planner watches. A failure only delays
// the order: the planner also reads all orders after orderWatchWait without a
// change.
func (o *Orders) notifyPlanner(ctx context.Context) {
	record, err := o.store.Get(ctx, OrderHeadKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	_, _ = o.store.Swap(ctx, OrderHeadKey, record.Version, []byte("{}"), 0)
}

// Instances returns the maintenance records of all instances, ordered by id.
func (o *Orders) Instances(ctx context.Context) ([]machine.Instance, error) {
	return ReadInstances(ctx, o.store)
}

// Budgets returns all budget records, ordered by service.
func (o *Orders) Budgets(ctx context.Context) ([]contract.BudgetRecord, error) {
	return ReadBudgets(ctx, o.store)
}

// Waves returns all waves, ordered by name.
func (o *Orders) Waves(ctx context.Context) ([]machine.Wave, error) {
	waves, _, err := ReadOrders(ctx, o.store)
	return waves, err
}

// Moves returns the ordered moves that have not finished.
func (o *Orders) Moves(ctx context.Context) ([]machine.MoveOrder, error) {
	_, moves, err := ReadOrders(ctx, o.store)
	return moves, err
}

// Status returns the planner's last report, an empty one when there is none.
func (o *Orders) Status(ctx context.Context) (fleet.PlannerStatus, error) {
	var status fleet.PlannerStatus
	record, err := o.store.Get(ctx, PlannerStatusKey)
	if errors.Is(err, platform.ErrNotFound) {
		return status, nil
	}
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(record.Value, &status); err != nil {
		return status, errors.Wrap(err, "decode planner status")
	}
	return status, nil
}

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

// ErrRefused is wrapped by the refusals of an operator's order. The order had
// no effect.
var ErrRefused = errors.New("order refused")

// Orders writes operators' orders into the platform, where they last, and reads
// the records of maintenance for operators. It works in every entry instance.
type Orders struct {
	store platform.Store
	clock func() time.Time
}

// NewOrders returns orders that are kept in s.
func NewOrders(s platform.Store, clock func() time.Time) *Orders {
	return &Orders{store: s, clock: clock}
}

// Move orders the move of an instance. Of two operators who race, one is told
// of the other's order.
func (o *Orders) Move(ctx context.Context, instance, pool, author string) (machine.MoveOrder, error) {
	order := machine.MoveOrder{Instance: instance, Pool: pool, Author: author, At: o.clock().UTC()}
	if _, err := o.store.Get(ctx, InstancePrefix+instance); err != nil {
		if errors.Is(err, platform.ErrNotFound) {
			return order, errors.Wrap(ErrRefused, "no instance "+instance)
		}
		return order, err
	}
	err := o.put(ctx, MovePrefix+instance, 0, order)
	if errors.Is(err, platform.ErrConflict) {
		return order, errors.Wrap(ErrRefused, "another move of "+instance+" is ordered already")
	}
	return order, err
}

// StartWave orders a wave. The name must be new.
func (o *Orders) StartWave(ctx context.Context, w machine.Wave) (machine.Wave, error) {
	w.State, w.Started, w.Finished = machine.WaveRunning, o.clock().UTC(), time.Time{}
	err := o.put(ctx, WavePrefix+w.Name, 0, w)
	if errors.Is(err, platform.ErrConflict) {
		return w, errors.Wrap(ErrRefused, "a wave "+w.Name+" exists already")
	}
	return w, err
}

// PauseWave stops a wave from taking out more instances.
func (o *Orders) PauseWave(ctx context.Context, name string) (machine.Wave, error) {
	return o.changeWave(ctx, name, machine.Wave.Pause, machine.WavePaused)
}

// ResumeWave lets a paused wave go on.
func (o *Orders) ResumeWave(ctx context.Context, name string) (machine.Wave, error) {
	return o.changeWave(ctx, name, machine.Wave.Resume, machine.WaveRunning)
}

func (o *Orders) changeWave(ctx context.Context, name string, change func(machine.Wave) machine.Wave, want machine.WaveState) (machine.Wave, error) {
	var w machine.Wave
	record, err := o.store.Get(ctx, WavePrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return w, errors.Wrap(ErrRefused, "no wave "+name)
	}
	if err != nil {
		return w, err
	}
	if err := json.Unmarshal(record.Value, &w); err != nil {
		return w, errors.Wrap(err, "decode wave")
	}
	next := change(w)
	if next.State != want {
		return w, errors.Wrapf(ErrRefused, "wave %s is %s", name, w.State)
	}
	err = o.put(ctx, WavePrefix+name, record.Version, next)
	if errors.Is(err, platform.ErrConflict) {
		return w, errors.Wrap(ErrRefused, "wave "+name+" was changed by someone else")
	}
	return next, err
}

// put writes an order and wakes the planner. After a lost answer the record
// tells whether the order took effect.
func (o *Orders) put(ctx context.Context, key string, expect platform.Version, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = o.store.Swap(ctx, key, expect, data, 0)
	if errors.Is(err, platform.ErrUnknown) {
		record, readErr := o.store.Get(ctx, key)
		if readErr != nil || !bytes.Equal(record.Value, data) {
			return err
		}
		err = nil
	}
	if err != nil {
		return err
	}
	o.wake(ctx)
	return nil
}

// wake changes the key that the planner watches. A failure costs time only: the
// planner reads the orders every ten seconds besides.
func (o *Orders) wake(ctx context.Context) {
	record, err := o.store.Get(ctx, OrderHeadKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	_, _ = o.store.Swap(ctx, OrderHeadKey, record.Version, []byte("{}"), 0)
}

// Instances returns the records of all instances, ordered by id.
func (o *Orders) Instances(ctx context.Context) ([]machine.Instance, error) {
	return ReadInstances(ctx, o.store)
}

// Budgets returns the records of all budgets, ordered by service.
func (o *Orders) Budgets(ctx context.Context) ([]contract.BudgetRecord, error) {
	return ReadBudgets(ctx, o.store)
}

// Waves returns all waves, ordered by name.
func (o *Orders) Waves(ctx context.Context) ([]machine.Wave, error) {
	waves, _, err := ReadOrders(ctx, o.store)
	return waves, err
}

// Moves returns the moves that are ordered and not finished.
func (o *Orders) Moves(ctx context.Context) ([]machine.MoveOrder, error) {
	_, moves, err := ReadOrders(ctx, o.store)
	return moves, err
}

// Status returns what the planner reported last.
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
		return status, errors.Wrap(err, "decode status")
	}
	return status, nil
}

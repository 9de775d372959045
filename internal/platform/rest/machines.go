package rest

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Paths of the calls about machines.
const (
	PathWatchMachines = "/v1/machines/watch"
	PathDrain         = "/v1/machines/drain"
	PathReboot        = "/v1/machines/reboot"
	PathFill          = "/v1/machines/fill"
)

// WatchMachines implements platform.Machines.
func (c *Client) WatchMachines(ctx context.Context, lastVersion uint64, wait time.Duration) (platform.MachineList, error) {
	response, err := c.call(ctx, PathWatchMachines, Request{After: lastVersion, WaitMS: wait.Milliseconds()})
	if err != nil {
		return platform.MachineList{}, err
	}
	if response.Machines == nil {
		return platform.MachineList{}, errors.Wrap(platform.ErrOutcomeUnknown, "response without machines")
	}
	return *response.Machines, nil
}

// Drain implements platform.Machines.
func (c *Client) Drain(ctx context.Context, id string, operation uint64) error {
	_, err := c.call(ctx, PathDrain, Request{Machine: id, Operation: operation})
	return err
}

// Reboot implements platform.Machines.
func (c *Client) Reboot(ctx context.Context, id string, operation uint64) error {
	_, err := c.call(ctx, PathReboot, Request{Machine: id, Operation: operation})
	return err
}

// Fill implements platform.Machines.
func (c *Client) Fill(ctx context.Context, id, pool string, operation uint64) error {
	_, err := c.call(ctx, PathFill, Request{Machine: id, Pool: pool, Operation: operation})
	return err
}

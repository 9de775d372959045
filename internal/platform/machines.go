package platform

import (
	"context"
	"time"
)

// Machine is one machine of the platform's lagging list of pool members.
type Machine struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	Rack       string `json:"rack"`
	// Pool is the label that the last fill set.
	Pool string `json:"pool"`
	// State is one of serving, draining, drained, rebooting, ready, down.
	State   string `json:"state"`
	Healthy bool   `json:"healthy"`
	// Operation is the highest operation number of the commands taken.
	Operation uint64 `json:"operation"`
	// Gone is true in a list of changes for a machine that no longer exists.
	Gone bool `json:"gone,omitempty"`
}

// MachineList is a version of the list. Unless Full is set it holds only the
// machines that changed after the version that was asked for, so that a watch
// of a large fleet costs few bytes.
type MachineList struct {
	Version  uint64    `json:"version"`
	Full     bool      `json:"full"`
	Machines []Machine `json:"machines"`
}

// Machines are the platform's machines. Each command carries an operation
// number that grows for each machine: the platform ignores a command below the
// highest number that it has taken, and repeats of the same number have no
// further effect. So a command that is delayed or sent twice does no harm.
type Machines interface {
	// WatchMachines returns the changes as soon as the version differs from
	// after, or an empty list when wait has passed. After 0 asks for the full
	// list.
	WatchMachines(ctx context.Context, after uint64, wait time.Duration) (MachineList, error)
	// Drain lets the machine finish its requests and gives it no new ones.
	Drain(ctx context.Context, id string, operation uint64) error
	// Reboot restarts the machine.
	Reboot(ctx context.Context, id string, operation uint64) error
	// Fill labels the machine with a pool and puts it into service.
	Fill(ctx context.Context, id, pool string, operation uint64) error
}

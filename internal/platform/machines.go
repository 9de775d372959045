package platform

import (
	"context"
	"time"
)

// Machine is one entry of the platform's list of machines in pools. The list
// lags behind the state of the machines.
type Machine struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	Rack       string `json:"rack"`
	// Pool is the pool label that the last fill set.
	Pool string `json:"pool"`
	// State is one of serving, draining, drained, rebooting, ready, down.
	State   string `json:"state"`
	Healthy bool   `json:"healthy"`
	// Operation is the highest operation number of the commands that the machine
	// has accepted.
	Operation uint64 `json:"operation"`
	// Gone is true in a list of changes when the machine no longer exists.
	Gone bool `json:"gone,omitempty"`
}

// MachineList is one version of the list of machines. Unless Full is set, it
// holds only the machines that changed after the requested version, so that a
// watch of a large fleet transfers few bytes.
type MachineList struct {
	Version  uint64    `json:"version"`
	Full     bool      `json:"full"`
	Machines []Machine `json:"machines"`
}

// Machines is the platform's interface to the machines that run instances. Each
// command carries an operation number, which must grow with every command to
// one machine. The platform ignores a command whose number is not above the
// highest number that it has accepted for the machine, so a delayed or
// duplicate command has no effect.
type Machines interface {
	// WatchMachines returns the changes as soon as the version of the list
	// differs from lastVersion, or an empty list when wait has passed. If
	// lastVersion is 0, it returns the full list.
	WatchMachines(ctx context.Context, lastVersion uint64, wait time.Duration) (MachineList, error)
	// Drain stops new requests to the machine and lets it finish its running
	// ones.
	Drain(ctx context.Context, id string, operation uint64) error
	// Reboot restarts the machine.
	Reboot(ctx context.Context, id string, operation uint64) error
	// Fill labels the machine with a pool and puts it into service.
	Fill(ctx context.Context, id, pool string, operation uint64) error
}

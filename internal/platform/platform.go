// Package platform defines what the system needs from the platform: a key-value
// service with compare-and-swap, leases and watches, the lists of instances,
// machines and workers, and the commands to machines and workers. Package
// platform/rest implements it for one wire protocol.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueSize is the size limit of a value in the key-value service, in bytes.
const MaxValueSize = 1 << 20

// Errors of the platform.
var (
	// ErrConflict means that the compare-and-swap had no effect because the key
	// has another version than expected.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the call was refused and had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect, because its
	// answer was lost. A caller that needs the outcome must read the state again.
	ErrOutcomeUnknown = errors.New("outcome of platform call unknown")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("lease lost")
	// ErrTooLarge means that a value is larger than MaxValueSize.
	ErrTooLarge = errors.New("value too large")
)

// Version is the platform's version of a key. Zero means that the key does not
// exist. Each write of a key gets a higher version than all earlier ones, also
// after the key was deleted.
type Version uint64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Record is one key with its value and version.
type Record struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the platform's key-value service. Its methods are safe for
// concurrent use.
type Store interface {
	// Get returns a record or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Swap writes value if the key has version expect, and returns the new
	// version; otherwise it returns ErrConflict. An expect of 0 creates the key.
	// If lease is not 0, the key is deleted when that lease ends; when it has
	// ended already, Swap returns ErrLeaseLost.
	Swap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// Delete deletes the key if it has version expect. Otherwise it returns
	// ErrConflict, or ErrNotFound when the key does not exist.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns the record as soon as its version differs from lastVersion,
	// or the current record when wait has passed. A key that does not exist has
	// version 0. The value may be omitted when the version is lastVersion.
	Watch(ctx context.Context, key string, lastVersion Version, wait time.Duration) (Record, error)
	// Grant creates a lease that expires when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its ttl. It returns ErrLeaseLost when the lease
	// has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease immediately and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Instance is one entry of the platform's list of instances that answer
// requests. The list lags behind the state of the instances.
type Instance struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"datacentre"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// InstanceList is one version of the list of instances.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Instances is the platform's interface to the list of instances.
type Instances interface {
	// WatchInstances returns the list as soon as its version differs from
	// lastVersion, or the current list when wait has passed. The instances may
	// be omitted when the version is lastVersion.
	WatchInstances(ctx context.Context, lastVersion uint64, wait time.Duration) (InstanceList, error)
}

// Platform is the whole interface of the system to the platform.
type Platform interface {
	Store
	Instances
	Workers
	Machines
}

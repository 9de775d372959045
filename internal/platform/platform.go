// Package platform is the narrow interface to the platform: a key-value service
// with compare-and-swap, leases and watches, and the list of instances. Package
// platform/rest is the adapter to one wire protocol.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueSize is the largest value that the key-value service holds, in bytes.
const MaxValueSize = 1 << 20

// Errors of the platform.
var (
	// ErrConflict means that the compare-and-swap did not take effect because
	// the key had another version.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the call was refused and had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the call may have taken effect: its answer was lost.
	ErrUnknown = errors.New("outcome of platform call unknown")
	// ErrLeaseLost means that the lease has lapsed.
	ErrLeaseLost = errors.New("lease lost")
	// ErrTooLarge means that a value is larger than MaxValueSize.
	ErrTooLarge = errors.New("value too large")
)

// Version is the platform's version of a key. Zero means that the key does not
// exist. Versions of one key only grow, across deletion too.
type Version uint64

// LeaseID identifies a lease; zero means none.
type LeaseID uint64

// Record is one key with its value.
type Record struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the key-value service.
type Store interface {
	// Get returns a record or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Swap writes value when the key has version expect, and returns the new
	// version. Expect 0 creates the key. A key with a lease is deleted when the
	// lease ends.
	Swap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// Delete removes the key when it has version expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns the record as soon as its version differs from after, or
	// the current record when wait has passed. A missing key has version 0. The
	// value may be missing when the version is after.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Record, error)
	// Grant creates a lease that ends when it is not kept alive for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ErrLeaseLost when it has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Instance is one entry of the platform's lagging list of instances that answer
// requests.
type Instance struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"datacentre"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// InstanceList is a version of the list.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Directory is the platform's list of instances.
type Directory interface {
	// WatchInstances returns the list as soon as its version differs from
	// after, or the current one when wait has passed. The instances may be
	// missing when the version is after.
	WatchInstances(ctx context.Context, after uint64, wait time.Duration) (InstanceList, error)
}

// Platform is everything that the system asks of the platform.
type Platform interface {
	Store
	Directory
	Machines
}

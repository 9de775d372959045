// Package rest is the adapter to a platform that speaks HTTP and JSON. Every
// call is a POST with a JSON body. Other adapters can replace it without a
// change to a decision.
package rest

import "github.com/crocusjunction/crocusjunction/internal/platform"

// Paths of the protocol.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathSwap      = "/v1/swap"
	PathDelete    = "/v1/delete"
	PathWatch     = "/v1/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
	PathInstances = "/v1/instances/watch"
)

// Call is the request body of every path; each path reads the fields it needs.
type Call struct {
	Key    string           `json:"key,omitempty"`
	Prefix string           `json:"prefix,omitempty"`
	Expect platform.Version `json:"expect,omitempty"`
	Value  []byte           `json:"value,omitempty"`
	Lease  platform.LeaseID `json:"lease,omitempty"`
	After  uint64           `json:"after,omitempty"`
	// WaitMS and TTLMS are in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	TTLMS  int64 `json:"ttl_ms,omitempty"`
	// Machine, Pool and Operation belong to the commands to machines.
	Machine   string `json:"machine,omitempty"`
	Pool      string `json:"pool,omitempty"`
	Operation uint64 `json:"operation,omitempty"`
}

// Answer is the response body of every path.
type Answer struct {
	// Error is one of the Error constants, empty on success.
	Error     string                 `json:"error,omitempty"`
	Records   []platform.Record      `json:"records,omitempty"`
	Version   platform.Version       `json:"version,omitempty"`
	Lease     platform.LeaseID       `json:"lease,omitempty"`
	Instances *platform.InstanceList `json:"instances,omitempty"`
	Machines  *platform.MachineList  `json:"machines,omitempty"`
}

// Values of Answer.Error.
const (
	ErrorConflict    = "conflict"
	ErrorNotFound    = "not-found"
	ErrorUnavailable = "unavailable"
	ErrorLeaseLost   = "lease-lost"
	ErrorTooLarge    = "too-large"
)

// ErrorName returns the protocol name of a platform error.
func ErrorName(err error) string {
	for name, known := range errorsByName {
		if err == known {
			return name
		}
	}
	return ErrorUnavailable
}

var errorsByName = map[string]error{
	ErrorConflict:    platform.ErrConflict,
	ErrorNotFound:    platform.ErrNotFound,
	ErrorUnavailable: platform.ErrUnavailable,
	ErrorLeaseLost:   platform.ErrLeaseLost,
	ErrorTooLarge:    platform.ErrTooLarge,
}

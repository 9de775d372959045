// Package rest implements package platform's interfaces for a platform with an
// HTTP and JSON protocol. Every call is a POST with a JSON body. The package
// makes no decisions, so an adapter to another protocol can replace it.
package rest

import "github.com/crocusjunction/crocusjunction/internal/platform"

// Paths of the calls about keys, leases and instances.
const (
	PathGet            = "/v1/get"
	PathList           = "/v1/list"
	PathSwap           = "/v1/swap"
	PathDelete         = "/v1/delete"
	PathWatch          = "/v1/watch"
	PathGrant          = "/v1/lease/grant"
	PathKeepAlive      = "/v1/lease/keepalive"
	PathRevoke         = "/v1/lease/revoke"
	PathWatchInstances = "/v1/instances/watch"
)

// Request is the request body of every path; each path reads the fields it needs.
type Request struct {
	Key    string           `json:"key,omitempty"`
	Prefix string           `json:"prefix,omitempty"`
	Expect platform.Version `json:"expect,omitempty"`
	Value  []byte           `json:"value,omitempty"`
	Lease  platform.LeaseID `json:"lease,omitempty"`
	After  uint64           `json:"after,omitempty"`
	// WaitMS bounds a watch and TTLMS is the time to live of a lease, both in
	// milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	TTLMS  int64 `json:"ttl_ms,omitempty"`
	// Worker is set in calls about workers.
	Worker *WorkerRequest `json:"worker,omitempty"`
	// Machine and Operation are set in commands to machines, Pool only when the
	// command is a fill.
	Machine   string `json:"machine,omitempty"`
	Pool      string `json:"pool,omitempty"`
	Operation uint64 `json:"operation,omitempty"`
}

// Response is the response body of every path.
type Response struct {
	// Error is one of the Error constants; it is empty on success.
	Error     string                 `json:"error,omitempty"`
	Records   []platform.Record      `json:"records,omitempty"`
	Version   platform.Version       `json:"version,omitempty"`
	Lease     platform.LeaseID       `json:"lease,omitempty"`
	Instances *platform.InstanceList `json:"instances,omitempty"`
	// Worker is set in responses to calls about workers.
	Worker   *WorkerResponse       `json:"worker,omitempty"`
	Machines *platform.MachineList `json:"machines,omitempty"`
}

// Values of Response.Error.
const (
	ErrorConflict    = "conflict"
	ErrorNotFound    = "not-found"
	ErrorUnavailable = "unavailable"
	ErrorLeaseLost   = "lease-lost"
	ErrorTooLarge    = "too-large"
)

// ErrorCode returns the value of Response.Error for a platform error. An error
// that the protocol does not define becomes ErrorUnavailable.
func ErrorCode(err error) string {
	for code, platformErr := range errorsByCode {
		if err == platformErr {
			return code
		}
	}
	return ErrorUnavailable
}

var errorsByCode = map[string]error{
	ErrorConflict:    platform.ErrConflict,
	ErrorNotFound:    platform.ErrNotFound,
	ErrorUnavailable: platform.ErrUnavailable,
	ErrorLeaseLost:   platform.ErrLeaseLost,
	ErrorTooLarge:    platform.ErrTooLarge,
}

package settings

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

// Clients limit what an instance takes in of its clients. A field that is 0 has its
// default, which intake.CapacityOf derives from the machine.
type Clients struct {
	// MemoryMB is the memory of the machine for this process, in MiB. Default 184.
	MemoryMB int `json:"memory_mb,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may have open.
	// Default 4100.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// MaxConnections limits the connections of clients, MaxConnectionsPerAddress those
	// from one address. The latter have no default, because the callers behind a load
	// balancer share its address.
	MaxConnections           int `json:"max_connections,omitempty"`
	MaxConnectionsPerAddress int `json:"max_connections_per_address,omitempty"`
	// MaxRequestMemoryMB limits the memory of all requests together, in MiB.
	MaxRequestMemoryMB int `json:"max_request_memory_mb,omitempty"`
	// MinBytesPerSecond is the slowest progress of a body and of an answer.
	MinBytesPerSecond int `json:"min_bytes_per_s,omitempty"`
	// MaxHeaderBytes is the longest head of a request. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// HeaderTimeoutMS is the time in which the head of a request has to arrive, in
	// milliseconds. Default 3000.
	HeaderTimeoutMS int `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMS is the time for which callers use a connection again, in
	// milliseconds. It stays open for twice as long. Default 15000.
	IdleTimeoutMS int `json:"idle_timeout_ms,omitempty"`
}

// Intake returns the settings from which the capacity follows.
func (c Clients) Intake() intake.Settings {
	return intake.Settings{
		MemoryMB: c.MemoryMB, Descriptors: c.MaxDescriptors,
		Connections: c.MaxConnections, ConnectionsPerAddress: c.MaxConnectionsPerAddress,
		RequestMemoryMB: c.MaxRequestMemoryMB, MinBytesPerSecond: c.MinBytesPerSecond,
	}
}

// RequestLimits returns the limits of each request.
func (c Clients) RequestLimits() policy.RequestLimits {
	return policy.RequestLimits{
		BodyBytes: front.MaxBodySize, HeaderBytes: c.MaxHeaderBytes,
		HeaderTimeout: time.Duration(c.HeaderTimeoutMS) * time.Millisecond,
		IdleTimeout:   time.Duration(c.IdleTimeoutMS) * time.Millisecond,
	}
}

func (c Clients) check(errors *checker) {
	for field, value := range map[string]int{
		"clients.memory_mb": c.MemoryMB, "clients.max_descriptors": c.MaxDescriptors,
		"clients.max_connections": c.MaxConnections, "clients.max_connections_per_address": c.MaxConnectionsPerAddress,
		"clients.max_request_memory_mb": c.MaxRequestMemoryMB, "clients.min_bytes_per_s": c.MinBytesPerSecond,
		"clients.max_header_bytes": c.MaxHeaderBytes, "clients.header_timeout_ms": c.HeaderTimeoutMS, "clients.idle_timeout_ms": c.IdleTimeoutMS,
	} {
		errors.require(value >= 0, field, fmt.Sprint(value), "0 for the default or a positive number")
	}
	capacity := intake.CapacityOf(c.Intake())
	errors.require(capacity.Fits(front.MaxBodySize), "clients.memory_mb", fmt.Sprint(c.MemoryMB),
		fmt.Sprintf("enough memory for a request with a body of %d bytes", front.MaxBodySize))
}

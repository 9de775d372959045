// Package intake decides which connections and requests of clients a process takes in,
// so that no client can use up its memory or its file descriptors. It does no I/O and
// reads no clock; callers pass the time in. Its objects are not safe for concurrent use.
package intake

const (
	kib = 1 << 10
	mib = 1 << 20

	// defaultMemoryMB and defaultDescriptors apply where the settings do not state the
	// machine's limits. They are those of the smallest machine.
	defaultMemoryMB    = 184
	defaultDescriptors = 4100

	// controlMemoryMB is the memory that the process needs for everything but its
	// clients: its copy of the store and the scheduler's state at the target size. On
	// small machines, where the fleet is small, it is controlPercent of the memory; a
	// node of 184 MB has used 70 MB at most.
	controlMemoryMB = 128
	controlPercent  = 55
	// jobPercent is the part of the control memory for the jobs that every node keeps.
	jobPercent = 50
	// clientPercent is the part of the other memory that clients may use. The rest is
	// for garbage until the next collection.
	clientPercent = 66
	// connectionBytes is what one connection can use without a request: the stack of
	// its goroutine, two buffers of 4 KiB, and what the kernel holds of it unread.
	connectionBytes = 40 * kib

	// reservedDescriptors are left for files (200), 1,200 workers, the connections of
	// other nodes, and the store and operators. If the process has less than twice as
	// many, half of its descriptors are left.
	reservedDescriptors = 2000
	// peerConnections are those of other nodes: one of each, or two while it restarts.
	peerConnections = 512

	// readinessConnections and metricsConnections are far above what a load balancer
	// and its operators open.
	readinessConnections = 64
	metricsConnections   = 16
	// otherRequestBytes is the memory of requests for readiness and metrics. It is apart
	// from that of the callers' requests, so that a node whose memory they fill still
	// answers health checks. A head takes 2 to 4 KB of it.
	otherRequestBytes = 4 * mib

	// minBytesPerSecond is the slowest progress of a body. The slowest link transfers 20
	// times as much.
	minBytesPerSecond = 64 * kib
)

// Settings are the limits of a process that operators may set. A limit of 0 has its
// default, which CapacityOf derives from the machine.
type Settings struct {
	// MemoryMB and Descriptors are the machine's limits for the process.
	MemoryMB, Descriptors int
	// Connections limits the callers' connections, ConnectionsPerAddress those from one
	// address; by default an address has no limit, because the callers that come
	// through a load balancer share its address.
	Connections, ConnectionsPerAddress int
	// ReadinessConnections and MetricsConnections limit the connections to those
	// servers.
	ReadinessConnections, MetricsConnections int
	// RequestMemoryMB limits the memory of all callers' requests together.
	RequestMemoryMB int
	// MinBytesPerSecond is the slowest progress of a body and of an answer.
	MinBytesPerSecond int
}

// Server is one of the servers of a process.
type Server int

// Servers of a process.
const (
	Callers Server = iota
	Readiness
	Metrics
	serverCount
)

// Capacity is what a process can take in.
type Capacity struct {
	// Connections limits the connections of each server.
	Connections [serverCount]int
	// ConnectionsPerAddress limits the callers' connections from one address, 0 for no
	// limit.
	ConnectionsPerAddress int
	// Peers limits the connections of other nodes.
	Peers int
	// RequestBytes limits the memory of all callers' requests together, and
	// OtherRequestBytes that of all requests for readiness and metrics.
	RequestBytes      int64
	OtherRequestBytes int64
	// JobBytes limits the memory of all known jobs. Every node keeps them, so that it is
	// not above that of the smallest machine.
	JobBytes          int64
	MinBytesPerSecond int
}

// CapacityOf derives the capacity of a process from its settings.
func CapacityOf(s Settings) Capacity {
	memory := int64(orDefault(s.MemoryMB, defaultMemoryMB)) * mib
	control := controlBytes(memory)
	clients := (memory - control) * clientPercent / 100
	descriptors := orDefault(s.Descriptors, defaultDescriptors)
	byDescriptors := max(descriptors-reservedDescriptors, descriptors/2)
	reserved := descriptors - byDescriptors
	connections := int(min(int64(byDescriptors), clients/2/connectionBytes))
	return Capacity{
		Connections: [serverCount]int{
			orDefault(s.Connections, max(1, connections)),
			orDefault(s.ReadinessConnections, readinessConnections),
			orDefault(s.MetricsConnections, metricsConnections),
		},
		ConnectionsPerAddress: s.ConnectionsPerAddress,
		Peers:                 max(1, min(peerConnections, reserved*peerConnections/reservedDescriptors)),
		RequestBytes:          int64(orDefault(s.RequestMemoryMB*mib, int(max(mib, clients/2-otherRequestBytes)))),
		OtherRequestBytes:     otherRequestBytes,
		JobBytes:              controlBytes(min(memory, defaultMemoryMB*mib)) * jobPercent / 100,
		MinBytesPerSecond:     orDefault(s.MinBytesPerSecond, minBytesPerSecond),
	}
}

// controlBytes returns the memory that the process needs for everything but its clients.
func controlBytes(memory int64) int64 { return min(controlMemoryMB*mib, memory*controlPercent/100) }

// Fits reports whether a request with a body of so many bytes fits into the memory of
// requests.
func (c Capacity) Fits(bodyBytes int) bool {
	return bodyShare(bodyBytes) <= c.RequestBytes*largeBodyPercent/100
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Package link holds the state of the links between the system's processes:
// membership, the freshness of the configuration, and the attempts, retry
// budgets and connections of requests. It makes decisions only: it imports no
// codec, no network package and no clock. Callers pass the time in and perform
// all I/O.
package link

// Member identifies one entry instance of the system.
type Member struct {
	ID string `json:"id" cbor:"id"`
	// Incarnation is higher for a later start of the instance with the same id, 0
	// when unknown.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	DataCentre  string `json:"datacentre" cbor:"datacentre"`
	// Address is the peer address "ip:port" (UDP).
	Address string `json:"address" cbor:"address"`
}

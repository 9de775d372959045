// Package link holds the connections between the system's processes and what
// is known through them: members, freshness, attempts and retry budgets. It
// imports no codec, no network package and no clock.
package link

// Member is one entry instance of the system.
type Member struct {
	ID string `json:"id" cbor:"id"`
	// Incarnation is higher for a later start of the same id.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	DataCentre  string `json:"datacentre" cbor:"datacentre"`
	// Address is the peer address "ip:port" (UDP).
	Address string `json:"address" cbor:"address"`
}

// Package contract holds the agreements between operators, teams and the fleet:
// service documents, limits and their allotments, keys, tickets, claims,
// disruption budgets, and the revisioned configuration. It makes decisions
// only: it imports no codec, no network package and no clock. Callers pass the
// time in and perform all I/O.
package contract

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Kind names a type of configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindTeam       Kind = "team"
	KindDocument   Kind = "document"
	KindKey        Kind = "key"
	KindDataCentre Kind = "datacentre"
	KindPool       Kind = "pool"
)

// Ref identifies one configuration object.
type Ref struct {
	Kind Kind   `json:"kind" cbor:"kind"`
	Name string `json:"name" cbor:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Object is one configuration object with the revision that last changed it.
// Exactly one of the typed fields is set, the one that Ref.Kind names, unless
// Deleted is true.
type Object struct {
	Ref        Ref              `json:"ref" cbor:"ref"`
	Revision   uint64           `json:"revision" cbor:"revision"`
	Deleted    bool             `json:"deleted,omitempty" cbor:"deleted,omitempty"`
	Team       *Team            `json:"team,omitempty" cbor:"team,omitempty"`
	Document   *Document        `json:"document,omitempty" cbor:"document,omitempty"`
	Key        *Key             `json:"key,omitempty" cbor:"key,omitempty"`
	DataCentre *DataCentreOrder `json:"datacentre,omitempty" cbor:"datacentre,omitempty"`
	Pool       *PoolOrder       `json:"pool,omitempty" cbor:"pool,omitempty"`
}

// objectOverhead is an upper bound of the encoded size of an object without its
// variable-length fields, in bytes.
const objectOverhead = 512

// size returns an upper bound of the encoded size in bytes.
func (o *Object) size() int {
	size := objectOverhead
	if o.Document != nil {
		for _, team := range o.Document.AcceptsFrom {
			size += len(team) + 8
		}
	}
	if o.DataCentre != nil {
		size += len(o.DataCentre.Reason)
	}
	return size
}

// digest returns a hash of the reference and the revision.
func (o *Object) digest() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Ref.Kind))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(o.Ref.Name))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, o.Revision))
	return h.Sum32()
}

// Team is a customer of the fleet and the amount of it that the customer may
// use.
type Team struct {
	Name string `json:"name" cbor:"name"`
	// UpperLimit is the number of slots that the team may use at a time across
	// the whole fleet. Zero means that the team may start no work.
	UpperLimit int `json:"upper_limit" cbor:"upper_limit"`
	// Share is the team's weight in the division of a full fleet. It must be
	// positive.
	Share int `json:"share" cbor:"share"`
}

// Document is the agreement between a team and the fleet about one service.
type Document struct {
	Service string `json:"service" cbor:"service"`
	// Team owns the document and is charged for work on an open queue.
	Team string `json:"team" cbor:"team"`
	// Pool is the pool of instances that serve the service.
	Pool string `json:"pool" cbor:"pool"`
	// MaxSlots is the number of slots that the service may use at a time across
	// the fleet. Zero means no bound besides the team's upper limit.
	MaxSlots int `json:"max_slots,omitempty" cbor:"max_slots,omitempty"`
	// MinAvailable is the number of instances that must stay available through
	// maintenance.
	MinAvailable int `json:"min_available" cbor:"min_available"`
	// AcceptsFrom lists the teams besides the owner that may submit work.
	AcceptsFrom []string `json:"accepts_from,omitempty" cbor:"accepts_from,omitempty"`
	// Open means that work is accepted without a key and charged to the owner.
	Open bool `json:"open,omitempty" cbor:"open,omitempty"`
	// Idempotent means that a request may be sent to an endpoint more than once.
	Idempotent bool `json:"idempotent,omitempty" cbor:"idempotent,omitempty"`
	// MaxStalenessMS is the greatest age, in milliseconds, of an entry instance's
	// configuration at which the instance still starts idempotent work. A value
	// below the freshness horizon, such as the default 0, has no effect: the
	// horizon applies.
	MaxStalenessMS int64 `json:"max_staleness_ms,omitempty" cbor:"max_staleness_ms,omitempty"`
	// MaxStalenessNonIdempotentMS is the corresponding age for non-idempotent
	// work.
	MaxStalenessNonIdempotentMS int64 `json:"max_staleness_non_idempotent_ms,omitempty" cbor:"max_staleness_non_idempotent_ms,omitempty"`
}

// Accepts reports whether team may submit work for the service.
func (d *Document) Accepts(team string) bool {
	if team == d.Team {
		return true
	}
	for _, name := range d.AcceptsFrom {
		if name == team {
			return true
		}
	}
	return false
}

// Staleness returns the greatest age of the configuration at which idempotent
// or non-idempotent work may start, 0 when only the freshness horizon applies.
func (d *Document) Staleness(idempotent bool) time.Duration {
	if idempotent {
		return time.Duration(d.MaxStalenessMS) * time.Millisecond
	}
	return time.Duration(d.MaxStalenessNonIdempotentMS) * time.Millisecond
}

// KeyHash is the hexadecimal SHA-256 hash of a key's secret. The secret itself
// is not stored.
type KeyHash string

// Key authorizes whoever presents its secret to submit work for one team.
type Key struct {
	ID   string  `json:"id" cbor:"id"`
	Team string  `json:"team" cbor:"team"`
	Hash KeyHash `json:"hash" cbor:"hash"`
}

// DataCentreOrder is the operators' configuration of one data centre.
type DataCentreOrder struct {
	Name string `json:"name" cbor:"name"`
	// Out is true while the operators have taken the data centre out of service.
	Out bool `json:"out" cbor:"out"`
	// Reason is the operators' free text that explains the order.
	Reason string `json:"reason,omitempty" cbor:"reason,omitempty"`
}

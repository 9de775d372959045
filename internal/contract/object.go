// Package contract holds the agreements between operators, teams and the
// fleet: service documents, team limits, keys, and the revisioned configuration
// that they form. It takes decisions only. It imports no codec, no network
// package and no clock; callers pass the time in.
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

// objectOverhead is more than the encoded size of an object's short fields, in
// bytes.
const objectOverhead = 512

// size returns an upper estimate of the encoded size in bytes.
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

// Team states what one customer of the fleet may use.
type Team struct {
	Name string `json:"name" cbor:"name"`
	// UpperLimit is the number of slots that the team may have running across
	// the whole fleet. Zero stops the team.
	UpperLimit int `json:"upper_limit" cbor:"upper_limit"`
	// Share is the team's weight when the fleet is full. Must be positive.
	Share int `json:"share" cbor:"share"`
}

// Document is the agreement between a team and the fleet about one service.
type Document struct {
	Service string `json:"service" cbor:"service"`
	// Team owns the document and is charged for work on an open queue.
	Team string `json:"team" cbor:"team"`
	// Pool is the pool of instances that serve the service.
	Pool string `json:"pool" cbor:"pool"`
	// MaxSlots is the number of slots that the service may hold across the
	// fleet. Zero means no bound besides the team's upper limit.
	MaxSlots int `json:"max_slots,omitempty" cbor:"max_slots,omitempty"`
	// MinAvailable is the number of instances that must stay available through
	// maintenance.
	MinAvailable int `json:"min_available" cbor:"min_available"`
	// AcceptsFrom lists the teams that may hand in work besides the owner.
	AcceptsFrom []string `json:"accepts_from,omitempty" cbor:"accepts_from,omitempty"`
	// Open accepts work without a key. The owner is charged for it.
	Open bool `json:"open,omitempty" cbor:"open,omitempty"`
	// Idempotent says that requests may be sent more than once. Default false.
	Idempotent bool `json:"idempotent,omitempty" cbor:"idempotent,omitempty"`
	// MaxStalenessMS is how old the configuration of an entry instance may be,
	// in milliseconds, while it still starts idempotent work. Values below the
	// freshness horizon have no effect. Default 0: the horizon applies.
	MaxStalenessMS int64 `json:"max_staleness_ms,omitempty" cbor:"max_staleness_ms,omitempty"`
	// MaxStalenessNonIdempotentMS is the same for non-idempotent work.
	MaxStalenessNonIdempotentMS int64 `json:"max_staleness_non_idempotent_ms,omitempty" cbor:"max_staleness_non_idempotent_ms,omitempty"`
}

// Accepts reports whether team may hand in work for the service.
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

// Staleness returns the age of the configuration that the owner accepts beyond
// the freshness horizon, 0 for none.
func (d *Document) Staleness(idempotent bool) time.Duration {
	if idempotent {
		return time.Duration(d.MaxStalenessMS) * time.Millisecond
	}
	return time.Duration(d.MaxStalenessNonIdempotentMS) * time.Millisecond
}

// KeyHash is the hexadecimal SHA-256 of a key's secret. Secrets are never
// stored.
type KeyHash string

// Key lets its holder hand in work for one team.
type Key struct {
	ID   string  `json:"id" cbor:"id"`
	Team string  `json:"team" cbor:"team"`
	Hash KeyHash `json:"hash" cbor:"hash"`
}

// DataCentreOrder is the operators' order for one data centre.
type DataCentreOrder struct {
	Name string `json:"name" cbor:"name"`
	// Out is true while operators have taken the data centre out of service.
	Out bool `json:"out" cbor:"out"`
	// Reason is free text for explanations.
	Reason string `json:"reason,omitempty" cbor:"reason,omitempty"`
}

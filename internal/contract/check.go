package contract

import (
	"errors"
	"fmt"
	"regexp"
)

// Upper bounds of configuration fields.
const (
	// MaxNameLength is in bytes.
	MaxNameLength = 63
	// MaxSlotsBound is for numbers of slots and of instances.
	MaxSlotsBound = 1_000_000
	MaxShare      = 10_000
	// MaxStalenessBoundMS is one day.
	MaxStalenessBoundMS = 24 * 60 * 60 * 1000
	// MaxAcceptsFrom is the largest number of teams in a document. It keeps a
	// head with RingSize changes below the platform's limit of 1 MB for a value.
	MaxAcceptsFrom = 500
	// MaxReasonLength is in bytes.
	MaxReasonLength = 1000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError reports a rejected value of a configuration field and the values
// that the field accepts.
type FieldError struct {
	Field    string
	Value    string
	Accepted string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}

// Check validates every field of the object by itself. The error joins one
// FieldError for each invalid field.
func (o *Object) Check() error {
	var c checker
	c.name("ref.name", o.Ref.Name)
	if o.Deleted {
		return c.result()
	}
	switch o.Ref.Kind {
	case KindTeam:
		c.team(o)
	case KindDocument:
		c.document(o)
	case KindKey:
		c.key(o)
	case KindDataCentre:
		c.dataCentre(o)
	case KindPool:
		c.pool(o)
	default:
		c.add("ref.kind", string(o.Ref.Kind), "team, document, key, datacentre or pool")
	}
	return c.result()
}

// checker collects the errors of an object's fields.
type checker struct{ errors []error }

func (c *checker) result() error { return errors.Join(c.errors...) }

func (c *checker) add(field, value, accepted string) {
	c.errors = append(c.errors, &FieldError{Field: field, Value: value, Accepted: accepted})
}

func (c *checker) team(o *Object) {
	if o.Team == nil || o.Team.Name != o.Ref.Name {
		c.nameMismatch("team.name", o.Ref.Name)
		return
	}
	c.number("team.upper_limit", int64(o.Team.UpperLimit), 0, MaxSlotsBound, "slots")
	c.number("team.share", int64(o.Team.Share), 1, MaxShare, "weight")
}

func (c *checker) document(o *Object) {
	d := o.Document
	if d == nil || d.Service != o.Ref.Name {
		c.nameMismatch("document.service", o.Ref.Name)
		return
	}
	c.name("document.team", d.Team)
	c.name("document.pool", d.Pool)
	c.number("document.accepts_from", int64(len(d.AcceptsFrom)), 0, MaxAcceptsFrom, "teams")
	for i, team := range d.AcceptsFrom {
		c.name(fmt.Sprintf("document.accepts_from[%d]", i), team)
	}
	c.number("document.max_slots", int64(d.MaxSlots), 0, MaxSlotsBound, "slots")
	c.number("document.min_available", int64(d.MinAvailable), 0, MaxSlotsBound, "instances")
	c.number("document.max_staleness_ms", d.MaxStalenessMS, 0, MaxStalenessBoundMS, "ms")
	c.number("document.max_staleness_non_idempotent_ms", d.MaxStalenessNonIdempotentMS, 0, MaxStalenessBoundMS, "ms")
}

func (c *checker) key(o *Object) {
	if o.Key == nil || o.Key.ID != o.Ref.Name {
		c.nameMismatch("key.id", o.Ref.Name)
		return
	}
	if !hashPattern.MatchString(string(o.Key.Hash)) {
		c.add("key.hash", string(o.Key.Hash), "64 hexadecimal digits")
	}
	c.name("key.team", o.Key.Team)
}

func (c *checker) dataCentre(o *Object) {
	if o.DataCentre == nil || o.DataCentre.Name != o.Ref.Name {
		c.nameMismatch("datacentre.name", o.Ref.Name)
		return
	}
	if len(o.DataCentre.Reason) > MaxReasonLength {
		c.add("datacentre.reason", o.DataCentre.Reason[:MaxNameLength]+"...", fmt.Sprintf("at most %d bytes", MaxReasonLength))
	}
}

func (c *checker) nameMismatch(field, name string) { c.add(field, "", "the object's name "+name) }

func (c *checker) name(field, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		c.add(field, name, fmt.Sprintf("1 to %d characters of a-z, 0-9 and -, not starting with -", MaxNameLength))
	}
}

func (c *checker) number(field string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.add(field, fmt.Sprint(value), fmt.Sprintf("%d to %d %s", low, high, unit))
	}
}

package contract

import (
	"fmt"
	"regexp"
)

// Bounds of configuration fields.
const (
	MaxNameLength = 63
	MaxSlotsBound = 1_000_000
	MaxShare      = 10_000
	// MaxStalenessBoundMS is one day.
	MaxStalenessBoundMS = 24 * 60 * 60 * 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// FieldError names a configuration field, the rejected value and what is
// accepted.
type FieldError struct {
	Field    string
	Value    string
	Accepted string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}

// Check reports the first field of the object that is outside its bounds.
func (o *Object) Check() error {
	if err := checkName("ref.name", o.Ref.Name); err != nil {
		return err
	}
	if o.Deleted {
		return nil
	}
	switch o.Ref.Kind {
	case KindTeam:
		return o.checkTeam()
	case KindDocument:
		return o.checkDocument()
	case KindKey:
		return o.checkKey()
	case KindDataCentre:
		return o.checkDataCentre()
	case KindPool:
		return o.checkPool()
	default:
		return &FieldError{Field: "ref.kind", Value: string(o.Ref.Kind), Accepted: "team, document, key, datacentre or pool"}
	}
}

func (o *Object) checkTeam() error {
	if o.Team == nil || o.Team.Name != o.Ref.Name {
		return missing("team.name", o.Ref.Name)
	}
	if err := checkRange("team.upper_limit", int64(o.Team.UpperLimit), 0, MaxSlotsBound, "slots"); err != nil {
		return err
	}
	return checkRange("team.share", int64(o.Team.Share), 1, MaxShare, "weight")
}

func (o *Object) checkDocument() error {
	d := o.Document
	if d == nil || d.Service != o.Ref.Name {
		return missing("document.service", o.Ref.Name)
	}
	if err := checkName("document.team", d.Team); err != nil {
		return err
	}
	if err := checkName("document.pool", d.Pool); err != nil {
		return err
	}
	for _, team := range d.AcceptsFrom {
		if err := checkName("document.accepts_from", team); err != nil {
			return err
		}
	}
	return checkDocumentNumbers(d)
}

func checkDocumentNumbers(d *Document) error {
	if err := checkRange("document.max_slots", int64(d.MaxSlots), 0, MaxSlotsBound, "slots"); err != nil {
		return err
	}
	if err := checkRange("document.min_available", int64(d.MinAvailable), 0, MaxSlotsBound, "instances"); err != nil {
		return err
	}
	if err := checkRange("document.max_staleness_ms", d.MaxStalenessMS, 0, MaxStalenessBoundMS, "ms"); err != nil {
		return err
	}
	return checkRange("document.max_staleness_non_idempotent_ms", d.MaxStalenessNonIdempotentMS, 0, MaxStalenessBoundMS, "ms")
}

func (o *Object) checkKey() error {
	if o.Key == nil || o.Key.ID != o.Ref.Name {
		return missing("key.id", o.Ref.Name)
	}
	if len(o.Key.Hash) != 64 {
		return &FieldError{Field: "key.hash", Value: string(o.Key.Hash), Accepted: "64 hexadecimal digits"}
	}
	return checkName("key.team", o.Key.Team)
}

func (o *Object) checkDataCentre() error {
	if o.DataCentre == nil || o.DataCentre.Name != o.Ref.Name {
		return missing("datacentre.name", o.Ref.Name)
	}
	return nil
}

func missing(field, name string) error {
	return &FieldError{Field: field, Value: "", Accepted: "the object's name " + name}
}

func checkName(field, name string) error {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		accepted := fmt.Sprintf("1 to %d characters of a-z, 0-9 and -, not starting with -", MaxNameLength)
		return &FieldError{Field: field, Value: name, Accepted: accepted}
	}
	return nil
}

func checkRange(field string, value, low, high int64, unit string) error {
	if value < low || value > high {
		return &FieldError{Field: field, Value: fmt.Sprint(value), Accepted: fmt.Sprintf("%d to %d %s", low, high, unit)}
	}
	return nil
}

package invariant

import (
	"fmt"
	"time"
)

// ConfigEventKind is the kind of a ConfigEvent.
type ConfigEventKind string

// Kinds of configuration events.
const (
	// ConfigAccepted is the commit of a revision.
	ConfigAccepted ConfigEventKind = "accepted"
	// ConfigApplied is an observation of the revision that a process applies.
	ConfigApplied ConfigEventKind = "applied"
	// ConfigObject is an observation of the revision of one object that a
	// process applies.
	ConfigObject ConfigEventKind = "object"
	// ConfigStarted is a start of work by a process that applies a revision.
	ConfigStarted ConfigEventKind = "started"
)

// ConfigEvent is one entry of a trace for CheckConfig.
type ConfigEvent struct {
	At   time.Time
	Kind ConfigEventKind
	// Process is the entry instance, empty for ConfigAccepted.
	Process  string
	Revision uint64
	// Change is the id of the accepted change.
	Change string
	// Object is the name of the object of a ConfigObject.
	Object string
	// BindingFrom is the time from which the bound of CheckConfig is counted. It
	// is set for ConfigAccepted.
	BindingFrom time.Time
}

// CheckConfig checks I11 over a trace in time order:
//
//   - Revisions are accepted consecutively, each once.
//   - No process returns to an earlier revision, of the configuration or of an
//     object.
//   - No process applies a revision that was not accepted.
//   - No work starts under an older revision once bound has passed since
//     BindingFrom of a newer one.
func CheckConfig(trace []ConfigEvent, bound time.Duration) error {
	c := configChecker{applied: make(map[string]uint64), objects: make(map[string]uint64), bound: bound}
	for i, e := range trace {
		if err := c.add(e); err != nil {
			return fmt.Errorf("I11: event %d at %s: %w", i, e.At.Format(time.StampMicro), err)
		}
	}
	return nil
}

// configChecker is the state of CheckConfig.
type configChecker struct {
	accepted []ConfigEvent
	applied  map[string]uint64
	objects  map[string]uint64
	bound    time.Duration
}

func (c *configChecker) add(e ConfigEvent) error {
	switch e.Kind {
	case ConfigAccepted:
		if want := uint64(len(c.accepted)) + 1; e.Revision != want {
			return fmt.Errorf("change %s accepted as revision %d, the next one is %d", e.Change, e.Revision, want)
		}
		c.accepted = append(c.accepted, e)
	case ConfigApplied:
		if e.Revision < c.applied[e.Process] {
			return fmt.Errorf("%s went back from revision %d to %d", e.Process, c.applied[e.Process], e.Revision)
		}
		if e.Revision > uint64(len(c.accepted)) {
			return fmt.Errorf("%s applied revision %d, which was not accepted", e.Process, e.Revision)
		}
		c.applied[e.Process] = e.Revision
	case ConfigObject:
		name := e.Process + " " + e.Object
		if e.Revision < c.objects[name] {
			return fmt.Errorf("%s went back from revision %d to %d", name, c.objects[name], e.Revision)
		}
		c.objects[name] = e.Revision
	case ConfigStarted:
		return c.checkStart(e)
	}
	return nil
}

// checkStart checks that work starts under no outdated revision.
func (c *configChecker) checkStart(e ConfigEvent) error {
	for _, revision := range c.accepted {
		if revision.Revision > e.Revision && e.At.Sub(revision.BindingFrom) > c.bound {
			return fmt.Errorf("%s started work under revision %d, %s after revision %d was binding",
				e.Process, e.Revision, e.At.Sub(revision.BindingFrom), revision.Revision)
		}
	}
	return nil
}

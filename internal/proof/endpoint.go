package proof

import (
	"fmt"
	"time"
)

// EndpointEventKind is what happened to an endpoint or its data centre.
type EndpointEventKind string

// Kinds of events of an endpoint trace.
const (
	// EndpointLeft means that the observer was told that the endpoint leaves.
	EndpointLeft EndpointEventKind = "left"
	// EndpointBack means that it was told that the endpoint takes work again.
	EndpointBack EndpointEventKind = "back"
	// EndpointCentreOut and EndpointCentreBack concern the endpoint's whole data centre.
	EndpointCentreOut  EndpointEventKind = "centre-out"
	EndpointCentreBack EndpointEventKind = "centre-back"
	// EndpointSent means that the observer sent new work there.
	EndpointSent EndpointEventKind = "sent"
)

// EndpointEvent is one event of a trace, in the order of time.
type EndpointEvent struct {
	At   time.Time
	Kind EndpointEventKind
	// Observer is the entry instance.
	Observer string
	// Endpoint is empty for EndpointCentreOut and EndpointCentreBack.
	Endpoint, DataCentre string
}

// EndpointViolation is new work sent where none may go.
type EndpointViolation struct {
	Event EndpointEvent
	Since time.Time
}

// String describes the violation.
func (v EndpointViolation) String() string {
	return fmt.Sprintf("%s: %s sent new work to endpoint %s in %s, closed to work since %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Observer, v.Event.Endpoint, v.Event.DataCentre, v.Since.Format(time.RFC3339Nano))
}

// EndpointChecker watches a trace for invariants I5 and I9 as far as routing
// goes: a leaving endpoint and a data centre taken out get no new work once
// Grace has passed.
type EndpointChecker struct {
	Grace      time.Duration
	closed     map[[3]string]time.Time
	violations []EndpointViolation
}

// NewEndpointChecker returns a checker that has seen nothing.
func NewEndpointChecker(grace time.Duration) *EndpointChecker {
	return &EndpointChecker{Grace: grace, closed: make(map[[3]string]time.Time)}
}

// Violations returns what was reported so far.
func (c *EndpointChecker) Violations() []EndpointViolation { return c.violations }

// Add takes the next event.
func (c *EndpointChecker) Add(e EndpointEvent) {
	endpoint := [3]string{e.Observer, e.DataCentre, e.Endpoint}
	centre := [3]string{e.Observer, e.DataCentre, ""}
	switch e.Kind {
	case EndpointLeft:
		c.close(endpoint, e.At)
	case EndpointBack:
		delete(c.closed, endpoint)
	case EndpointCentreOut:
		c.close(centre, e.At)
	case EndpointCentreBack:
		delete(c.closed, centre)
	case EndpointSent:
		c.check(e, endpoint)
		c.check(e, centre)
	}
}

func (c *EndpointChecker) close(key [3]string, at time.Time) {
	if _, ok := c.closed[key]; !ok {
		c.closed[key] = at
	}
}

func (c *EndpointChecker) check(e EndpointEvent, key [3]string) {
	if since, ok := c.closed[key]; ok && e.At.Sub(since) > c.Grace {
		c.violations = append(c.violations, EndpointViolation{Event: e, Since: since})
	}
}

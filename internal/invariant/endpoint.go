package invariant

import (
	"fmt"
	"time"
)

// EndpointEventKind is the kind of an EndpointEvent.
type EndpointEventKind string

// Kinds of events of an endpoint trace.
const (
	// EndpointLeaving means that the observer learned that the endpoint is
	// leaving.
	EndpointLeaving EndpointEventKind = "left"
	// EndpointBack means that the observer learned that the endpoint accepts work
	// again.
	EndpointBack EndpointEventKind = "back"
	// EndpointDataCentreOut and EndpointDataCentreBack mean that the observer
	// learned that a whole data centre was taken out or brought back.
	EndpointDataCentreOut  EndpointEventKind = "centre-out"
	EndpointDataCentreBack EndpointEventKind = "centre-back"
	// EndpointSent means that the observer sent new work to the endpoint.
	EndpointSent EndpointEventKind = "sent"
)

// EndpointEvent is one event of a trace for EndpointChecker.
type EndpointEvent struct {
	At   time.Time
	Kind EndpointEventKind
	// Observer is the entry instance that recorded the event.
	Observer string
	// Endpoint is empty for EndpointDataCentreOut and EndpointDataCentreBack.
	Endpoint, DataCentre string
}

// EndpointViolation is new work that was sent to a leaving endpoint, or to a
// data centre that was taken out, after the grace. Since is when the observer
// learned that the endpoint is leaving or that the data centre was taken out.
type EndpointViolation struct {
	Event EndpointEvent
	Since time.Time
}

// String describes the violation.
func (v EndpointViolation) String() string {
	return fmt.Sprintf("%s: %s sent new work to endpoint %s in %s, closed to work since %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Observer, v.Event.Endpoint, v.Event.DataCentre, v.Since.Format(time.RFC3339Nano))
}

// EndpointChecker checks the routing part of I5 and I9: once Grace has passed
// since an entry instance learned that an endpoint is leaving, or that a data
// centre was taken out, the instance sends no new work there.
type EndpointChecker struct {
	Grace time.Duration
	// closed holds when an observer learned that an endpoint or a data centre
	// is closed to new work, by observer, data centre and endpoint.
	closed     map[[3]string]time.Time
	violations []EndpointViolation
}

// NewEndpointChecker returns a checker for a new trace.
func NewEndpointChecker(grace time.Duration) *EndpointChecker {
	return &EndpointChecker{Grace: grace, closed: make(map[[3]string]time.Time)}
}

// Violations returns the violations found so far.
func (c *EndpointChecker) Violations() []EndpointViolation { return c.violations }

// Add checks the next event.
func (c *EndpointChecker) Add(e EndpointEvent) {
	endpoint := [3]string{e.Observer, e.DataCentre, e.Endpoint}
	dataCentre := [3]string{e.Observer, e.DataCentre, ""}
	switch e.Kind {
	case EndpointLeaving:
		c.markClosed(endpoint, e.At)
	case EndpointBack:
		delete(c.closed, endpoint)
	case EndpointDataCentreOut:
		c.markClosed(dataCentre, e.At)
	case EndpointDataCentreBack:
		delete(c.closed, dataCentre)
	case EndpointSent:
		c.checkSent(e, endpoint)
		c.checkSent(e, dataCentre)
	}
}

func (c *EndpointChecker) markClosed(key [3]string, at time.Time) {
	if _, ok := c.closed[key]; !ok {
		c.closed[key] = at
	}
}

// checkSent records a violation if key has been closed to new work for longer
// than Grace.
func (c *EndpointChecker) checkSent(e EndpointEvent, key [3]string) {
	if since, ok := c.closed[key]; ok && e.At.Sub(since) > c.Grace {
		c.violations = append(c.violations, EndpointViolation{Event: e, Since: since})
	}
}

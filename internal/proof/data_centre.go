package proof

import (
	"fmt"
	"time"
)

// CentreEventKind is the kind of a CentreEvent.
type CentreEventKind string

// Kinds of data centre events.
const (
	// CentreOut and CentreBack are the operators' orders that take a data centre
	// out and bring it back.
	CentreOut  CentreEventKind = "out"
	CentreBack CentreEventKind = "back"
	// CentreStarted is a start of work in the data centre.
	CentreStarted CentreEventKind = "started"
	// CentreRefused is a start that was refused because the data centre was
	// taken out.
	CentreRefused CentreEventKind = "refused"
)

// CentreEvent is one entry of a trace for CheckDataCentres.
type CentreEvent struct {
	At         time.Time
	Kind       CentreEventKind
	DataCentre string
	// Process is the entry instance that started or refused the work.
	Process string
}

// CheckDataCentres checks I5 over a trace in time order: no work starts in a data
// centre once bound has passed since it was taken out, and no work is refused
// for that reason once bound has passed since it was brought back.
func CheckDataCentres(trace []CentreEvent, bound time.Duration) error {
	type state struct {
		out   bool
		since time.Time
	}
	states := make(map[string]state)
	for i, e := range trace {
		s, known := states[e.DataCentre]
		afterBound := e.At.Sub(s.since) > bound
		var err error
		switch e.Kind {
		case CentreOut, CentreBack:
			states[e.DataCentre] = state{out: e.Kind == CentreOut, since: e.At}
		case CentreStarted:
			if s.out && afterBound {
				err = fmt.Errorf("%s started work in %s, %s after it was taken out", e.Process, e.DataCentre, e.At.Sub(s.since))
			}
		case CentreRefused:
			if !known {
				err = fmt.Errorf("%s refused work in %s, which was never taken out", e.Process, e.DataCentre)
			} else if !s.out && afterBound {
				err = fmt.Errorf("%s refused work in %s, %s after it was brought back", e.Process, e.DataCentre, e.At.Sub(s.since))
			}
		}
		if err != nil {
			return fmt.Errorf("I5: event %d at %s: %w", i, e.At.Format(time.StampMicro), err)
		}
	}
	return nil
}

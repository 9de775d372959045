package invariant

import (
	"fmt"
	"time"
)

// DataCentreEventKind is the kind of a DataCentreEvent.
type DataCentreEventKind string

// Kinds of data centre events.
const (
	// DataCentreOut and DataCentreBack are the operators' orders that take a
	// data centre out and bring it back.
	DataCentreOut  DataCentreEventKind = "out"
	DataCentreBack DataCentreEventKind = "back"
	// DataCentreStarted is a start of work in the data centre.
	DataCentreStarted DataCentreEventKind = "started"
	// DataCentreRefused is a start that was refused because the data centre was
	// taken out.
	DataCentreRefused DataCentreEventKind = "refused"
)

// DataCentreEvent is one entry of a trace for CheckDataCentres.
type DataCentreEvent struct {
	At         time.Time
	Kind       DataCentreEventKind
	DataCentre string
	// Process is the entry instance that started or refused the work.
	Process string
}

// CheckDataCentres checks I5 over a trace in time order: no work starts in a data
// centre once bound has passed since it was taken out, and no work is refused
// for that reason once bound has passed since it was brought back.
func CheckDataCentres(trace []DataCentreEvent, bound time.Duration) error {
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
		case DataCentreOut, DataCentreBack:
			states[e.DataCentre] = state{out: e.Kind == DataCentreOut, since: e.At}
		case DataCentreStarted:
			if s.out && afterBound {
				err = fmt.Errorf("%s started work in %s, %s after it was taken out", e.Process, e.DataCentre, e.At.Sub(s.since))
			}
		case DataCentreRefused:
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

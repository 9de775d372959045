package invariant

import (
	"fmt"
	"time"
)

// KeyEvent is one entry of a trace for CheckKeys: a grant, a withdrawal or a
// start of work under a key.
type KeyEvent struct {
	At   time.Time
	Kind KeyEventKind
	Key  string
	// Team is the team to which the key was granted or a start was charged.
	Team string
	// Process is the entry instance that started the work.
	Process string
}

// KeyEventKind is the kind of a KeyEvent.
type KeyEventKind string

// Kinds of key events.
const (
	KeyGranted   KeyEventKind = "granted"
	KeyWithdrawn KeyEventKind = "withdrawn"
	KeyStarted   KeyEventKind = "started"
)

// CheckKeys checks I3 over a trace in time order: work starts only under a key
// that was granted to the work's team, and not once bound has passed since the
// key was withdrawn.
func CheckKeys(trace []KeyEvent, bound time.Duration) error {
	type grant struct {
		team      string
		withdrawn time.Time
	}
	grants := make(map[string]*grant)
	for i, e := range trace {
		g := grants[e.Key]
		var err error
		switch {
		case e.Kind == KeyGranted:
			grants[e.Key] = &grant{team: e.Team}
		case g == nil:
			err = fmt.Errorf("key %s was never granted", e.Key)
		case e.Kind == KeyWithdrawn:
			g.withdrawn = e.At
		case g.team != e.Team:
			err = fmt.Errorf("%s started work of team %s under key %s of team %s", e.Process, e.Team, e.Key, g.team)
		case !g.withdrawn.IsZero() && e.At.Sub(g.withdrawn) > bound:
			err = fmt.Errorf("%s started work under key %s, %s after it was withdrawn", e.Process, e.Key, e.At.Sub(g.withdrawn))
		}
		if err != nil {
			return fmt.Errorf("I3: event %d at %s: %w", i, e.At.Format(time.StampMicro), err)
		}
	}
	return nil
}

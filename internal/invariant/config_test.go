package invariant

import (
	"strings"
	"testing"
	"time"
)

var configTraceStart = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return configTraceStart.Add(time.Duration(seconds * float64(time.Second)))
}

func accepted(seconds float64, revision uint64) ConfigEvent {
	return ConfigEvent{At: at(seconds), Kind: ConfigAccepted, Revision: revision, Change: "c", BindingFrom: at(seconds)}
}

func applied(seconds float64, process string, revision uint64) ConfigEvent {
	return ConfigEvent{At: at(seconds), Kind: ConfigApplied, Process: process, Revision: revision}
}

func started(seconds float64, process string, revision uint64) ConfigEvent {
	return ConfigEvent{At: at(seconds), Kind: ConfigStarted, Process: process, Revision: revision}
}

// TestCheckConfigFindsViolations guards against a checker of I11 that accepts
// violating traces or rejects correct ones.
func TestCheckConfigFindsViolations(t *testing.T) {
	good := []ConfigEvent{accepted(0, 1), applied(1, "a", 1), accepted(2, 2), started(5, "a", 1), applied(6, "a", 2), started(9, "a", 2)}
	if err := CheckConfig(good, 4*time.Second); err != nil {
		t.Errorf("valid trace: %v", err)
	}
	bad := map[string][]ConfigEvent{
		"which was not accepted": {accepted(0, 1), applied(1, "a", 2)},
		"went back":              {accepted(0, 1), accepted(0, 2), applied(1, "a", 2), applied(2, "a", 1)},
		"a depots went back": {
			{At: at(0), Kind: ConfigObject, Process: "a", Object: "depots", Revision: 3},
			{At: at(1), Kind: ConfigObject, Process: "a", Object: "depots", Revision: 2},
		},
		"the next one is": {accepted(0, 1), accepted(1, 1)},
		"was binding":     {accepted(0, 1), accepted(1, 2), started(5.1, "a", 1)},
	}
	for want, trace := range bad {
		if err := CheckConfig(trace, 4*time.Second); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("violation %q: %v", want, err)
		}
	}
}

// TestCheckKeysFindsViolations guards against a checker of I3 that accepts
// violating traces or rejects correct ones.
func TestCheckKeysFindsViolations(t *testing.T) {
	grant := KeyEvent{At: at(0), Kind: KeyGranted, Key: "k", Team: "depots"}
	withdraw := KeyEvent{At: at(10), Kind: KeyWithdrawn, Key: "k"}
	start := func(seconds float64, team string) KeyEvent {
		return KeyEvent{At: at(seconds), Kind: KeyStarted, Key: "k", Team: team, Process: "a"}
	}
	again := KeyEvent{At: at(20), Kind: KeyGranted, Key: "k", Team: "depots"}
	good := []KeyEvent{grant, start(1, "depots"), withdraw, start(14, "depots"), again, start(30, "depots")}
	if err := CheckKeys(good, 4*time.Second); err != nil {
		t.Errorf("valid trace: %v", err)
	}
	bad := map[string][]KeyEvent{
		"after it was withdrawn": {grant, withdraw, start(14.1, "depots")},
		"of team depots":         {grant, start(1, "fairs")},
		"was never granted":      {start(1, "depots")},
	}
	for want, trace := range bad {
		if err := CheckKeys(trace, 4*time.Second); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("violation %q: %v", want, err)
		}
	}
}

// TestCheckDataCentresFindsViolations guards against a checker of I5 that
// accepts violating traces or rejects correct ones.
func TestCheckDataCentresFindsViolations(t *testing.T) {
	event := func(seconds float64, kind DataCentreEventKind) DataCentreEvent {
		return DataCentreEvent{At: at(seconds), Kind: kind, DataCentre: "north", Process: "a"}
	}
	good := []DataCentreEvent{event(0, DataCentreStarted), event(1, DataCentreOut), event(4, DataCentreStarted), event(9, DataCentreRefused), event(10, DataCentreBack), event(13, DataCentreRefused), event(15, DataCentreStarted)}
	if err := CheckDataCentres(good, 4*time.Second); err != nil {
		t.Errorf("valid trace: %v", err)
	}
	bad := map[string][]DataCentreEvent{
		"after it was taken out":    {event(0, DataCentreOut), event(4.1, DataCentreStarted)},
		"after it was brought back": {event(0, DataCentreOut), event(1, DataCentreBack), event(5.1, DataCentreRefused)},
		"was never taken out":       {event(0, DataCentreRefused)},
	}
	for want, trace := range bad {
		if err := CheckDataCentres(trace, 4*time.Second); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("violation %q: %v", want, err)
		}
	}
}

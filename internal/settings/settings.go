// Package settings reads and checks the JSON settings of an entry instance.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

// Entry are the settings of an entry instance.
type Entry struct {
	// ID is the name of the instance, unique in the fleet.
	ID string `json:"id"`
	// DataCentre is where the instance stands; a key of DataCentres.
	DataCentre string `json:"datacentre"`
	// DataCentres maps each data centre of the fleet to its region.
	DataCentres map[string]string `json:"datacentres"`
	// HTTP is the "ip:port" for callers and operators.
	HTTP string `json:"http"`
	// Peer is the UDP "ip:port" for other entry instances.
	Peer string `json:"peer"`
	// Platform is the "ip:port" of the platform.
	Platform string `json:"platform"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainDelayMS is how long a stopping instance still accepts connections
	// after it withdrew readiness, in milliseconds. It must exceed the time in
	// which the load balancer notices. Default 2000.
	DrainDelayMS *int64 `json:"drain_delay_ms,omitempty"`
}

// FieldError names a setting, its value and what is accepted.
type FieldError struct {
	Field, Value, Accepted string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}

// LoadEntry reads and checks the settings file at path.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	var e Entry
	if err := strictjson.Decode(data, &e); err != nil {
		return Entry{}, errors.Wrapf(err, "settings %s", path)
	}
	return e, e.Check()
}

// Bounds of DrainDelayMS.
const (
	defaultDrainDelayMS = 2000
	maxDrainDelayMS     = 60_000
)

// DrainDelay returns the drain delay or its default.
func (e *Entry) DrainDelay() time.Duration {
	if e.DrainDelayMS == nil {
		return defaultDrainDelayMS * time.Millisecond
	}
	return time.Duration(*e.DrainDelayMS) * time.Millisecond
}

// Check reports the first setting that is outside its bounds.
func (e *Entry) Check() error {
	if e.ID == "" {
		return &FieldError{"id", e.ID, "a name that is unique in the fleet"}
	}
	if _, ok := e.DataCentres[e.DataCentre]; !ok {
		return &FieldError{"datacentre", e.DataCentre, "one of datacentres: " + e.centreNames()}
	}
	for field, value := range map[string]string{"http": e.HTTP, "peer": e.Peer, "platform": e.Platform} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return &FieldError{field, value, "an address such as 127.0.0.1:7000"}
		}
	}
	if ms := e.DrainDelay().Milliseconds(); ms < 0 || ms > maxDrainDelayMS {
		return &FieldError{"drain_delay_ms", fmt.Sprint(ms), "0 to 60000 milliseconds"}
	}
	switch e.LogLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return &FieldError{"log_level", e.LogLevel, "debug, info, warn or error"}
}

func (e *Entry) centreNames() string {
	names := make([]string, 0, len(e.DataCentres))
	for name := range e.DataCentres {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Package settings reads and checks the JSON settings of an entry instance.
package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

// Bounds of freshness_horizon_ms. A horizon below the probe period of 1 s would
// refuse work between two probes; one above 6 s would break the target for a
// change to be in force everywhere.
const (
	MinFreshnessHorizonMS     = 2000
	MaxFreshnessHorizonMS     = 6000
	DefaultFreshnessHorizonMS = 4000
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
	// TLS names the certificates for connections between entry instances.
	TLS TLS `json:"tls"`
	// Seeds are peers that are asked first, before the platform's list is
	// known. They let an instance start during an outage of the platform.
	Seeds []Seed `json:"seeds,omitempty"`
	// Platform is the "ip:port" of the platform.
	Platform string `json:"platform"`
	// FreshnessHorizonMS is how old the configuration may be while work is
	// started, in milliseconds. Default DefaultFreshnessHorizonMS.
	FreshnessHorizonMS int64 `json:"freshness_horizon_ms,omitempty"`
	// Limits are the terms on which slots are held.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainDelayMS is how long a stopping instance still accepts connections
	// after it withdrew readiness, in milliseconds. It must exceed the time in
	// which the load balancer notices. Default 2000.
	DrainDelayMS *int64 `json:"drain_delay_ms,omitempty"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	// CA holds the certificates that sign the fleet's members.
	CA string `json:"ca"`
	// Certificate names the instance's id as a DNS name; Key belongs to it.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Seed is the peer address of another entry instance.
type Seed struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	// Address is the UDP "ip:port".
	Address string `json:"address"`
}

// FreshnessHorizon returns FreshnessHorizonMS or its default.
func (e *Entry) FreshnessHorizon() time.Duration {
	if e.FreshnessHorizonMS == 0 {
		return DefaultFreshnessHorizonMS * time.Millisecond
	}
	return time.Duration(e.FreshnessHorizonMS) * time.Millisecond
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

// Check reports every setting that is outside its bounds. The error joins one
// FieldError for each.
func (e *Entry) Check() error {
	var c checker
	c.check(e.ID != "", "id", e.ID, "a name that is unique in the fleet")
	c.check(e.knows(e.DataCentre), "datacentre", e.DataCentre, "one of datacentres: "+e.centreNames())
	c.address("http", e.HTTP)
	c.address("peer", e.Peer)
	c.address("platform", e.Platform)
	c.file("tls.ca", e.TLS.CA)
	c.file("tls.certificate", e.TLS.Certificate)
	c.file("tls.key", e.TLS.Key)
	for i, seed := range e.Seeds {
		field := fmt.Sprintf("seeds[%d].", i)
		c.check(seed.ID != "", field+"id", seed.ID, "the id of an entry instance")
		c.check(e.knows(seed.DataCentre), field+"datacentre", seed.DataCentre, "one of datacentres: "+e.centreNames())
		c.address(field+"address", seed.Address)
	}
	e.Limits.check(&c)
	horizon := e.FreshnessHorizon().Milliseconds()
	c.check(horizon >= MinFreshnessHorizonMS && horizon <= MaxFreshnessHorizonMS, "freshness_horizon_ms", fmt.Sprint(horizon),
		fmt.Sprintf("%d to %d ms", MinFreshnessHorizonMS, MaxFreshnessHorizonMS))
	drain := e.DrainDelay().Milliseconds()
	c.check(drain >= 0 && drain <= maxDrainDelayMS, "drain_delay_ms", fmt.Sprint(drain), fmt.Sprintf("0 to %d ms", maxDrainDelayMS))
	c.check(slices.Contains([]string{"", "debug", "info", "warn", "error"}, e.LogLevel), "log_level", e.LogLevel, "debug, info, warn or error")
	return errors.Join(c.errors...)
}

// checker collects the errors of all fields.
type checker struct{ errors []error }

func (c *checker) check(ok bool, field, value, accepted string) {
	if !ok {
		c.errors = append(c.errors, &FieldError{field, value, accepted})
	}
}

func (c *checker) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.check(err == nil, field, value, "an address such as 127.0.0.1:7000")
}

func (c *checker) file(field, path string) {
	info, err := os.Stat(path)
	c.check(err == nil && info.Mode().IsRegular(), field, path, "the path of a readable PEM file")
}

func (e *Entry) knows(centre string) bool {
	_, ok := e.DataCentres[centre]
	return ok
}

func (e *Entry) centreNames() string {
	return strings.Join(slices.Sorted(maps.Keys(e.DataCentres)), ", ")
}

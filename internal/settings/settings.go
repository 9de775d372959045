// Package settings reads and checks the JSON settings file of an entry
// instance.
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

// Bounds and default of freshness_horizon_ms. With a horizon below the probe
// interval of 1 s, an instance would refuse work between two probes. With one above
// 6 s, a change would not be in force everywhere within its target time.
const (
	MinFreshnessHorizonMS     = 2000
	MaxFreshnessHorizonMS     = 6000
	DefaultFreshnessHorizonMS = 4000
)

// Entry are the settings of an entry instance.
type Entry struct {
	// ID is the name of the instance, unique in the fleet.
	ID string `json:"id"`
	// DataCentre is the data centre of the instance, a key of DataCentres.
	DataCentre string `json:"datacentre"`
	// DataCentres maps each data centre of the fleet to its region.
	DataCentres map[string]string `json:"datacentres"`
	// HTTP is the "ip:port" on which the instance serves callers and operators.
	HTTP string `json:"http"`
	// Peer is the UDP "ip:port" on which the instance serves other entry
	// instances.
	Peer string `json:"peer"`
	// TLS names the certificates for connections between entry instances.
	TLS TLS `json:"tls"`
	// Seeds are the peers to contact before the platform's list of members has
	// been read. They let an instance start during an outage of the platform.
	Seeds []Seed `json:"seeds,omitempty"`
	// Platform is the "ip:port" of the platform.
	Platform string `json:"platform"`
	// FreshnessHorizonMS is the greatest age of the configuration at which work
	// may start, in milliseconds. Default DefaultFreshnessHorizonMS.
	FreshnessHorizonMS int64 `json:"freshness_horizon_ms,omitempty"`
	// Limits are the terms on which slots are held.
	Limits Limits `json:"limits,omitzero"`
	// Clients limit what the instance takes in of its clients.
	Clients Clients `json:"clients,omitzero"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainDelayMS is how long a stopping instance still accepts connections after
	// its readiness check has begun to fail, in milliseconds. It must exceed the
	// time that the load balancer needs to detect the failure. Default 2000.
	DrainDelayMS *int64 `json:"drain_delay_ms,omitempty"`
}

// TLS names the PEM files of certificates and key. A running instance reads
// them again when they change.
type TLS struct {
	// CA is the file of the CA certificates that sign the members' certificates.
	CA string `json:"ca"`
	// Certificate is the file of the instance's certificate, which must have the
	// instance's ID as a DNS name. Key is the file of its private key.
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

// FieldError is a setting whose value is not accepted. Accepted describes the
// accepted values.
type FieldError struct {
	Field, Value, Accepted string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s: %q is not accepted; accepted: %s", e.Field, e.Value, e.Accepted)
}

// LoadEntry reads the settings file at path and checks it with Check. Unknown
// fields are an error.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read settings")
	}
	var e Entry
	if err := strictjson.Decode(data, &e); err != nil {
		return Entry{}, errors.Wrapf(err, "decode settings %s", path)
	}
	return e, e.Check()
}

// Default and maximum of DrainDelayMS.
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

// Check checks all settings. The error joins one FieldError for each setting
// that is not accepted. The certificate files must exist.
func (e *Entry) Check() error {
	var c checker
	c.require(e.ID != "", "id", e.ID, "a name that is unique in the fleet")
	c.require(e.hasDataCentre(e.DataCentre), "datacentre", e.DataCentre, "one of datacentres: "+e.dataCentreNames())
	c.requireAddress("http", e.HTTP)
	c.requireAddress("peer", e.Peer)
	c.requireAddress("platform", e.Platform)
	c.requireFile("tls.ca", e.TLS.CA)
	c.requireFile("tls.certificate", e.TLS.Certificate)
	c.requireFile("tls.key", e.TLS.Key)
	for i, seed := range e.Seeds {
		field := fmt.Sprintf("seeds[%d].", i)
		c.require(seed.ID != "", field+"id", seed.ID, "the id of an entry instance")
		c.require(e.hasDataCentre(seed.DataCentre), field+"datacentre", seed.DataCentre, "one of datacentres: "+e.dataCentreNames())
		c.requireAddress(field+"address", seed.Address)
	}
	e.Limits.check(&c)
	e.Clients.check(&c)
	horizon := e.FreshnessHorizon().Milliseconds()
	c.require(horizon >= MinFreshnessHorizonMS && horizon <= MaxFreshnessHorizonMS, "freshness_horizon_ms", fmt.Sprint(horizon),
		fmt.Sprintf("%d to %d ms", MinFreshnessHorizonMS, MaxFreshnessHorizonMS))
	drain := e.DrainDelay().Milliseconds()
	c.require(drain >= 0 && drain <= maxDrainDelayMS, "drain_delay_ms", fmt.Sprint(drain), fmt.Sprintf("0 to %d ms", maxDrainDelayMS))
	c.require(slices.Contains([]string{"", "debug", "info", "warn", "error"}, e.LogLevel), "log_level", e.LogLevel, "debug, info, warn or error")
	return errors.Join(c.errors...)
}

// checker collects one FieldError for each setting that is not accepted.
type checker struct{ errors []error }

func (c *checker) require(ok bool, field, value, accepted string) {
	if !ok {
		c.errors = append(c.errors, &FieldError{field, value, accepted})
	}
}

func (c *checker) requireAddress(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, field, value, "an address such as 127.0.0.1:7000")
}

func (c *checker) requireFile(field, path string) {
	info, err := os.Stat(path)
	c.require(err == nil && info.Mode().IsRegular(), field, path, "the path of a readable PEM file")
}

func (e *Entry) hasDataCentre(centre string) bool {
	_, ok := e.DataCentres[centre]
	return ok
}

func (e *Entry) dataCentreNames() string {
	return strings.Join(slices.Sorted(maps.Keys(e.DataCentres)), ", ")
}

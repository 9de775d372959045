package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Snapshot is an immutable view of the fleet for traffic goroutines. Snapshots
// share parts, so nothing that is reachable from one may be changed.
type Snapshot struct {
	// Revision is the configuration revision of the view.
	Revision uint64
	// Loaded is false until the process has read a configuration once.
	Loaded    bool
	keys      map[contract.KeyHash]*contract.Key
	endpoints map[string]EndpointSet
	// outDataCentres names, for each service with endpoints in a data centre that
	// operators took out of service, that data centre.
	outDataCentres map[string]string
	objects        map[contract.Kind][]contract.Object
	startRule      StartRule
}

// EndpointSet holds the endpoints of one service that may get new work.
type EndpointSet struct {
	// Local are the endpoints of the process's own data centre.
	Local []machine.Endpoint
	// Remote are the endpoints of other data centres.
	Remote []machine.Endpoint
	// LastResort are suspect endpoints, to be used when Local and Remote are
	// empty.
	LastResort []machine.Endpoint
}

// snapshotCache holds the last snapshot, whose unchanged parts the next one
// shares, and the register's versions that it was built from.
type snapshotCache struct {
	last               *Snapshot
	versions           map[contract.Kind]uint64
	dataCentresVersion uint64
}

// TakeSnapshot returns a new snapshot, or nil when nothing changed since the
// last call. Unchanged parts are shared with the last snapshot. Only the control
// thread calls it.
func (f *Fleet) TakeSnapshot() *Snapshot {
	if !f.snapshotDirty && !f.configDirty && !f.freshnessDirty {
		return nil
	}
	var s Snapshot
	if f.cache.last != nil {
		s = *f.cache.last
	}
	s.startRule = f.startRule
	if f.snapshotDirty || f.configDirty {
		s.Revision = f.register.Revision()
		s.Loaded = f.config.loaded
		f.fillConfig(&s)
	}
	if f.snapshotDirty {
		f.fillEndpoints(&s)
	}
	f.snapshotDirty, f.configDirty, f.freshnessDirty = false, false, false
	f.cache.last = &s
	return &s
}

// fillConfig sets the configuration objects of a snapshot. The keys are indexed
// again only when one changed.
func (f *Fleet) fillConfig(s *Snapshot) {
	kinds := []contract.Kind{contract.KindTeam, contract.KindDocument, contract.KindKey, contract.KindDataCentre, contract.KindPool}
	objects := make(map[contract.Kind][]contract.Object, len(kinds))
	keysVersion, known := f.cache.versions[contract.KindKey]
	keysChanged := !known || keysVersion != f.register.Version(contract.KindKey)
	f.cache.versions = make(map[contract.Kind]uint64, len(kinds))
	for _, kind := range kinds {
		objects[kind] = f.register.List(kind)
		f.cache.versions[kind] = f.register.Version(kind)
	}
	s.objects = objects
	if !keysChanged {
		return
	}
	s.keys = make(map[contract.KeyHash]*contract.Key, len(objects[contract.KindKey]))
	for _, o := range objects[contract.KindKey] {
		s.keys[o.Key.Hash] = o.Key
	}
}

// fillEndpoints groups the endpoints that may get new work by service, and lists
// the services with endpoints in data centres that are out of service.
func (f *Fleet) fillEndpoints(s *Snapshot) {
	s.endpoints = make(map[string]EndpointSet)
	s.outDataCentres = make(map[string]string)
	for name, centre := range f.centres {
		if centre.Out {
			for _, e := range centre.Endpoints() {
				s.outDataCentres[e.Service] = name
			}
		}
		for service, list := range centre.CandidatesByService() {
			set := s.endpoints[service]
			if name == f.self.DataCentre {
				set.Local = list
			} else {
				set.Remote = append(set.Remote, list...)
			}
			s.endpoints[service] = set
		}
		for service, list := range centre.LastResortsByService() {
			set := s.endpoints[service]
			set.LastResort = append(set.LastResort, list...)
			s.endpoints[service] = set
		}
	}
}

// CheckStart applies the StartRule of the snapshot. Traffic calls it immediately
// before a start.
func (s *Snapshot) CheckStart(d *contract.Document, idempotent bool, dataCentre string, now time.Time) *Refusal {
	return s.startRule.CheckStart(d, idempotent, dataCentre, now)
}

// Freshness returns the evidence of the configuration's age.
func (s *Snapshot) Freshness() link.Freshness { return s.startRule.freshness }

// Document returns the document of a service, nil when there is none.
func (s *Snapshot) Document(service string) *contract.Document {
	o, _ := contract.Find(s.objects[contract.KindDocument], service)
	return o.Document
}

// Key returns the key with the given hash, nil when there is none in force.
func (s *Snapshot) Key(hash contract.KeyHash) *contract.Key { return s.keys[hash] }

// Team returns a team, nil when there is none.
func (s *Snapshot) Team(name string) *contract.Team {
	o, _ := contract.Find(s.objects[contract.KindTeam], name)
	return o.Team
}

// Endpoints returns the endpoints of a service that may get new work.
func (s *Snapshot) Endpoints(service string) EndpointSet { return s.endpoints[service] }

// NoEndpointRefusal returns the refusal of work for which no endpoint is
// available. It names the data centre when the service has endpoints in one
// that is out of service.
func (s *Snapshot) NoEndpointRefusal(d *contract.Document, now time.Time) *Refusal {
	if dataCentre, ok := s.outDataCentres[d.Service]; ok {
		if r := s.CheckStart(d, d.Idempotent, dataCentre, now); r != nil {
			return r
		}
	}
	return &Refusal{Code: CodeNoEndpoint, Reason: "no live endpoint for service " + d.Service, RetryAfter: staleRetryAfter}
}

// Objects returns the configuration objects of one kind, ordered by name.
func (s *Snapshot) Objects(kind contract.Kind) []contract.Object { return s.objects[kind] }

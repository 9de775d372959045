package fleet

import (
	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Snapshot is an immutable view of the fleet for traffic goroutines. Nothing in
// it may be changed after it was published.
type Snapshot struct {
	// Revision is the configuration revision of the view.
	Revision uint64
	// Loaded is false until the process has read a configuration once.
	Loaded    bool
	documents map[string]*contract.Document
	keys      map[contract.KeyHash]*contract.Key
	teams     map[string]*contract.Team
	endpoints map[string]EndpointSet
	objects   map[contract.Kind][]contract.Object
}

// EndpointSet holds the endpoints of one service that may get new work.
type EndpointSet struct {
	// Near are those of the process's own data centre.
	Near []machine.Endpoint
	// Far are those of other data centres.
	Far []machine.Endpoint
	// LastResort are suspect ones, for when Near and Far are empty.
	LastResort []machine.Endpoint
}

// TakeSnapshot returns a new view, or nil when nothing changed since the last
// call.
func (f *Fleet) TakeSnapshot() *Snapshot {
	if !f.dirty {
		return nil
	}
	f.dirty = false
	s := &Snapshot{
		Revision:  f.register.Revision(),
		Loaded:    f.config.loaded,
		documents: make(map[string]*contract.Document),
		keys:      make(map[contract.KeyHash]*contract.Key),
		teams:     make(map[string]*contract.Team),
		endpoints: make(map[string]EndpointSet),
		objects:   make(map[contract.Kind][]contract.Object),
	}
	f.fillConfig(s)
	f.fillEndpoints(s)
	return s
}

func (f *Fleet) fillConfig(s *Snapshot) {
	kinds := []contract.Kind{contract.KindTeam, contract.KindDocument, contract.KindKey, contract.KindDataCentre}
	for _, kind := range kinds {
		s.objects[kind] = f.register.List(kind)
	}
	for _, o := range s.objects[contract.KindTeam] {
		s.teams[o.Team.Name] = o.Team
	}
	for _, o := range s.objects[contract.KindDocument] {
		s.documents[o.Document.Service] = o.Document
	}
	for _, o := range s.objects[contract.KindKey] {
		s.keys[o.Key.Hash] = o.Key
	}
}

func (f *Fleet) fillEndpoints(s *Snapshot) {
	for service := range s.documents {
		var set EndpointSet
		for name, centre := range f.centres {
			set.LastResort = append(set.LastResort, centre.LastResorts(service)...)
			if name == f.self.DataCentre {
				set.Near = append(set.Near, centre.Candidates(service)...)
				continue
			}
			set.Far = append(set.Far, centre.Candidates(service)...)
		}
		s.endpoints[service] = set
	}
}

// Document returns the document of a service, nil when there is none.
func (s *Snapshot) Document(service string) *contract.Document { return s.documents[service] }

// Key returns the key with the given hash, nil when it was never granted or was
// withdrawn.
func (s *Snapshot) Key(hash contract.KeyHash) *contract.Key { return s.keys[hash] }

// Team returns a team, nil when there is none.
func (s *Snapshot) Team(name string) *contract.Team { return s.teams[name] }

// Endpoints returns the endpoints of a service that may get new work.
func (s *Snapshot) Endpoints(service string) EndpointSet { return s.endpoints[service] }

// Objects returns the configuration objects of one kind, ordered by name.
func (s *Snapshot) Objects(kind contract.Kind) []contract.Object { return s.objects[kind] }

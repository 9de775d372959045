// Package zone holds the failure domains of the fleet: regions, data centres
// and racks, with the machines that stand in them. It imports no codec, no
// network package and no clock.
package zone

import (
	"sort"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// DataCentre is one data centre with its endpoints.
type DataCentre struct {
	Name   string
	Region string
	// Out is true while operators have taken the data centre out.
	Out       bool
	endpoints map[string]*machine.Endpoint
}

// NewDataCentre returns a data centre without machines.
func NewDataCentre(name, region string) *DataCentre {
	return &DataCentre{Name: name, Region: region, endpoints: make(map[string]*machine.Endpoint)}
}

// SetEndpoints replaces the endpoints by the listed ones. An endpoint that
// stays at its address keeps what was observed of it.
func (d *DataCentre) SetEndpoints(listed []machine.Endpoint, now time.Time) {
	next := make(map[string]*machine.Endpoint, len(listed))
	for _, e := range listed {
		known, ok := d.endpoints[e.ID]
		if !ok || known.Address != e.Address || known.Service != e.Service {
			known = &machine.Endpoint{
				ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, Address: e.Address,
				Phase: machine.EndpointLive, Load: new(machine.Load),
			}
		}
		known.ListAs(e.Phase, now)
		next[e.ID] = known
	}
	d.endpoints = next
}

// Endpoint returns the endpoint with the given id, nil when there is none.
func (d *DataCentre) Endpoint(id string) *machine.Endpoint { return d.endpoints[id] }

// ShareEndpoints sets the bounds of the entry instance with the given rank
// among count.
func (d *DataCentre) ShareEndpoints(rank, count int) {
	for _, e := range d.endpoints {
		e.Share(rank, count)
	}
}

// DueProbes returns the endpoints to probe at now, ordered by id. A data centre
// that is out is not probed.
func (d *DataCentre) DueProbes(now time.Time) []*machine.Endpoint {
	if d.Out {
		return nil
	}
	var list []*machine.Endpoint
	for _, e := range d.endpoints {
		if e.ProbeDue(now) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// NextProbe returns when the next probe is due; the zero time means never.
func (d *DataCentre) NextProbe() time.Time {
	var next time.Time
	if d.Out {
		return next
	}
	for _, e := range d.endpoints {
		if at := e.NextProbe(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// Candidates returns the endpoints of a service that may get new work, ordered
// by id. A data centre that is out has none.
func (d *DataCentre) Candidates(service string) []machine.Endpoint {
	return d.collect(service, (*machine.Endpoint).Takes)
}

// LastResorts returns the suspect endpoints of a service, ordered by id. Each
// may get one request when there is no candidate anywhere.
func (d *DataCentre) LastResorts(service string) []machine.Endpoint {
	return d.collect(service, (*machine.Endpoint).LastResort)
}

func (d *DataCentre) collect(service string, accept func(*machine.Endpoint) bool) []machine.Endpoint {
	if d.Out {
		return nil
	}
	var list []machine.Endpoint
	for _, e := range d.endpoints {
		if e.Service == service && accept(e) {
			list = append(list, *e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Endpoints returns all endpoints ordered by id.
func (d *DataCentre) Endpoints() []machine.Endpoint {
	list := make([]machine.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		list = append(list, *e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

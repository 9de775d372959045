package fleet

import (
	"sort"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// EndpointsSeen reports the platform's list of endpoints, which may lag behind
// their actual state.
type EndpointsSeen struct {
	Endpoints []machine.Endpoint
	// Version is the platform's version of the list.
	Version uint64
}

// Apply implements Event.
func (e EndpointsSeen) Apply(f *Fleet, now time.Time) []Action {
	byDataCentre := make(map[string][]machine.Endpoint)
	for _, endpoint := range e.Endpoints {
		byDataCentre[endpoint.DataCentre] = append(byDataCentre[endpoint.DataCentre], endpoint)
	}
	for name, centre := range f.centres {
		if centre.SetEndpoints(byDataCentre[name], now) {
			f.snapshotDirty = true
		}
	}
	f.divideEndpointLimits(now)
	return append([]Action{WatchEndpoints{After: e.Version}}, f.tickEndpoints(now)...)
}

// divideEndpointLimits divides the limit of each endpoint between the entry
// instances. The endpoints of this instance's data centre are divided between
// the instances there. The endpoints of other data centres are divided between
// all instances, which use them only when no endpoint of their own data centre
// is available.
func (f *Fleet) divideEndpointLimits(now time.Time) {
	local, all := []string{f.self.ID}, []string{f.self.ID}
	for _, l := range f.peers.members.Links() {
		if l.Member.Incarnation == 0 || l.Silent(now) {
			continue
		}
		all = append(all, l.Member.ID)
		if l.Member.DataCentre == f.self.DataCentre {
			local = append(local, l.Member.ID)
		}
	}
	for name, centre := range f.centres {
		members := all
		if name == f.self.DataCentre {
			members = local
		}
		if centre.DivideEndpointLimits(rank(f.self.ID, members), len(members)) {
			f.snapshotDirty = true
		}
	}
}

// rank returns the number of ids that sort before id.
func rank(id string, ids []string) int {
	n := 0
	for _, other := range ids {
		if other < id {
			n++
		}
	}
	return n
}

// EndpointEvidence is the outcome of one attempt as evidence of the endpoint's
// health.
type EndpointEvidence string

// Kinds of evidence.
const (
	EvidenceAnswered EndpointEvidence = "answered"
	// EvidenceSilent means that the attempt timed out.
	EvidenceSilent EndpointEvidence = "silent"
	// EvidenceBroken means that the connection was refused or ended without a
	// valid answer.
	EvidenceBroken EndpointEvidence = "broken"
	// EvidenceLeaving means that the endpoint announced its shutdown.
	EvidenceLeaving EndpointEvidence = "leaving"
)

// EndpointReport reports the evidence of one attempt. Traffic sends it for
// failures, for endpoints that shut down, and for answers of endpoints that are
// not live.
type EndpointReport struct {
	DataCentre, ID, Address string
	Evidence                EndpointEvidence
	// Began is when the attempt began.
	Began time.Time
	// Reason is the error of the attempt.
	Reason string
}

// Apply implements Event. A report is ignored when the address of the endpoint
// has changed since the attempt.
func (e EndpointReport) Apply(f *Fleet, now time.Time) []Action {
	return f.applyEndpointEvidence(e.DataCentre, e.ID, e.Address, now, e.Reason, func(endpoint *machine.Endpoint) {
		switch e.Evidence {
		case EvidenceAnswered:
			endpoint.RecordAnswer(now)
		case EvidenceSilent:
			endpoint.ConnectionFailed(e.Began, false, now)
		case EvidenceBroken:
			endpoint.ConnectionBroken(e.Began, now)
		case EvidenceLeaving:
			endpoint.AnnouncedLeaving(now)
		}
	})
}

// ProbeEndpoint opens a new connection to an endpoint and sends a request that
// runs no work. The result is EndpointProbed.
type ProbeEndpoint struct {
	DataCentre, ID, Address string
}

func (ProbeEndpoint) isAction() {}

// EndpointProbed reports the end of a ProbeEndpoint.
type EndpointProbed struct {
	DataCentre, ID, Address string
	Answered, Leaving       bool
	Reason                  string
}

// Apply implements Event.
func (e EndpointProbed) Apply(f *Fleet, now time.Time) []Action {
	return f.applyEndpointEvidence(e.DataCentre, e.ID, e.Address, now, e.Reason, func(endpoint *machine.Endpoint) {
		endpoint.EndProbe(e.Answered, e.Leaving, now)
	})
}

// applyEndpointEvidence applies evidence to an endpoint, records a change of
// its phase, and starts the probes that are due. Evidence for another address
// is ignored.
func (f *Fleet) applyEndpointEvidence(dataCentre, id, address string, now time.Time, reason string, apply func(*machine.Endpoint)) []Action {
	centre := f.centres[dataCentre]
	if centre == nil {
		return nil
	}
	endpoint := centre.Endpoint(id)
	if endpoint == nil || endpoint.Address != address {
		return nil
	}
	phase, trial := endpoint.Phase, endpoint.NeedsTrial
	apply(endpoint)
	if endpoint.Phase != phase || endpoint.NeedsTrial != trial {
		f.snapshotDirty = true
		f.recordEndpointChange(endpoint, phase, reason, now)
	}
	return f.tickEndpoints(now)
}

func (f *Fleet) recordEndpointChange(e *machine.Endpoint, before machine.EndpointPhase, reason string, now time.Time) {
	f.recordDecision(Decision{
		At:      now,
		Subject: Subject{Kind: SubjectEndpoint, Name: e.ID},
		Action:  string(e.Phase),
		Reason:  reason,
		Inputs: []Input{
			{Name: "before", Value: string(before)},
			{Name: "trial", Value: strconv.FormatBool(e.NeedsTrial)},
			{Name: "running", Value: strconv.Itoa(e.Load.Running())},
		},
	})
}

// tickEndpoints starts the probes that are due.
func (f *Fleet) tickEndpoints(now time.Time) []Action {
	var actions []Action
	for _, name := range f.dataCentreNames() {
		for _, e := range f.centres[name].DueProbes(now) {
			e.BeginProbe()
			actions = append(actions, ProbeEndpoint{DataCentre: name, ID: e.ID, Address: e.Address})
		}
	}
	f.endpointTimer.set(f.nextProbe())
	return actions
}

// nextProbe returns when the next probe of an endpoint is due. The zero time
// means that none is.
func (f *Fleet) nextProbe() time.Time {
	var next time.Time
	for _, centre := range f.centres {
		if at := centre.NextProbe(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (f *Fleet) dataCentreNames() []string {
	names := make([]string, 0, len(f.centres))
	for name := range f.centres {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// EndpointView is the state of one endpoint at one entry instance, for
// operators.
type EndpointView struct {
	machine.Endpoint
	// Running is the number of requests that this entry instance runs on the
	// endpoint.
	Running int
	// DataCentreOut is true while the endpoint's data centre is out of service.
	DataCentreOut bool
}

// EndpointQuery asks for all endpoints, ordered by data centre and id. Reply
// must have a free buffer place.
type EndpointQuery struct{ Reply chan<- []EndpointView }

// Apply implements Event.
func (e EndpointQuery) Apply(f *Fleet, now time.Time) []Action {
	var list []EndpointView
	for _, name := range f.dataCentreNames() {
		for _, endpoint := range f.centres[name].Endpoints() {
			list = append(list, EndpointView{
				Endpoint: endpoint, Running: endpoint.Load.Running(), DataCentreOut: f.centres[name].Out,
			})
		}
	}
	e.Reply <- list
	return nil
}

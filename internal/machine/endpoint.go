// Package machine holds the machines of the fleet: endpoints, instances, pools
// and workers, with the decisions that belong to each. It imports no codec, no
// network package and no clock.
package machine

import (
	"hash/fnv"
	"time"
)

// EndpointPhase is the state of an endpoint as one entry instance sees it.
type EndpointPhase string

// Phases of an endpoint.
const (
	EndpointLive EndpointPhase = "live"
	// EndpointSuspect means that a connection failed and no new one was tried
	// since, or that a probe succeeded and a trial request has to follow.
	EndpointSuspect EndpointPhase = "suspect"
	// EndpointLeaving means that the endpoint announced its departure. It gets
	// no new work.
	EndpointLeaving EndpointPhase = "leaving"
	// EndpointOut means that a new connection failed too. Only probes go there.
	EndpointOut EndpointPhase = "out"
)

// Limits of one endpoint, for all entry instances together.
const (
	EndpointRequests    = 8
	EndpointConnections = 64
)

// Times of endpoint decisions.
const (
	// ProbeTimeout bounds one probe of an endpoint.
	ProbeTimeout = time.Second
	probeBase    = 500 * time.Millisecond
	probeMax     = 30 * time.Second
	// leavingHold is how long an endpoint's own word that it leaves outweighs
	// the lagging list. After it the endpoint is probed, and a probe that is
	// answered with the same word starts the hold again.
	leavingHold = 2 * time.Minute
	// minEvidence is the shortest wait for an answer that counts as evidence
	// against an endpoint. A shorter one says more about the caller's deadline.
	minEvidence = 250 * time.Millisecond
)

// Endpoint is a back end that answers requests for one service.
type Endpoint struct {
	ID         string
	Service    string
	DataCentre string
	// Address is "ip:port".
	Address string
	Phase   EndpointPhase
	// Trial is true while a suspect endpoint answered a probe and has to answer
	// one request before it counts as live.
	Trial bool
	// Requests and Connections are the bounds of this entry instance.
	Requests, Connections int
	// Load counts what this entry instance has running there. Traffic
	// goroutines write it.
	Load *Load

	listed   EndpointPhase
	failures int
	probing  bool
	probeAt  time.Time
}

// Takes reports whether the endpoint may get new work like any other.
func (e *Endpoint) Takes() bool {
	return e.Phase == EndpointLive || e.Phase == EndpointSuspect && e.Trial
}

// LastResort reports whether the endpoint may get one request when no endpoint
// that Takes is left.
func (e *Endpoint) LastResort() bool { return e.Phase == EndpointSuspect && !e.Trial }

// ListAs merges what the platform's list says. The list lags, so that it cannot
// undo what was observed, but it can add that the endpoint leaves. A list that
// takes back its own "leaving" shows a restart in place.
func (e *Endpoint) ListAs(phase EndpointPhase, now time.Time) {
	before := e.listed
	e.listed = phase
	switch {
	case phase == EndpointLeaving:
		e.become(EndpointLeaving)
	case before == EndpointLeaving:
		e.become(EndpointOut)
		e.probeAt = now
	}
}

// Answered records a complete answer to a request.
func (e *Endpoint) Answered(now time.Time) {
	if e.Phase != EndpointLeaving {
		e.become(EndpointLive)
	}
}

// SaidLeaving records the endpoint's own word that it leaves.
func (e *Endpoint) SaidLeaving(now time.Time) {
	e.become(EndpointLeaving)
	e.probeAt = now.Add(leavingHold)
}

// ConnectionFailed records an attempt, begun at began, that got no valid answer
// on its connection. An endpoint that answered another request since then is
// alive, and only the connection was silent.
func (e *Endpoint) ConnectionFailed(began time.Time, refused bool, now time.Time) {
	if !refused && now.Sub(began) < minEvidence {
		return
	}
	if e.Load != nil && e.Load.AnsweredSince(began) {
		return
	}
	switch {
	case e.Phase == EndpointLive:
		e.become(EndpointSuspect)
		e.probeAt = now
	case e.Phase == EndpointSuspect && !e.probing:
		e.judgeOut(now)
	}
}

// ConnectionBroken records a connection that the endpoint closed without a
// valid answer. It is evidence however short the attempt was.
func (e *Endpoint) ConnectionBroken(began, now time.Time) { e.ConnectionFailed(began, true, now) }

// ProbeDue reports whether a probe must start at now.
func (e *Endpoint) ProbeDue(now time.Time) bool {
	at := e.NextProbe()
	return !at.IsZero() && !now.Before(at)
}

// NextProbe returns when the next probe is due; the zero time means never.
func (e *Endpoint) NextProbe() time.Time {
	if e.probing || e.Phase == EndpointLive || e.Trial || e.listed == EndpointLeaving {
		return time.Time{}
	}
	return e.probeAt
}

// BeginProbe records that a probe on a new connection was started.
func (e *Endpoint) BeginProbe() { e.probing = true }

// Probed records the end of a probe. Leaving is true when the endpoint answered
// it with that word.
//
// The answer to a first probe after one failed connection shows that only that
// connection was silent, so the endpoint is live again. An endpoint that was
// out must answer one trial request first.
func (e *Endpoint) Probed(answered, leaving bool, now time.Time) {
	if !e.probing {
		return
	}
	e.probing = false
	switch {
	case answered && leaving:
		e.SaidLeaving(now)
	case e.Phase == EndpointLive || e.listed == EndpointLeaving:
	case !answered:
		e.judgeOut(now)
	case e.Phase == EndpointSuspect:
		e.become(EndpointLive)
	default:
		e.become(EndpointSuspect)
		e.Trial = true
	}
}

func (e *Endpoint) judgeOut(now time.Time) {
	e.become(EndpointOut)
	e.failures++
	e.probeAt = now.Add(e.probePause())
}

// become enters a phase. The count of failures survives until the endpoint is
// live, so that an endpoint that fails its trials is tried ever less often.
func (e *Endpoint) become(p EndpointPhase) {
	e.Phase = p
	e.Trial = false
	if p == EndpointLive {
		e.failures = 0
		e.probeAt = time.Time{}
	}
}

// probePause doubles with each failure. A part that depends on the endpoint's
// name spreads the probes after many endpoints failed at once.
func (e *Endpoint) probePause() time.Duration {
	pause := probeMax
	if shift := e.failures - 1; shift < 6 {
		pause = min(probeBase<<max(shift, 0), probeMax)
	}
	return pause/2 + time.Duration(hash(e.ID)%1000)*pause/2000
}

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Share sets the bounds of the entry instance with the given rank among count
// that use the endpoint. What does not divide evenly goes to other ranks for
// each endpoint. The bounds of all ranks add up to the endpoint's limits as
// long as there are no more ranks than requests; above that each rank keeps one.
func (e *Endpoint) Share(rank, count int) {
	rotation := int(hash(e.ID) % uint32(max(count, 1)))
	e.Requests = portion(EndpointRequests, rank+rotation, count)
	e.Connections = portion(EndpointConnections, rank+rotation, count)
}

func portion(total, rank, count int) int {
	count = max(count, 1)
	part := total / count
	if rank%count < total%count {
		part++
	}
	return max(part, 1)
}

// Bound returns how many requests this entry instance may have running at the
// endpoint in its current phase.
func (e *Endpoint) Bound() int {
	if e.Phase == EndpointLive {
		return e.Requests
	}
	return 1
}

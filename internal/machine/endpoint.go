// Package machine models the machines of the fleet: endpoints, instances, pools
// and workers, with the decisions that concern each of them. It imports no
// codec, no network package and no clock.
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
	// EndpointSuspect means that a connection failed and no new connection has
	// been tried since then, or that a probe succeeded and a trial request has to follow.
	EndpointSuspect EndpointPhase = "suspect"
	// EndpointLeaving means that the endpoint announced that it is leaving. It
	// gets no new requests.
	EndpointLeaving EndpointPhase = "leaving"
	// EndpointOut means that a new connection failed too. The endpoint gets
	// only probes.
	EndpointOut EndpointPhase = "out"
)

// Limits of one endpoint, summed over all entry instances.
const (
	EndpointRequests    = 8
	EndpointConnections = 64
)

// Times that govern probes and phases of endpoints.
const (
	// ProbeTimeout bounds one probe of an endpoint.
	ProbeTimeout  = time.Second
	minProbePause = 500 * time.Millisecond
	maxProbePause = 30 * time.Second
	// leavingDuration is how long an endpoint's announcement that it is leaving
	// overrides the list, which lags. Then the endpoint is probed; an answer
	// that repeats the announcement restarts this period.
	leavingDuration = 2 * time.Minute
	// minSilence is the shortest wait for an answer that counts as evidence
	// against an endpoint. A shorter wait only shows that the caller's deadline
	// was short.
	minSilence = 250 * time.Millisecond
)

// Endpoint is a back end that answers requests for one service.
type Endpoint struct {
	ID         string
	Service    string
	DataCentre string
	// Address is "ip:port".
	Address string
	Phase   EndpointPhase
	// NeedsTrial is true for a suspect endpoint that answered a probe and must
	// answer one request before it counts as live.
	NeedsTrial bool
	// Requests and Connections are this entry instance's share of the
	// endpoint's limits.
	Requests, Connections int
	// Load counts the requests of this entry instance that run at the endpoint.
	// Traffic goroutines write it.
	Load *Load

	listed       EndpointPhase
	failedProbes int
	probing      bool
	probeAt      time.Time
}

// AcceptsRequests reports whether the endpoint may get new requests.
func (e *Endpoint) AcceptsRequests() bool {
	return e.Phase == EndpointLive || e.Phase == EndpointSuspect && e.NeedsTrial
}

// LastResort reports whether the endpoint may get one request when no endpoint
// AcceptsRequests.
func (e *Endpoint) LastResort() bool { return e.Phase == EndpointSuspect && !e.NeedsTrial }

// MergeListed merges the phase in the platform's list. The list lags, so it
// cannot override an observation, but it can add that the endpoint is leaving.
// If the list withdraws its own "leaving", the endpoint has restarted at the
// same address.
func (e *Endpoint) MergeListed(phase EndpointPhase, now time.Time) {
	previous := e.listed
	e.listed = phase
	switch {
	case phase == EndpointLeaving:
		e.enterPhase(EndpointLeaving)
	case previous == EndpointLeaving:
		e.enterPhase(EndpointOut)
		e.probeAt = now
	}
}

// RecordAnswer records a complete answer to a request.
func (e *Endpoint) RecordAnswer(now time.Time) {
	if e.Phase != EndpointLeaving {
		e.enterPhase(EndpointLive)
	}
}

// AnnouncedLeaving records that the endpoint announced that it is leaving.
func (e *Endpoint) AnnouncedLeaving(now time.Time) {
	e.enterPhase(EndpointLeaving)
	e.probeAt = now.Add(leavingDuration)
}

// ConnectionFailed records an attempt that started at began and got no valid
// answer on its connection. If the endpoint answered another request since
// then, it is alive and only the connection was silent.
func (e *Endpoint) ConnectionFailed(began time.Time, refused bool, now time.Time) {
	if !refused && now.Sub(began) < minSilence {
		return
	}
	if e.Load != nil && e.Load.AnsweredSince(began) {
		return
	}
	switch {
	case e.Phase == EndpointLive:
		e.enterPhase(EndpointSuspect)
		e.probeAt = now
	case e.Phase == EndpointSuspect && !e.probing:
		e.markOut(now)
	}
}

// ConnectionBroken records a connection that the endpoint closed without a
// valid answer. It counts as evidence even if the attempt was shorter than
// minSilence.
func (e *Endpoint) ConnectionBroken(began, now time.Time) { e.ConnectionFailed(began, true, now) }

// ProbeDue reports whether a probe must start at now.
func (e *Endpoint) ProbeDue(now time.Time) bool {
	at := e.NextProbe()
	return !at.IsZero() && !now.Before(at)
}

// NextProbe returns when the next probe is due; the zero time means never.
func (e *Endpoint) NextProbe() time.Time {
	if e.probing || e.Phase == EndpointLive || e.NeedsTrial || e.listed == EndpointLeaving {
		return time.Time{}
	}
	return e.probeAt
}

// BeginProbe records the start of a probe on a new connection.
func (e *Endpoint) BeginProbe() { e.probing = true }

// EndProbe records the end of a probe. Leaving is true if the answer announced
// that the endpoint is leaving.
//
// If the first probe after one failed connection is answered, only that
// connection was silent and the endpoint is live again. An endpoint that was
// out must answer a trial request first.
func (e *Endpoint) EndProbe(answered, leaving bool, now time.Time) {
	if !e.probing {
		return
	}
	e.probing = false
	switch {
	case answered && leaving:
		e.AnnouncedLeaving(now)
	case e.Phase == EndpointLive || e.listed == EndpointLeaving:
	case !answered:
		e.markOut(now)
	case e.Phase == EndpointSuspect:
		e.enterPhase(EndpointLive)
	default:
		e.enterPhase(EndpointSuspect)
		e.NeedsTrial = true
	}
}

func (e *Endpoint) markOut(now time.Time) {
	e.enterPhase(EndpointOut)
	e.failedProbes++
	e.probeAt = now.Add(e.probePause())
}

// enterPhase sets the phase. The number of failed probes is reset only when the
// endpoint is live, so that an endpoint that fails its trial requests is probed
// at growing intervals.
func (e *Endpoint) enterPhase(p EndpointPhase) {
	e.Phase = p
	e.NeedsTrial = false
	if p == EndpointLive {
		e.failedProbes = 0
		e.probeAt = time.Time{}
	}
}

// probePause returns the pause before the next probe. It doubles with each
// failure. A part that depends on the endpoint's id spreads the probes when
// many endpoints fail at the same time.
func (e *Endpoint) probePause() time.Duration {
	pause := maxProbePause
	if shift := e.failedProbes - 1; shift < 6 {
		pause = min(minProbePause<<max(shift, 0), maxProbePause)
	}
	return pause/2 + time.Duration(hash(e.ID)%1000)*pause/2000
}

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// SetShare sets the bounds of the entry instance with the given rank among the
// count instances that use the endpoint. The remainder of the division goes to
// different ranks for each endpoint. The bounds of all ranks add up to the
// endpoint's limits unless there are more ranks than requests; then each rank
// keeps one.
func (e *Endpoint) SetShare(rank, count int) {
	offset := int(hash(e.ID) % uint32(max(count, 1)))
	e.Requests = shareOf(EndpointRequests, rank+offset, count)
	e.Connections = shareOf(EndpointConnections, rank+offset, count)
}

func shareOf(total, rank, count int) int {
	count = max(count, 1)
	part := total / count
	if rank%count < total%count {
		part++
	}
	return max(part, 1)
}

// Bound returns how many requests this entry instance may run at the endpoint
// in its current phase.
func (e *Endpoint) Bound() int {
	if e.Phase == EndpointLive {
		return e.Requests
	}
	return 1
}

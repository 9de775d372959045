package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// DefaultFreshnessHorizon is the freshness horizon when the settings name none.
const DefaultFreshnessHorizon = 4 * time.Second

// staleRetryAfter is the RetryAfter of a refusal because of a stale
// configuration, a data centre that is out of service or the lack of a live
// endpoint. It equals the period in which evidence of freshness is gathered.
const staleRetryAfter = time.Second

// CodeDataCentreOut means that operators took the data centre out of service.
const CodeDataCentreOut = "datacentre-out"

// StartRule decides whether work may start, based on the age of the
// configuration and on the data centres that are out of service. Each snapshot
// contains a copy, so that a traffic goroutine can repeat the check immediately
// before the start.
type StartRule struct {
	freshness link.Freshness
	// outDataCentres maps each data centre that is out of service to the operators'
	// reason. The map is shared with snapshots: it is replaced and never
	// changed.
	outDataCentres map[string]string
}

// CheckStart returns nil when work of the document may start in a data centre at
// now, otherwise the refusal. With an empty dataCentre only the age of the
// configuration is checked, for callers that choose the data centre later.
//
// The age is checked first, because a stale configuration does not show whether
// the data centre is still out of service.
func (r *StartRule) CheckStart(d *contract.Document, idempotent bool, dataCentre string, now time.Time) *Refusal {
	if !r.freshness.Fresh(d.Staleness(idempotent), now) {
		return &Refusal{Code: CodeStaleConfiguration, Reason: r.staleReason(d, idempotent, now), RetryAfter: staleRetryAfter}
	}
	reason, out := r.outDataCentres[dataCentre]
	if !out {
		return nil
	}
	text := "data centre " + dataCentre + " was taken out of service by operators"
	if reason != "" {
		text += ": " + reason
	}
	return &Refusal{Code: CodeDataCentreOut, Reason: text, RetryAfter: staleRetryAfter}
}

func (r *StartRule) staleReason(d *contract.Document, idempotent bool, now time.Time) string {
	limit := max(r.freshness.Horizon(), d.Staleness(idempotent))
	if r.freshness.AsOf().IsZero() {
		return "the configuration was never known to be the newest"
	}
	text := fmt.Sprintf("the configuration was last known to be the newest %d ms ago, the limit for service %s is %d ms",
		r.freshness.Age(now).Milliseconds(), d.Service, limit.Milliseconds())
	if r.freshness.Behind() {
		text += " and a newer revision exists"
	}
	return text
}

// Freshness returns the evidence of the configuration's age.
func (r *StartRule) Freshness() link.Freshness { return r.freshness }

// CheckStart applies the current StartRule on the control thread.
func (f *Fleet) CheckStart(d *contract.Document, idempotent bool, dataCentre string, now time.Time) *Refusal {
	return f.startRule.CheckStart(d, idempotent, dataCentre, now)
}

// checkService checks the service of a request before its data centre is
// chosen. It returns nil or the refusal. A refusal by CheckStart is recorded
// under the request id.
func (f *Fleet) checkService(requestID, service string, nonIdempotent bool, now time.Time) *Refusal {
	object, ok := f.register.Get(contract.Ref{Kind: contract.KindDocument, Name: service})
	if !ok {
		return &Refusal{Code: CodeUnknownService, Reason: "no document for service " + service}
	}
	d := object.Document
	refusal := f.CheckStart(d, d.Idempotent && !nonIdempotent, "", now)
	if refusal != nil {
		f.recordRefusal(requestID, service, refusal, now)
	}
	return refusal
}

// recordRefusal records why a request was refused.
func (f *Fleet) recordRefusal(requestID, service string, r *Refusal, now time.Time) {
	f.recordDecision(Decision{
		At:      now,
		Subject: Subject{Kind: SubjectRefusal, Name: requestID},
		Action:  "refuse",
		Reason:  r.Code + ": " + r.Reason,
		Inputs:  []Input{{Name: "service", Value: service}},
	})
}

// RequestRefused reports a request that traffic refused immediately before its
// start, so that the refusal is recorded.
type RequestRefused struct {
	RequestID, Service string
	Refusal            *Refusal
}

// Apply implements Event.
func (e RequestRefused) Apply(f *Fleet, now time.Time) []Action {
	f.recordRefusal(e.RequestID, e.Service, e.Refusal, now)
	return nil
}

// markFreshnessDirty marks the freshness of the snapshot as outdated.
func (f *Fleet) markFreshnessDirty() { f.freshnessDirty = true }

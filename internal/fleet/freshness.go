package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// DefaultHorizon is the freshness horizon when the settings name none.
const DefaultHorizon = 4 * time.Second

// staleRetry is when a caller that was refused because of an old configuration
// may try again. Evidence is gathered every second.
const staleRetry = time.Second

// CodeCentreOut means that operators took the data centre out.
const CodeCentreOut = "datacentre-out"

// StartRule decides whether work may start, from the age of the configuration
// and the data centres that are out. It is a value: a snapshot holds a copy, so
// that a traffic goroutine can check again at the moment of the start.
type StartRule struct {
	fresh link.Freshness
	// out maps each data centre that is out to the operators' reason. It is
	// never changed after it was set.
	out map[string]string
}

// MayStart returns nil when work of the document may start in a data centre at
// now, otherwise the refusal. An empty dataCentre checks the age only, for
// callers that choose the data centre later.
//
// The age is checked first: an old configuration does not tell whether the data
// centre is still out.
func (r *StartRule) MayStart(d *contract.Document, idempotent bool, dataCentre string, now time.Time) *Refusal {
	if !r.fresh.Fresh(d.Staleness(idempotent), now) {
		return &Refusal{Code: CodeStale, Reason: r.staleReason(d, idempotent, now), RetryAfter: staleRetry}
	}
	reason, out := r.out[dataCentre]
	if !out {
		return nil
	}
	text := "data centre " + dataCentre + " was taken out by operators"
	if reason != "" {
		text += ": " + reason
	}
	return &Refusal{Code: CodeCentreOut, Reason: text, RetryAfter: staleRetry}
}

func (r *StartRule) staleReason(d *contract.Document, idempotent bool, now time.Time) string {
	limit := max(r.fresh.Horizon(), d.Staleness(idempotent))
	if r.fresh.AsOf().IsZero() {
		return "the configuration was never known to be the newest"
	}
	text := fmt.Sprintf("the configuration was last known to be the newest %d ms ago, the limit for service %s is %d ms",
		r.fresh.Age(now).Milliseconds(), d.Service, limit.Milliseconds())
	if r.fresh.Behind() {
		text += " and a newer revision exists"
	}
	return text
}

// Freshness returns the evidence that the rule decides from.
func (r *StartRule) Freshness() link.Freshness { return r.fresh }

// MayStart is StartRule.MayStart on the control thread.
func (f *Fleet) MayStart(d *contract.Document, idempotent bool, dataCentre string, now time.Time) *Refusal {
	return f.start.MayStart(d, idempotent, dataCentre, now)
}

// mayAdmit checks the service of a request before its data centre is chosen and
// records a refusal under the request id.
func (f *Fleet) mayAdmit(requestID, service string, nonIdempotent bool, now time.Time) *Refusal {
	object, ok := f.register.Get(contract.Ref{Kind: contract.KindDocument, Name: service})
	if !ok {
		return &Refusal{Code: CodeUnknownService, Reason: "no document for service " + service}
	}
	d := object.Document
	refusal := f.MayStart(d, d.Idempotent && !nonIdempotent, "", now)
	if refusal != nil {
		f.ExplainRefusal(requestID, service, refusal, now)
	}
	return refusal
}

// ExplainRefusal records why a request was refused.
func (f *Fleet) ExplainRefusal(requestID, service string, r *Refusal, now time.Time) {
	f.Explain(Decision{
		At:      now,
		Subject: Subject{Kind: SubjectRefusal, Name: requestID},
		Action:  "refuse",
		Reason:  r.Code + ": " + r.Reason,
		Inputs:  []Input{{Name: "service", Value: service}},
	})
}

// RefusedAtStart reports a request that traffic refused at the moment of its
// start.
type RefusedAtStart struct {
	RequestID, Service string
	Refusal            *Refusal
}

// Apply implements Event.
func (e RefusedAtStart) Apply(f *Fleet, now time.Time) []Action {
	f.ExplainRefusal(e.RequestID, e.Service, e.Refusal, now)
	return nil
}

// freshened marks new evidence, so that traffic sees it.
func (f *Fleet) freshened() { f.freshDirty = true }

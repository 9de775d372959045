package fleet

import "time"

// Refusal codes. A refusal always means that the work did not run.
const (
	CodeNotReady       = "not-ready"
	CodeUnknownService = "unknown-service"
	CodeKeyRefused     = "key-refused"
	CodeUpperLimit     = "upper-limit"
	CodeNoEndpoint     = "no-endpoint"
	CodeDeadline       = "deadline"
	CodeBadRequest     = "bad-request"
	CodeOverloaded     = "overloaded"
	CodeStale          = "stale-configuration"
)

// Refusal says why work was not run.
type Refusal struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	// RetryAfter is when a repeat may succeed; 0 means that it will not.
	RetryAfter time.Duration `json:"-"`
}

// Admission is the answer to Admit.
type Admission struct {
	// Refusal is nil when the work may start.
	Refusal *Refusal
}

// Admit asks for one slot of a team before a request is sent. Reply must have
// a free buffer place, since the control thread does not wait.
type Admit struct {
	// RequestID names the request in explanations.
	RequestID string
	Team      string
	Service   string
	// NonIdempotent is the caller's wish; the document may say the same.
	NonIdempotent bool
	Reply         chan<- Admission
}

// Apply implements Event.
func (e Admit) Apply(f *Fleet, now time.Time) []Action {
	e.Reply <- Admission{Refusal: f.mayAdmit(e.RequestID, e.Service, e.NonIdempotent, now)}
	return nil
}

// Release gives back the slot of a finished request.
type Release struct {
	Team    string
	Service string
}

// Apply implements Event.
func (e Release) Apply(f *Fleet, now time.Time) []Action { return nil }

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
	// CodePlatform means that a claim needs the platform, which is not
	// reachable.
	CodePlatform = "platform-unavailable"
	// CodeKeyReused means that an idempotency key belongs to another body.
	CodeKeyReused = "idempotency-key-reused"
	// CodeTicketRefused means that a ticket is forged or belongs to another
	// team.
	CodeTicketRefused = "ticket-refused"
	// CodeFirstNotRun means that the call which this one repeats was not run.
	CodeFirstNotRun = "first-not-run"
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
	Team    string
	Service string
	Reply   chan<- Admission
}

// Apply implements Event.
func (e Admit) Apply(f *Fleet, now time.Time) []Action {
	e.Reply <- Admission{}
	return nil
}

// Release gives back the slot of a finished request.
type Release struct {
	Team    string
	Service string
}

// Apply implements Event.
func (e Release) Apply(f *Fleet, now time.Time) []Action { return nil }

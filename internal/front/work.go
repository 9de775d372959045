package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// HTTP headers of requests and answers between callers and entry instances.
const (
	// HeaderKey holds the secret of the caller's key.
	HeaderKey = "Crocus-Key"
	// HeaderDeadline holds the time for which the caller waits, in milliseconds.
	HeaderDeadline = "Crocus-Deadline-Ms"
	// HeaderIdempotent set to "false" forbids another attempt after one that an
	// endpoint may have run.
	HeaderIdempotent = "Crocus-Idempotent"
	// HeaderIdempotencyKey holds a ticket or a key chosen by the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome of an answer holds the traffic.OutcomeKind.
	HeaderOutcome = "Crocus-Outcome"
	// HeaderRequestID of an answer holds the id of the request.
	HeaderRequestID = "Crocus-Request-Id"
	// HeaderRepeated of an answer is "true" when the outcome was recorded by an
	// earlier call with the same idempotency key.
	HeaderRepeated = "Crocus-Repeated"
)

const (
	// DefaultDeadline applies to requests without HeaderDeadline.
	DefaultDeadline = 10 * time.Second
	// MaxDeadline is the largest valid value of HeaderDeadline.
	MaxDeadline = 60 * time.Second
)

func (s *Server) workRoutes() []route {
	return []route{{method: http.MethodPost, prefix: "/v1/work/", handle: s.serveWork}}
}

// serveWork serves POST /v1/work/{service}.
func (s *Server) serveWork(x *exchange, service string) {
	deadline, ok := s.deadline(x)
	if !ok {
		writeOutcome(x, traffic.Outcome{Kind: traffic.NotRun, Refusal: &fleet.Refusal{
			Code: fleet.CodeBadRequest, Reason: HeaderDeadline + " must be 1 to 60000 milliseconds",
		}})
		return
	}
	r := traffic.Request{
		ID:             newRequestID(),
		Service:        service,
		Secret:         x.header(HeaderKey),
		Body:           x.body,
		Deadline:       deadline,
		IdempotencyKey: x.header(HeaderIdempotencyKey),
		NonIdempotent:  x.header(HeaderIdempotent) == "false",
	}
	x.Header().Set(HeaderRequestID, r.ID)
	started := s.deps.Clock()
	// The context of the request ends when the caller closes the connection. A request
	// that has been sent is then still finished, so that its outcome is recorded.
	outcome := s.deps.Traffic.Serve(context.Background(), r)
	s.recordMetrics(outcome, s.deps.Clock().Sub(started))
	writeOutcome(x, outcome)
}

// recordMetrics adds an outcome and its duration to the metrics of its team.
func (s *Server) recordMetrics(o traffic.Outcome, d time.Duration) {
	code := ""
	if o.Refusal != nil {
		code = o.Refusal.Code
	}
	s.deps.Metrics.RecordRequest(o.Team, string(o.Kind), code, d)
}

// deadline returns the deadline of a request. It returns false when the value of
// HeaderDeadline is invalid.
func (s *Server) deadline(x *exchange) (time.Time, bool) {
	text := x.header(HeaderDeadline)
	if text == "" {
		return s.deps.Clock().Add(DefaultDeadline), true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || d <= 0 || d > MaxDeadline {
		return time.Time{}, false
	}
	return s.deps.Clock().Add(d), true
}

// newRequestID returns a random id of 128 bits in hexadecimal.
func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	var text [2 * len(id)]byte
	hex.Encode(text[:], id[:])
	return string(text[:])
}

// refusalStatus maps refusal codes to HTTP statuses.
var refusalStatus = map[string]int{
	fleet.CodeNotReady:             http.StatusServiceUnavailable,
	fleet.CodeUnknownService:       http.StatusNotFound,
	fleet.CodeKeyRefused:           http.StatusForbidden,
	fleet.CodeUpperLimit:           http.StatusTooManyRequests,
	fleet.CodeNoEndpoint:           http.StatusServiceUnavailable,
	fleet.CodeDeadline:             http.StatusGatewayTimeout,
	fleet.CodeBadRequest:           http.StatusBadRequest,
	fleet.CodeOverloaded:           http.StatusServiceUnavailable,
	fleet.CodeStaleConfiguration:   http.StatusServiceUnavailable,
	fleet.CodePlatformUnavailable:  http.StatusServiceUnavailable,
	fleet.CodeIdempotencyKeyReused: http.StatusUnprocessableEntity,
	fleet.CodeTicketRefused:        http.StatusForbidden,
	fleet.CodeFirstNotRun:          http.StatusServiceUnavailable,
	fleet.CodeDataCentreOut:        http.StatusServiceUnavailable,
}

// writeOutcome writes the reply to a request.
func writeOutcome(x *exchange, o traffic.Outcome) {
	x.Header().Set(HeaderOutcome, string(o.Kind))
	if o.Repeated {
		x.Header().Set(HeaderRepeated, "true")
	}
	switch o.Kind {
	case traffic.Answered:
		x.respond(answerStatus(o.Status), "text/plain; charset=utf-8", o.Body)
	case traffic.NotRun:
		writeError(x, refusalStatus[o.Refusal.Code], Error{
			Code: o.Refusal.Code, Reason: o.Refusal.Reason, RetryAfterMS: o.Refusal.RetryAfter.Milliseconds(),
		})
	default:
		writeError(x, http.StatusBadGateway, Error{Code: string(traffic.Unknown), Reason: o.Reason})
	}
}

// answerStatus returns the HTTP status with which an endpoint's answer is passed on. A
// status that can't end an answer becomes 502.
func answerStatus(status int) int {
	if status < http.StatusOK || status > 999 {
		return http.StatusBadGateway
	}
	return status
}

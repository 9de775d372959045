package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

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
	return []route{{method: fasthttp.MethodPost, prefix: "/v1/work/", handle: s.serveWork}}
}

// serveWork serves POST /v1/work/{service}.
func (s *Server) serveWork(ctx *fasthttp.RequestCtx, service string) {
	deadline, ok := s.deadline(ctx)
	if !ok {
		writeOutcome(ctx, traffic.Outcome{Kind: traffic.NotRun, Refusal: &fleet.Refusal{
			Code: fleet.CodeBadRequest, Reason: HeaderDeadline + " must be 1 to 60000 milliseconds",
		}})
		return
	}
	r := traffic.Request{
		ID:             newRequestID(),
		Service:        service,
		Secret:         string(ctx.Request.Header.Peek(HeaderKey)),
		Body:           ctx.PostBody(),
		Deadline:       deadline,
		IdempotencyKey: string(ctx.Request.Header.Peek(HeaderIdempotencyKey)),
		NonIdempotent:  string(ctx.Request.Header.Peek(HeaderIdempotent)) == "false",
	}
	ctx.Response.Header.Set(HeaderRequestID, r.ID)
	started := s.deps.Clock()
	// fasthttp cancels its context when the server stops. Running requests must
	// still be finished then, so they use another context.
	outcome := s.deps.Traffic.Serve(context.Background(), r)
	s.recordMetrics(outcome, s.deps.Clock().Sub(started))
	writeOutcome(ctx, outcome)
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
func (s *Server) deadline(ctx *fasthttp.RequestCtx) (time.Time, bool) {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
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
	fleet.CodeNotReady:             fasthttp.StatusServiceUnavailable,
	fleet.CodeUnknownService:       fasthttp.StatusNotFound,
	fleet.CodeKeyRefused:           fasthttp.StatusForbidden,
	fleet.CodeUpperLimit:           fasthttp.StatusTooManyRequests,
	fleet.CodeNoEndpoint:           fasthttp.StatusServiceUnavailable,
	fleet.CodeDeadline:             fasthttp.StatusGatewayTimeout,
	fleet.CodeBadRequest:           fasthttp.StatusBadRequest,
	fleet.CodeOverloaded:           fasthttp.StatusServiceUnavailable,
	fleet.CodeStaleConfiguration:   fasthttp.StatusServiceUnavailable,
	fleet.CodePlatformUnavailable:  fasthttp.StatusServiceUnavailable,
	fleet.CodeIdempotencyKeyReused: fasthttp.StatusUnprocessableEntity,
	fleet.CodeTicketRefused:        fasthttp.StatusForbidden,
	fleet.CodeFirstNotRun:          fasthttp.StatusServiceUnavailable,
	fleet.CodeDataCentreOut:        fasthttp.StatusServiceUnavailable,
}

// writeOutcome writes the reply to a request.
func writeOutcome(ctx *fasthttp.RequestCtx, o traffic.Outcome) {
	ctx.Response.Header.Set(HeaderOutcome, string(o.Kind))
	if o.Repeated {
		ctx.Response.Header.Set(HeaderRepeated, "true")
	}
	switch o.Kind {
	case traffic.Answered:
		ctx.SetStatusCode(o.Status)
		ctx.SetBody(o.Body)
	case traffic.NotRun:
		writeError(ctx, refusalStatus[o.Refusal.Code], Error{
			Code: o.Refusal.Code, Reason: o.Refusal.Reason, RetryAfterMS: o.Refusal.RetryAfter.Milliseconds(),
		})
	default:
		writeError(ctx, fasthttp.StatusBadGateway, Error{Code: string(traffic.Unknown), Reason: o.Reason})
	}
}

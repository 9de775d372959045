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

// Headers of the caller's protocol.
const (
	HeaderKey            = "Crocus-Key"
	HeaderDeadline       = "Crocus-Deadline-Ms"
	HeaderIdempotent     = "Crocus-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Crocus-Outcome"
	HeaderRequestID      = "Crocus-Request-Id"
	// HeaderRepeated set to "true" means that the outcome is that of an earlier
	// call with the same idempotency key.
	HeaderRepeated = "Crocus-Repeated"
)

// Deadlines of requests.
const (
	DefaultDeadline = 10 * time.Second
	MaxDeadline     = 60 * time.Second
)

func (s *Server) workRoutes() []route {
	return []route{{method: fasthttp.MethodPost, prefix: "/v1/work/", handle: s.work}}
}

func (s *Server) work(ctx *fasthttp.RequestCtx, service string) {
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
	started := s.parts.Clock()
	// The context of fasthttp ends when the server stops; a running request must
	// be finished then, so it gets a context of its own.
	outcome := s.parts.Traffic.Serve(context.Background(), r)
	s.record(outcome, s.parts.Clock().Sub(started))
	writeOutcome(ctx, outcome)
}

// record adds the outcome to the metrics of its team.
func (s *Server) record(o traffic.Outcome, d time.Duration) {
	code := ""
	if o.Refusal != nil {
		code = o.Refusal.Code
	}
	s.parts.Metrics.Request(o.Team, string(o.Kind), code, d)
}

func (s *Server) deadline(ctx *fasthttp.RequestCtx) (time.Time, bool) {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return s.parts.Clock().Add(DefaultDeadline), true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || d <= 0 || d > MaxDeadline {
		return time.Time{}, false
	}
	return s.parts.Clock().Add(d), true
}

func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	var text [2 * len(id)]byte
	hex.Encode(text[:], id[:])
	return string(text[:])
}

// statusOf maps refusal codes to HTTP statuses.
var statusOf = map[string]int{
	fleet.CodeNotReady:       fasthttp.StatusServiceUnavailable,
	fleet.CodeUnknownService: fasthttp.StatusNotFound,
	fleet.CodeKeyRefused:     fasthttp.StatusForbidden,
	fleet.CodeUpperLimit:     fasthttp.StatusTooManyRequests,
	fleet.CodeNoEndpoint:     fasthttp.StatusServiceUnavailable,
	fleet.CodeDeadline:       fasthttp.StatusGatewayTimeout,
	fleet.CodeBadRequest:     fasthttp.StatusBadRequest,
	fleet.CodeOverloaded:     fasthttp.StatusServiceUnavailable,
	fleet.CodeStale:          fasthttp.StatusServiceUnavailable,
	fleet.CodePlatform:       fasthttp.StatusServiceUnavailable,
	fleet.CodeKeyReused:      fasthttp.StatusUnprocessableEntity,
	fleet.CodeTicketRefused:  fasthttp.StatusForbidden,
	fleet.CodeFirstNotRun:    fasthttp.StatusServiceUnavailable,
	fleet.CodeCentreOut:      fasthttp.StatusServiceUnavailable,
}

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
		writeError(ctx, statusOf[o.Refusal.Code], Error{
			Code: o.Refusal.Code, Reason: o.Refusal.Reason, RetryAfterMS: o.Refusal.RetryAfter.Milliseconds(),
		})
	default:
		writeError(ctx, fasthttp.StatusBadGateway, Error{Code: string(traffic.Unknown), Reason: o.Reason})
	}
}

package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/clientserver"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// newClients returns the clients of the server.
func (s *Server) newClients(capacity intake.Capacity, limits policy.RequestLimits) *clientserver.Clients {
	return clientserver.New(clientserver.Options{
		Capacity: capacity, Now: s.deps.Clock,
		Limits:        func() policy.RequestLimits { return limits },
		LogRefusals:   s.logRefusals,
		EncodeRefusal: encodeRefusal,
		Refuse: func(w http.ResponseWriter, r clientserver.Refusal) {
			for name, value := range refusalHeader(r) {
				w.Header().Set(name, value)
			}
			body := refusalBody(r)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.WriteHeader(clientRefusalStatus(r.Reason))
			// An error means that the caller has closed the connection.
			_, _ = w.Write(body)
		},
	})
}

func (s *Server) logRefusals(refusals map[intake.Reason]int64, connections int, requestBytes int64) {
	fields := logrus.Fields{"connections": connections, "request_bytes": requestBytes}
	for reason, count := range refusals {
		fields[string(reason)] = count
	}
	s.deps.Log.WithFields(fields).Warn("front: refused clients")
}

// clientRefusalStatus returns the HTTP status of a request that was refused before it was
// decoded.
func clientRefusalStatus(r intake.Reason) int {
	switch r {
	case intake.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case intake.HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

func refusalHeader(r clientserver.Refusal) map[string]string {
	return map[string]string{
		"Content-Type": "application/json", HeaderOutcome: string(traffic.NotRun),
		"Retry-After": strconv.Itoa(int(r.RetryAfter / time.Second)),
	}
}

func refusalBody(r clientserver.Refusal) []byte {
	code := fleet.CodeOverloaded
	if clientRefusalStatus(r.Reason) != http.StatusServiceUnavailable {
		code = fleet.CodeBadRequest
	}
	body, err := json.Marshal(Error{Code: code, Reason: r.Reason.Text(), RetryAfterMS: r.RetryAfter.Milliseconds()})
	if err != nil {
		panic("front: encode refusal: " + err.Error())
	}
	return body
}

// encodeRefusal encodes the whole answer to a client whose request is not read to its end.
func encodeRefusal(r clientserver.Refusal) []byte {
	status, body := clientRefusalStatus(r.Reason), refusalBody(r)
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range refusalHeader(r) {
		answer = fmt.Appendf(answer, "%s: %s\r\n", name, value)
	}
	return append(append(answer, "\r\n"...), body...)
}

// RegisterMetrics registers what the server has taken in of its clients.
func (s *Server) RegisterMetrics(m *telemetry.Metrics) error { return s.clients.RegisterMetrics(m) }

// Listen listens for clients on a TCP address.
func (s *Server) Listen(ctx context.Context, address string) (net.Listener, error) {
	return s.clients.Listen(ctx, intake.Callers, address)
}

// Watch ends the connections of clients that are overdue until ctx is done.
func (s *Server) Watch(ctx context.Context) error { return s.clients.Watch(ctx) }

package clientserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

const (
	// refusalRetryAfter is longer than the time in which the memory of stalled requests
	// becomes free under attack.
	refusalRetryAfter = time.Second
	// firstBodyBuffer is the first buffer for a body of unknown length; it doubles.
	firstBodyBuffer = 4 << 10
)

type connectionKey struct{}

// withConnection makes the connection known to the handlers of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(r *http.Request) *clientConn {
	return r.Context().Value(connectionKey{}).(*clientConn)
}

// connectionState follows the phases of the connections that the server knows.
func (s *Clients) connectionState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Answered(c.(*clientConn).state, s.options.Now())
}

// Admit passes the requests that the gate takes in to next.
func (s *Clients) Admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		size, lines := headSize(r)
		s.mu.Lock()
		refused := s.gate.Begin(c.state, size, lines, s.options.Now())
		crowded := s.gate.Crowded(c.state)
		s.mu.Unlock()
		if refused != "" {
			s.Refuse(w, s.refusal(c, w, refused))
			return
		}
		if crowded {
			w.Header().Set("Connection", "close")
		}
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		if recorder.status < http.StatusMultipleChoices {
			s.mu.Lock()
			s.gate.Prove(c.state)
			s.mu.Unlock()
		}
	})
}

// statusRecorder keeps the status of an answer. It is 200 if the handler sets none.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// WithoutBody is Admit for a server that takes no bodies.
func (s *Clients) WithoutBody(next http.Handler) http.Handler {
	return s.Admit(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, refusal := s.ReadBody(w, r); refusal != nil {
			s.Refuse(w, *refusal)
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// headSize returns the approximate size of a request's head and the number of its lines.
func headSize(r *http.Request) (size, lines int) {
	size, lines = len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
		}
	}
	return size, lines
}

// Refuse answers a request with a refusal of ReadBody.
func (s *Clients) Refuse(w http.ResponseWriter, r Refusal) { s.options.Refuse(w, r) }

// refusal returns the refusal of a request, after whose answer the connection ends.
func (s *Clients) refusal(c *clientConn, w http.ResponseWriter, reason intake.Reason) Refusal {
	s.mu.Lock()
	s.gate.Refused(c.state, s.options.Now())
	s.mu.Unlock()
	w.Header().Set("Connection", "close")
	return Refusal{reason, refusalRetryAfter}
}

// ReadBody reads the body of a request that Admit has passed on, after the gate has
// reserved memory for it. If the body is refused, it returns the refusal, which the caller
// has to answer.
func (s *Clients) ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connectionOf(r)
	s.mu.Lock()
	reason := s.gate.BeginBody(c.state, r.ContentLength, s.options.Now())
	s.mu.Unlock()
	var body []byte
	if reason == "" {
		body, reason = s.receiveBody(c, r)
	}
	if reason != "" {
		refusal := s.refusal(c, w, reason)
		return nil, &refusal
	}
	return body, nil
}

func (s *Clients) receiveBody(c *clientConn, r *http.Request) ([]byte, intake.Reason) {
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var reason intake.Reason
		if body, reason, err = s.receiveChunks(c, r.Body); reason != "" {
			return nil, reason
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.gate.Serve(c.state, s.options.Now()); reason != "" {
		return nil, reason
	}
	if err != nil {
		return nil, s.gate.Count(intake.BodyIncomplete)
	}
	return body, ""
}

// receiveChunks reads a body of unknown length. It reserves each buffer before it
// allocates it.
func (s *Clients) receiveChunks(c *clientConn, from io.Reader) ([]byte, intake.Reason, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, reason := s.extend(c, body)
			if reason != "" {
				return nil, reason, nil
			}
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, "", nil
		}
		if err != nil {
			return nil, "", err
		}
	}
}

// extend returns a copy of a body with room for more bytes. It refuses a body that is
// longer than the limit.
func (s *Clients) extend(c *clientConn, body []byte) ([]byte, intake.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.gate.MaxBody()
	if len(body) > limit {
		return nil, s.gate.Count(intake.BodyTooLarge)
	}
	size := min(max(firstBodyBuffer, 2*len(body)), limit+1)
	if reason := s.gate.Extend(c.state, size, size, s.options.Now()); reason != "" {
		return nil, reason
	}
	return append(make([]byte, 0, size), body...), ""
}

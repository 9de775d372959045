// Package endpointclient sends attempts and probes to endpoints over HTTP/1.1.
// It manages its own connections, because the client of fasthttp does not report
// whether any byte of a request was written.
package endpointclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Headers of the requests that entry instances send to endpoints, and of their
// answers.
const (
	// HeaderRequestID and HeaderAttempt identify the attempt. The endpoint
	// repeats them in its answer.
	HeaderRequestID = "Crocus-Request-Id"
	HeaderAttempt   = "Crocus-Attempt"
	// HeaderNotRun is "true" in an answer with status 503 when the endpoint did
	// not run the request.
	HeaderNotRun = "Crocus-Not-Run"
	// HeaderLeaving is "true" in any answer when the endpoint accepts no new
	// work.
	HeaderLeaving = "Crocus-Leaving"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxAnswerSize is the largest size of an answer's body, in bytes.
	maxAnswerSize = 1 << 20
)

// Errors of answers that are dropped.
var (
	// ErrForeignAnswer means that the answer names another request.
	ErrForeignAnswer = errors.New("answer belongs to another request")
	// ErrLateAnswer means that the answer names another attempt of the same
	// request, or that it arrived on an idle connection.
	ErrLateAnswer = errors.New("answer belongs to an earlier attempt")
	// ErrShortAnswer means that the answer ended before its declared length, or
	// that it declared no length and ended with the connection.
	ErrShortAnswer = errors.New("answer is shorter than declared")
	// ErrLongAnswer means that the answer exceeds its declared length or
	// maxAnswerSize.
	ErrLongAnswer = errors.New("answer is longer than declared or than 1 MiB")
)

// Client implements traffic.Sender. It is safe for concurrent use.
type Client struct {
	pool  *pool
	clock func() time.Time
	// Dropped counts the answers that were not delivered to a caller.
	Dropped DroppedAnswers
}

var _ traffic.Sender = (*Client)(nil)

// New returns a client without open connections. The caller must call Close.
func New(clock func() time.Time) *Client {
	c := &Client{clock: clock}
	c.pool = newPool(clock, &c.Dropped)
	return c
}

// Close closes the idle connections. Connections in use are closed when their
// attempts end.
func (c *Client) Close() { c.pool.close() }

// Send implements traffic.Sender. It returns when it has received an answer,
// when the connection fails or at the attempt's deadline. It does not use the
// context.
func (c *Client) Send(_ context.Context, e machine.Endpoint, a link.Attempt, body []byte) traffic.SendResult {
	conn, err := c.pool.acquire(e.Address, e.Connections, a.NewConnection, a.Deadline)
	if err != nil {
		return traffic.SendResult{End: link.AttemptUnsent, Err: errors.Wrapf(err, "endpoint %s", e.ID), DialFailed: errors.Is(err, errDial)}
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = conn.roundTrip(e, a, body, resp)
	result := c.classify(conn, a, resp, err)
	if result.Err != nil {
		result.Err = errors.Wrapf(result.Err, "endpoint %s", e.ID)
	}
	closing := resp.ConnectionClose() || conn.reader.Buffered() > 0
	c.pool.release(conn, result.End, closing)
	return result
}

// roundTrip writes the request and reads one answer.
func (c *conn) roundTrip(e machine.Endpoint, a link.Attempt, body []byte, resp *fasthttp.Response) error {
	if err := c.Conn.SetDeadline(a.Deadline); err != nil {
		return err
	}
	c.written = 0
	if err := c.writeRequest(e, a, body); err != nil {
		return err
	}
	return readAnswer(c.reader, resp)
}

// readAnswer reads one answer and checks its length against the declared one.
// It refuses an answer that declares no length and ends with the connection,
// because a truncated one cannot be distinguished from a complete one.
func readAnswer(r *bufio.Reader, resp *fasthttp.Response) error {
	const chunked, untilClose = -1, -2
	if err := resp.Header.Read(r); err != nil {
		return err
	}
	declared := resp.Header.ContentLength()
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return nil
	case declared == untilClose:
		return ErrShortAnswer
	}
	if err := resp.ReadBody(r, maxAnswerSize); err != nil {
		return err
	}
	if declared == chunked {
		// ReadBody has read the last chunk, so the body is complete.
		return resp.Header.ReadTrailer(r)
	}
	if declared != len(resp.Body()) {
		return ErrShortAnswer
	}
	return nil
}

func (c *conn) writeRequest(e machine.Endpoint, a link.Attempt, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/run/" + e.Service)
	req.Header.SetHost(e.Address)
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.SetBodyRaw(body)
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// classify returns the result of an attempt: the answer when it is complete and
// names the attempt, otherwise whether the endpoint may have run the request.
func (c *Client) classify(conn *conn, a link.Attempt, resp *fasthttp.Response, err error) traffic.SendResult {
	result := traffic.SendResult{End: link.AttemptLost, ReusedConnection: !conn.state.First()}
	if err != nil {
		result.Err = c.Dropped.countError(mapTransportError(err))
		result.TimedOut = isTimeout(err)
		if conn.written == 0 {
			result.End = link.AttemptUnsent
		}
		return result
	}
	result.Leaving = string(resp.Header.Peek(HeaderLeaving)) == "true"
	if err := checkAnswer(conn.reader, resp, a); err != nil {
		result.Err = c.Dropped.countError(err)
		return result
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderNotRun)) == "true" {
		result.End, result.Err = link.AttemptDeclined, errors.New("did not run the request")
		return result
	}
	result.End = link.AttemptAnswered
	result.Status = resp.StatusCode()
	result.Body = append([]byte(nil), resp.Body()...)
	return result
}

// checkAnswer returns an error when the answer names another attempt or when
// more data follows it.
func checkAnswer(r *bufio.Reader, resp *fasthttp.Response, a link.Attempt) error {
	if string(resp.Header.Peek(HeaderRequestID)) != a.RequestID {
		return ErrForeignAnswer
	}
	if number, err := fasthttp.ParseUint(resp.Header.Peek(HeaderAttempt)); err != nil || number != a.Number {
		return ErrLateAnswer
	}
	if r.Buffered() > 0 {
		return ErrLongAnswer
	}
	return nil
}

// mapTransportError returns ErrLongAnswer or ErrShortAnswer for an error that
// means an answer of the wrong length. It returns other errors unchanged.
func mapTransportError(err error) error {
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return ErrLongAnswer
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ErrShortAnswer
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

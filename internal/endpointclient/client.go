// Package endpointclient sends attempts to endpoints over HTTP/1.1. It keeps
// its own connections, because the client of fasthttp does not tell whether a
// byte of a request was written.
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

// Headers between entry instances and endpoints.
const (
	HeaderRequestID = "Crocus-Request-Id"
	HeaderAttempt   = "Crocus-Attempt"
	// HeaderNotRun set to "true" with status 503 means that the endpoint did
	// not run the request.
	HeaderNotRun = "Crocus-Not-Run"
	// HeaderLeaving set to "true" on any answer means that the endpoint takes
	// no new work.
	HeaderLeaving = "Crocus-Leaving"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxAnswerSize is the largest body of an answer, in bytes.
	maxAnswerSize = 1 << 20
)

// Errors of attempts.
var (
	// ErrForeignAnswer means that the answer belongs to another request.
	ErrForeignAnswer = errors.New("answer belongs to another request")
	// ErrLateAnswer means that the answer belongs to an earlier attempt of the
	// same request.
	ErrLateAnswer = errors.New("answer belongs to an earlier attempt")
	// ErrShortAnswer means that the answer ended before its declared length or
	// declared none.
	ErrShortAnswer = errors.New("answer is shorter than declared")
	// ErrLongAnswer means that the answer is longer than declared or than the
	// limit.
	ErrLongAnswer = errors.New("answer is longer than declared or than 1 MiB")
)

// Client implements traffic.Sender. It is safe for concurrent use.
type Client struct {
	pool  *pool
	clock func() time.Time
	// Dropped counts the answers that were not delivered.
	Dropped Dropped
}

var _ traffic.Sender = (*Client)(nil)

// New returns a client without open connections.
func New(clock func() time.Time) *Client {
	c := &Client{clock: clock}
	c.pool = newPool(clock, &c.Dropped)
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Send implements traffic.Sender. It returns when a complete answer to this
// attempt arrived, when the connection failed or at the attempt's deadline.
func (c *Client) Send(_ context.Context, e machine.Endpoint, a link.Attempt, body []byte) traffic.SendResult {
	conn, err := c.pool.take(e.Address, e.Connections, a.NewConnection, a.Deadline)
	if err != nil {
		return traffic.SendResult{End: link.AttemptUnsent, Err: errors.Wrapf(err, "endpoint %s", e.ID), NoConnection: errors.Is(err, errDial)}
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = conn.roundTrip(e, a, body, resp)
	result := c.judge(conn, a, resp, err)
	if result.Err != nil {
		result.Err = errors.Wrapf(result.Err, "endpoint %s", e.ID)
	}
	closing := resp.ConnectionClose() || conn.reader.Buffered() > 0
	c.pool.put(conn, result.End, closing)
	return result
}

// roundTrip writes the request and reads one response.
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

// readAnswer reads one response and checks its received length against the
// declared one. An answer that ends with the connection declares no length, so
// that a cut one could not be told from a whole one; it is refused.
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
		// The last chunk marks the end, so the body is whole.
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

// judge decides what is known of the attempt. Only a complete answer that names
// the attempt counts.
func (c *Client) judge(conn *conn, a link.Attempt, resp *fasthttp.Response, err error) traffic.SendResult {
	result := traffic.SendResult{End: link.AttemptLost, KeptConnection: !conn.state.First()}
	if err != nil {
		result.Err = c.Dropped.count(transportError(err))
		result.Silent = isTimeout(err)
		if conn.written == 0 {
			result.End = link.AttemptUnsent
		}
		return result
	}
	result.Leaving = string(resp.Header.Peek(HeaderLeaving)) == "true"
	if err := matches(conn.reader, resp, a); err != nil {
		result.Err = c.Dropped.count(err)
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

// matches checks that the response is the whole answer to the attempt.
func matches(r *bufio.Reader, resp *fasthttp.Response, a link.Attempt) error {
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

// transportError names the errors that show a malformed answer.
func transportError(err error) error {
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return ErrLongAnswer
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ErrShortAnswer
	}
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

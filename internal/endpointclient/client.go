// Package endpointclient sends attempts to endpoints over HTTP.
package endpointclient

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Headers between entry instances and endpoints.
const (
	HeaderRequestID = "Crocus-Request-Id"
	HeaderAttempt   = "Crocus-Attempt"
)

// Limits of connections to endpoints.
const (
	maxConnections = 64
	dialTimeout    = 500 * time.Millisecond
	maxAnswerSize  = 1 << 20
)

var (
	errDial = errors.New("dial failed")
	// ErrForeignAnswer means that the answer belongs to another request.
	ErrForeignAnswer = errors.New("answer belongs to another request")
)

// Client implements traffic.Sender. It is safe for concurrent use.
type Client struct{ http *fasthttp.Client }

var _ traffic.Sender = (*Client)(nil)

// New returns a client without open connections.
func New() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:     maxConnections,
		MaxResponseBodySize: maxAnswerSize,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                dial,
	}}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return conn, nil
}

// Send implements traffic.Sender.
func (c *Client) Send(ctx context.Context, e machine.Endpoint, a traffic.Attempt) traffic.SendResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.Address + "/v1/run/" + e.Service)
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.SetBody(a.Body)
	if err := c.http.DoDeadline(req, resp, a.Deadline); err != nil {
		unsent := errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns)
		return traffic.SendResult{Sent: !unsent, Err: errors.Wrapf(err, "endpoint %s", e.ID)}
	}
	if !answers(resp, a) {
		return traffic.SendResult{Sent: true, Err: ErrForeignAnswer}
	}
	body := append([]byte(nil), resp.Body()...)
	return traffic.SendResult{Sent: true, Status: resp.StatusCode(), Body: body}
}

// answers reports whether the response repeats the id and number of the attempt.
func answers(resp *fasthttp.Response, a traffic.Attempt) bool {
	id := string(resp.Header.Peek(HeaderRequestID))
	number := string(resp.Header.Peek(HeaderAttempt))
	return id == a.RequestID && number == strconv.Itoa(a.Number)
}

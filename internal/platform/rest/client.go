package rest

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// CallTimeout bounds one call besides its own waiting time.
const CallTimeout = 2 * time.Second

// maxAnswerSize bounds an answer, in bytes. A list may hold many values.
const maxAnswerSize = 64 << 20

// Client is a platform reached over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.Client
}

var _ platform.Platform = (*Client)(nil)

// errDial marks a failure before any byte was sent.
var errDial = errors.New("dial failed")

// NewClient returns a client for the platform at "ip:port".
func NewClient(address string) *Client {
	return &Client{
		address: address,
		http: &fasthttp.Client{
			MaxConnsPerHost:     1024,
			MaxResponseBodySize: maxAnswerSize,
			RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                dial,
		},
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, CallTimeout)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return conn, nil
}

// call sends one request. A failure after the request may have been sent is
// ErrUnknown; every other failure had no effect.
func (c *Client) call(ctx context.Context, path string, body Call) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	payload, err := json.Marshal(body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode platform call")
	}
	deadline := time.Now().Add(CallTimeout + time.Duration(body.WaitMS)*time.Millisecond)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if body.WaitMS == 0 {
		return c.send(path, payload, deadline)
	}
	return c.sendCancellable(ctx, path, payload, deadline)
}

// sendCancellable returns as soon as ctx ends. A watch may wait for seconds, and
// fasthttp cannot cancel a call, so that its end is left to a goroutine.
func (c *Client) sendCancellable(ctx context.Context, path string, payload []byte, deadline time.Time) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := c.send(path, payload, deadline)
		done <- result{answer, err}
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return Answer{}, errors.Wrap(platform.ErrUnknown, ctx.Err().Error())
	}
}

func (c *Client) send(path string, payload []byte, deadline time.Time) (Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(payload)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return Answer{}, transportError(err)
	}
	return decode(resp)
}

func transportError(err error) error {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(platform.ErrUnknown, err.Error())
}

func decode(resp *fasthttp.Response) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return Answer{}, errors.Wrap(platform.ErrUnknown, "malformed answer: "+err.Error())
	}
	if answer.Error == "" {
		return answer, nil
	}
	if known, ok := errorsByName[answer.Error]; ok {
		return answer, known
	}
	return answer, errors.Wrap(platform.ErrUnavailable, answer.Error)
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Record, error) {
	return c.record(ctx, PathGet, Call{Key: key})
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	answer, err := c.call(ctx, PathList, Call{Prefix: prefix})
	return answer.Records, err
}

// Swap implements platform.Store.
func (c *Client) Swap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrTooLarge
	}
	answer, err := c.call(ctx, PathSwap, Call{Key: key, Expect: expect, Value: value, Lease: lease})
	return answer.Version, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Version) error {
	_, err := c.call(ctx, PathDelete, Call{Key: key, Expect: expect})
	return err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Record, error) {
	return c.record(ctx, PathWatch, Call{Key: key, After: uint64(after), WaitMS: wait.Milliseconds()})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	answer, err := c.call(ctx, PathGrant, Call{TTLMS: ttl.Milliseconds()})
	return answer.Lease, err
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := c.call(ctx, PathKeepAlive, Call{Lease: id})
	return err
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := c.call(ctx, PathRevoke, Call{Lease: id})
	return err
}

// WatchInstances implements platform.Directory.
func (c *Client) WatchInstances(ctx context.Context, after uint64, wait time.Duration) (platform.InstanceList, error) {
	answer, err := c.call(ctx, PathInstances, Call{After: after, WaitMS: wait.Milliseconds()})
	if err != nil {
		return platform.InstanceList{}, err
	}
	if answer.Instances == nil {
		return platform.InstanceList{}, errors.Wrap(platform.ErrUnknown, "answer without instances")
	}
	return *answer.Instances, nil
}

func (c *Client) record(ctx context.Context, path string, body Call) (platform.Record, error) {
	answer, err := c.call(ctx, path, body)
	if err != nil {
		return platform.Record{}, err
	}
	if len(answer.Records) != 1 {
		return platform.Record{}, errors.Wrap(platform.ErrUnknown, "answer without a record")
	}
	return answer.Records[0], nil
}

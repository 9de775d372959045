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

// CallTimeout bounds one dial and one call. The wait time of a watch is added to
// it.
const CallTimeout = 2 * time.Second

// maxResponseBytes bounds a response body, in bytes. One response can hold a
// whole list of records.
const maxResponseBytes = 64 << 20

// Client calls a platform over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.Client
}

var _ platform.Platform = (*Client)(nil)

// errDial marks a failure that occurred before any byte of the request was
// sent.
var errDial = errors.New("dial failed")

// NewClient returns a client of the platform at address, "ip:port". It connects
// on the first call and never retries a call.
func NewClient(address string) *Client {
	return &Client{
		address: address,
		http: &fasthttp.Client{
			MaxConnsPerHost:     1024,
			MaxResponseBodySize: maxResponseBytes,
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

// call sends one request. It returns platform.ErrOutcomeUnknown when the call
// failed after the request may have been sent. After every other error the call
// had no effect.
func (c *Client) call(ctx context.Context, path string, request Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	payload, err := json.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "encode request")
	}
	deadline := time.Now().Add(CallTimeout + time.Duration(request.WaitMS)*time.Millisecond)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if request.WaitMS == 0 {
		return c.send(path, payload, deadline)
	}
	return c.sendCancellable(ctx, path, payload, deadline)
}

// sendCancellable sends one request and returns as soon as ctx ends. fasthttp
// cannot cancel a call, and a watch may take seconds, so a goroutine waits for
// the response until the deadline.
func (c *Client) sendCancellable(ctx context.Context, path string, payload []byte, deadline time.Time) (Response, error) {
	type result struct {
		response Response
		err      error
	}
	done := make(chan result, 1)
	go func() {
		response, err := c.send(path, payload, deadline)
		done <- result{response, err}
	}()
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return Response{}, errors.Wrap(platform.ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (c *Client) send(path string, payload []byte, deadline time.Time) (Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(payload)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, transportError(err)
	}
	return decodeResponse(resp)
}

func transportError(err error) error {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
}

func decodeResponse(resp *fasthttp.Response) (Response, error) {
	var response Response
	if err := json.Unmarshal(resp.Body(), &response); err != nil {
		return Response{}, errors.Wrap(platform.ErrOutcomeUnknown, "malformed response: "+err.Error())
	}
	if response.Error == "" {
		return response, nil
	}
	if platformErr, ok := errorsByCode[response.Error]; ok {
		return response, platformErr
	}
	return response, errors.Wrap(platform.ErrUnavailable, response.Error)
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Record, error) {
	return c.callForRecord(ctx, PathGet, Request{Key: key})
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	response, err := c.call(ctx, PathList, Request{Prefix: prefix})
	return response.Records, err
}

// Swap implements platform.Store.
func (c *Client) Swap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrTooLarge
	}
	response, err := c.call(ctx, PathSwap, Request{Key: key, Expect: expect, Value: value, Lease: lease})
	return response.Version, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Version) error {
	_, err := c.call(ctx, PathDelete, Request{Key: key, Expect: expect})
	return err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, key string, lastVersion platform.Version, wait time.Duration) (platform.Record, error) {
	return c.callForRecord(ctx, PathWatch, Request{Key: key, After: uint64(lastVersion), WaitMS: wait.Milliseconds()})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	response, err := c.call(ctx, PathGrant, Request{TTLMS: ttl.Milliseconds()})
	return response.Lease, err
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := c.call(ctx, PathKeepAlive, Request{Lease: id})
	return err
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := c.call(ctx, PathRevoke, Request{Lease: id})
	return err
}

// WatchInstances implements platform.Instances.
func (c *Client) WatchInstances(ctx context.Context, lastVersion uint64, wait time.Duration) (platform.InstanceList, error) {
	response, err := c.call(ctx, PathWatchInstances, Request{After: lastVersion, WaitMS: wait.Milliseconds()})
	if err != nil {
		return platform.InstanceList{}, err
	}
	if response.Instances == nil {
		return platform.InstanceList{}, errors.Wrap(platform.ErrOutcomeUnknown, "response without instances")
	}
	return *response.Instances, nil
}

func (c *Client) callForRecord(ctx context.Context, path string, request Request) (platform.Record, error) {
	response, err := c.call(ctx, path, request)
	if err != nil {
		return platform.Record{}, err
	}
	if len(response.Records) != 1 {
		return platform.Record{}, errors.Wrap(platform.ErrOutcomeUnknown, "response without exactly one record")
	}
	return response.Records[0], nil
}

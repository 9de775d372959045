package endpointclient

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var _ control.Prober = (*Client)(nil)

// Probe implements control.Prober. It sends OPTIONS on a new connection: a
// method that HTTP defines to be without effect, so that any answer shows an
// endpoint that accepts, reads and answers.
func (c *Client) Probe(ctx context.Context, address string) (leaving bool, err error) {
	dialer := net.Dialer{Timeout: machine.ProbeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(errDial, err.Error())
	}
	defer raw.Close()
	if err := raw.SetDeadline(c.clock().Add(machine.ProbeTimeout)); err != nil {
		return false, err
	}
	conn := newConn(raw, address, link.NewConnection(c.clock()))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodOptions)
	req.SetRequestURI("/")
	req.Header.SetHost(address)
	req.SetConnectionClose()
	if err := req.Write(conn.writer); err != nil {
		return false, err
	}
	if err := conn.writer.Flush(); err != nil {
		return false, err
	}
	if err := resp.ReadLimitBody(conn.reader, maxAnswerSize); err != nil {
		return false, errors.Wrap(err, "probe not answered")
	}
	return string(resp.Header.Peek(HeaderLeaving)) == "true", nil
}

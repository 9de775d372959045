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

// Probe implements control.Prober. It sends an OPTIONS request, which HTTP defines
// to be without side effects, on a new connection. It accepts an answer with any
// status, because any answer shows that the endpoint accepts connections, reads
// requests and answers them.
func (c *Client) Probe(ctx context.Context, address string) (leaving bool, err error) {
	dialer := net.Dialer{Timeout: machine.ProbeTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(errDial, err.Error())
	}
	defer netConn.Close()
	if err := netConn.SetDeadline(c.clock().Add(machine.ProbeTimeout)); err != nil {
		return false, err
	}
	conn := newConn(netConn, address, link.NewConnection(c.clock()))
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
		return false, errors.Wrap(err, "read answer to probe")
	}
	return string(resp.Header.Peek(HeaderLeaving)) == "true", nil
}

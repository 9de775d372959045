package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// DefaultTimeout bounds an exchange whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// Exchange sends one message to the peer at address "ip:port" and returns the
// body of its reply. The error is ErrNotSent when the peer cannot have got the
// message, RefusedError when its handler refused it, and ErrNoReply otherwise.
func (n *Node) Exchange(ctx context.Context, address string, kind Kind, body []byte) ([]byte, error) {
	_, reply, err := n.ExchangeWith(ctx, address, kind, body)
	return reply, err
}

// ExchangeWith is Exchange and also returns who answered.
func (n *Node) ExchangeWith(ctx context.Context, address string, kind Kind, body []byte) (link.Member, []byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	frame, err := Encode(newEnvelope(kind, n.self, body))
	if err != nil {
		return link.Member{}, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	deadline, _ := ctx.Deadline()
	to := route{address: address, long: time.Until(deadline) > longExchange}
	c, stream, err := n.openStream(ctx, to)
	if err != nil {
		return link.Member{}, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	reply, err := transfer(ctx, stream, frame)
	n.pool.release(to, c, err != nil)
	if err != nil {
		return link.Member{}, nil, errors.Wrap(ErrNoReply, err.Error())
	}
	if reply.Error != "" {
		return link.Member{}, nil, &RefusedError{Reason: reply.Error}
	}
	if !names(c.connection.ConnectionState().TLS, reply.ID) {
		return link.Member{}, nil, errors.Wrapf(ErrNoReply, "certificate does not name member %q", reply.ID)
	}
	from := reply.Sender()
	from.Address = address
	return from, reply.Body, nil
}

// openStream opens a stream on the connection of a route. When a connection
// from an earlier exchange has ended meanwhile, a new one is tried: nothing was
// sent yet.
func (n *Node) openStream(ctx context.Context, to route) (*pooled, *quic.Stream, error) {
	for first := true; ; first = false {
		c, err := n.pool.acquire(ctx, to)
		if err != nil {
			return nil, nil, err
		}
		stream, err := c.connection.OpenStreamSync(ctx)
		if err == nil {
			return c, stream, nil
		}
		n.pool.release(to, c, true)
		if !first || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// transfer writes the request and reads the reply before the deadline of ctx.
func transfer(ctx context.Context, stream *quic.Stream, frame []byte) (Envelope, error) {
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := exchangeOn(stream, frame)
	if err != nil {
		stream.CancelWrite(0)
		stream.CancelRead(0)
	}
	return reply, err
}

// exchangeOn writes the request and reads the reply. A peer that refuses a
// message may stop reading it before it is written, so the reply is read in any
// case.
func exchangeOn(stream *quic.Stream, frame []byte) (Envelope, error) {
	_, writeErr := stream.Write(frame)
	if writeErr == nil {
		writeErr = stream.Close()
	}
	reply, err := Read(stream)
	if err != nil && writeErr != nil {
		return Envelope{}, writeErr
	}
	return reply, err
}

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
// body of its reply. The error is ErrNotSent when the peer cannot have received
// the message, RefusedError when the peer refused it, and ErrNoReply when the
// peer may have handled it.
func (n *Node) Exchange(ctx context.Context, address string, kind Kind, body []byte) ([]byte, error) {
	_, reply, err := n.ExchangeWithResponder(ctx, address, kind, body)
	return reply, err
}

// ExchangeWithResponder is like Exchange and also returns the member that
// replied.
func (n *Node) ExchangeWithResponder(ctx context.Context, address string, kind Kind, body []byte) (link.Member, []byte, error) {
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
	key := connKey{address: address, keepAlive: time.Until(deadline) > longExchangeThreshold}
	c, stream, err := n.openStream(ctx, key)
	if err != nil {
		return link.Member{}, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	reply, err := roundTrip(ctx, stream, frame, kind.confirmsReply())
	n.pool.release(key, c, err != nil)
	if err != nil {
		return link.Member{}, nil, errors.Wrap(ErrNoReply, err.Error())
	}
	if reply.Error != "" {
		return link.Member{}, nil, &RefusedError{Reason: reply.Error}
	}
	if !certificateNamesMember(c.connection.ConnectionState().TLS, reply.ID) {
		return link.Member{}, nil, errors.Wrapf(ErrNoReply, "certificate does not name member %q", reply.ID)
	}
	from := reply.Sender()
	from.Address = address
	return from, reply.Body, nil
}

// openStream opens a stream on the pooled connection for a key. When that
// connection turns out to be closed, it retries once on a new one, which is safe
// because nothing of the message has been sent.
func (n *Node) openStream(ctx context.Context, key connKey) (*pooledConn, *quic.Stream, error) {
	for firstTry := true; ; firstTry = false {
		c, err := n.pool.acquire(ctx, key)
		if err != nil {
			return nil, nil, err
		}
		stream, err := c.connection.OpenStreamSync(ctx)
		if err == nil {
			return c, stream, nil
		}
		n.pool.release(key, c, true)
		if !firstTry || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// roundTrip writes the request and reads the reply. It ends at the deadline of
// ctx or when ctx is cancelled. If confirm is set, the end of the stream tells the
// peer that the reply has been read.
func roundTrip(ctx context.Context, stream *quic.Stream, frame []byte, confirm bool) (Envelope, error) {
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := writeAndRead(stream, frame, confirm)
	if err != nil {
		stream.CancelWrite(0)
		stream.CancelRead(0)
	}
	return reply, err
}

// writeAndRead writes the request and reads the reply. It reads the reply even
// when the write fails, because a peer that refuses a message may stop reading
// before the whole message is written.
func writeAndRead(stream *quic.Stream, frame []byte, confirm bool) (Envelope, error) {
	_, writeErr := stream.Write(frame)
	if writeErr == nil && !confirm {
		writeErr = stream.Close()
	}
	reply, err := Read(stream)
	if err == nil && confirm {
		_ = stream.Close()
	}
	if err != nil && writeErr != nil {
		return Envelope{}, writeErr
	}
	return reply, err
}

package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Timeouts and stream limits of the transport.
const (
	// silenceTimeout is the time without packets after which a connection for
	// long exchanges is closed.
	silenceTimeout = 3 * time.Second
	// keepAlivePeriod is the interval of keep-alive packets, by which a long
	// exchange distinguishes a slow handler from a silent connection. Connections
	// for short exchanges send none, because an exchange that times out retires
	// its connection anyway, and keep-alives on all connections made up half of
	// the bytes between peers.
	keepAlivePeriod = time.Second
	// longExchangeThreshold is the time until the deadline above which an
	// exchange counts as long and uses a connection with keep-alives.
	longExchangeThreshold = DefaultTimeout + time.Second
	// dialTimeout bounds the handshake of a new connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time without exchanges after which a connection is
	// closed.
	idleTimeout = 30 * time.Second
	// receiveTimeout bounds how long a peer may take to send one message, and to
	// confirm one reply.
	receiveTimeout = 10 * time.Second
	// maxStreams bounds the open exchanges on one incoming connection.
	maxStreams = 256
	// streamCreditBatch is the number of finished streams whose credit is
	// returned together. Returning it for each stream costs two more packets for
	// each exchange.
	streamCreditBatch = 32
)

// Errors of exchanges.
var (
	// ErrNotSent means that the peer cannot have received any byte of the message.
	ErrNotSent = errors.New("peer message not sent")
	// ErrNoReply means that the peer may have handled the message.
	ErrNoReply = errors.New("no reply from peer")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("peer node closed")
)

// RefusedError means that the peer replied with a refusal.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "peer refused: " + e.Reason }

// Handler handles one message and returns the body of the reply. ctx is
// cancelled when the peer cancels the exchange or its connection closes. The
// text of a returned error is sent to the peer as the reason for a refusal.
type Handler func(ctx context.Context, from link.Member, kind Kind, body []byte) ([]byte, error)

// ConfirmedHandler is a Handler whose replies the requester confirms. If finished is
// not nil, it is called once the requester has confirmed the reply or can no
// longer receive it. Until then, closing the node would lose the reply.
type ConfirmedHandler func(ctx context.Context, from link.Member, kind Kind, body []byte) (reply []byte, finished func(), err error)

// Options are the parameters of a node.
type Options struct {
	// Self is this process. Its address is the one that the node binds.
	Self  link.Member
	Files TLSFiles
	Log   *logrus.Entry
}

// Node sends and receives the peer messages of one process. Its methods other
// than Handle are safe for concurrent use.
type Node struct {
	self       link.Member
	log        *logrus.Entry
	keys       *credentials
	socket     *countingSocket
	transport  *quic.Transport
	listener   *quic.Listener
	handlers   map[Kind]ConfirmedHandler
	pool       *pool
	handshakes *handshakes
	goroutines sync.WaitGroup
}

// NewNode loads the keys and binds the peer address. The node accepts no
// connection before Serve is called. The caller must call Close.
func NewNode(o Options) (*Node, error) {
	keys := &credentials{files: o.Files}
	if _, err := keys.current(); err != nil {
		return nil, err
	}
	socket, err := listenUDP(o.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &Node{self: o.Self, log: o.Log, keys: keys, handlers: make(map[Kind]ConfirmedHandler), socket: socket, handshakes: newHandshakes()}
	n.transport = &quic.Transport{Conn: n.socket, VerifySourceAddress: n.handshakes.validate, ConnContext: n.handshakes.begin}
	if n.listener, err = n.transport.Listen(keys.serverTLS(), transportConfig()); err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n.pool = newPool(n.dial)
	return n, nil
}

func transportConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout + dialTimeout,
		HandshakeIdleTimeout:    dialTimeout,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   -1,
		DisablePathMTUDiscovery: true,

		RequireStreamCreditRelease: true,
	}
}

// dialConfig returns the QUIC configuration of an outgoing connection.
func dialConfig(keepAlive bool) *quic.Config {
	c := transportConfig()
	if keepAlive {
		c.MaxIdleTimeout, c.KeepAlivePeriod = silenceTimeout, keepAlivePeriod
	}
	return c
}

// Address returns the bound address.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Counters returns the bytes and packets sent and received so far.
func (n *Node) Counters() Counters { return n.socket.counters() }

// RefusedHandshakes returns the number of handshakes that were refused because too many
// were in progress.
func (n *Node) RefusedHandshakes() int64 { return n.handshakes.refused() }

// Handle registers the handler for one kind of message. It must be called before
// Serve.
func (n *Node) Handle(kind Kind, h Handler) {
	n.handlers[kind] = func(ctx context.Context, from link.Member, kind Kind, body []byte) ([]byte, func(), error) {
		reply, err := h(ctx, from, kind, body)
		return reply, nil, err
	}
}

// HandleConfirmed registers the handler for one kind of message, whose replies are
// confirmed. It must be called before Serve. It panics if requesters do not
// confirm replies of that kind.
func (n *Node) HandleConfirmed(kind Kind, h ConfirmedHandler) {
	if !kind.confirmsReply() {
		panic("peer: replies to " + kind.String() + " messages are not confirmed")
	}
	n.handlers[kind] = h
}

// Serve accepts connections until ctx is cancelled or the node is closed. In both
// cases it returns nil.
func (n *Node) Serve(ctx context.Context) error {
	for {
		connection, err := n.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		n.handshakes.complete(connection)
		n.goroutines.Go(func() { n.serveConnection(ctx, connection) })
	}
}

// Close closes all connections and waits for the running handlers to return.
func (n *Node) Close() error {
	n.pool.close()
	err := n.listener.Close()
	if closeErr := n.transport.Close(); err == nil {
		err = closeErr
	}
	if closeErr := n.socket.Close(); err == nil && !errors.Is(closeErr, net.ErrClosed) {
		err = closeErr
	}
	n.goroutines.Wait()
	return err
}

func (n *Node) serveConnection(ctx context.Context, connection *quic.Conn) {
	defer func() { _ = connection.CloseWithError(0, "") }()
	var finished streamCredit
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		n.goroutines.Go(func() {
			n.serveStream(ctx, connection, stream)
			finished.add(stream)
		})
	}
}

// streamCredit collects the finished streams of one connection and returns
// their stream credit to the peer in batches of streamCreditBatch.
type streamCredit struct {
	mu      sync.Mutex
	streams []*quic.Stream
}

func (c *streamCredit) add(stream *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, stream)
	if len(c.streams) < streamCreditBatch {
		return
	}
	for _, s := range c.streams {
		s.ReleaseStreamCredit()
	}
	c.streams = c.streams[:0]
}

func (n *Node) serveStream(ctx context.Context, connection *quic.Conn, stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	message, err := Read(stream)
	if err == nil && !certificateNamesMember(connection.ConnectionState().TLS, message.ID) {
		err = errors.Wrapf(ErrPeerCertificate, "certificate does not name member %q", message.ID)
	}
	if err != nil {
		n.log.WithError(err).Warnf("peer: refused message from %s", connection.RemoteAddr())
		n.sendReply(stream, Envelope{Error: err.Error()})
		stream.CancelRead(0)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	reply, finished := n.handle(ctx, message)
	n.sendReply(stream, reply)
	if finished != nil {
		awaitConfirmation(stream)
		finished()
	}
}

// awaitConfirmation waits until the requester has closed its side of the stream,
// which it does after it has read the reply, or can no longer do so.
func awaitConfirmation(stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(receiveTimeout))
	_, _ = io.Copy(io.Discard, stream)
}

// handle returns the reply to a message and the function to call once the reply is
// confirmed, nil if there is none.
func (n *Node) handle(ctx context.Context, message Envelope) (Envelope, func()) {
	h, ok := n.handlers[message.Kind]
	if !ok {
		return Envelope{Kind: message.Kind, Error: "no handler for " + message.Kind.String()}, nil
	}
	body, finished, err := h(ctx, message.Sender(), message.Kind, message.Body)
	reply := newEnvelope(message.Kind, n.self, body)
	if err != nil {
		reply.Body, reply.Error = nil, err.Error()
	}
	return reply, finished
}

// sendReply sends a reply and closes the stream for writing. When the reply
// cannot be encoded, for example because it is too large, it sends a refusal.
func (n *Node) sendReply(stream *quic.Stream, reply Envelope) {
	reply.Version, reply.ID, reply.Incarnation, reply.DataCentre = Version, n.self.ID, n.self.Incarnation, n.self.DataCentre
	reply.Address = ""
	frame, err := Encode(reply)
	if err != nil {
		reply.Body, reply.Error = nil, err.Error()
		if frame, err = Encode(reply); err != nil {
			stream.CancelWrite(0)
			return
		}
	}
	if _, err := stream.Write(frame); err != nil {
		n.log.WithError(err).Debugf("peer: sending the reply to a %s message failed", reply.Kind)
	}
	_ = stream.Close()
}

package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Timeouts of the transport.
const (
	// silenceTimeout closes a connection of long exchanges from which no packet
	// arrives.
	silenceTimeout = 3 * time.Second
	// keepAlivePeriod lets a long exchange tell a slow handler from a silent
	// connection. Short exchanges need no keep-alive: one that times out retires
	// its connection. Keep-alives on all connections took half of the bytes.
	keepAlivePeriod = time.Second
	// longExchange is the time to the deadline from which an exchange counts as
	// long and gets a connection with keep-alives.
	longExchange = DefaultTimeout + time.Second
	// dialTimeout bounds the handshake of a new connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes a connection that no exchange used for this long.
	idleTimeout = 30 * time.Second
	// receiveTimeout bounds how long a peer may take to send one message.
	receiveTimeout = 10 * time.Second
	// maxStreams bounds the exchanges that one peer may have open.
	maxStreams = 256
	// creditBatch is the number of finished streams whose credit is returned at
	// once. Returning it one by one costs two more packets for each exchange.
	creditBatch = 32
)

// Errors of exchanges.
var (
	// ErrNotSent means that no byte of the message can have reached the peer.
	ErrNotSent = errors.New("peer message not sent")
	// ErrNoReply means that the peer may have handled the message.
	ErrNoReply = errors.New("no reply from peer")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("peer node closed")
)

// RefusedError is a refusal that the peer's handler sent.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "peer refused: " + e.Reason }

// Handler answers one message. The context ends when the peer gives up. The
// returned error is sent to the peer as its text.
type Handler func(ctx context.Context, from link.Member, kind Kind, body []byte) ([]byte, error)

// Options are the parameters of a node.
type Options struct {
	Self link.Member
	// Files hold the keys of the node.
	Files Files
	Log   *logrus.Entry
}

// Node is the peer endpoint of one process. All methods but Handle may be
// called from any goroutine.
type Node struct {
	self      link.Member
	log       *logrus.Entry
	keys      *credentials
	socket    *countingSocket
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[Kind]Handler
	pool      *pool
	active    sync.WaitGroup
}

// NewNode binds the peer address of options and reads the keys. It answers
// nothing before Serve.
func NewNode(o Options) (*Node, error) {
	keys := &credentials{files: o.Files}
	if _, err := keys.current(); err != nil {
		return nil, err
	}
	socket, err := listenCounting(o.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := &Node{self: o.Self, log: o.Log, keys: keys, handlers: make(map[Kind]Handler), socket: socket}
	n.transport = &quic.Transport{Conn: n.socket}
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

// dialConfig returns the transport settings of an outgoing connection.
func dialConfig(long bool) *quic.Config {
	c := transportConfig()
	if long {
		c.MaxIdleTimeout, c.KeepAlivePeriod = silenceTimeout, keepAlivePeriod
	}
	return c
}

// Address returns the bound address.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Counters returns the bytes moved so far.
func (n *Node) Counters() Counters { return n.socket.counters() }

// Handle sets the handler of one kind of message. It must be called before
// Serve.
func (n *Node) Handle(kind Kind, h Handler) { n.handlers[kind] = h }

// Serve accepts connections until ctx ends or the node is closed.
func (n *Node) Serve(ctx context.Context) error {
	for {
		connection, err := n.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		n.active.Go(func() { n.serveConnection(ctx, connection) })
	}
}

// Close ends all connections and waits for running handlers.
func (n *Node) Close() error {
	n.pool.close()
	err := n.listener.Close()
	if closeErr := n.transport.Close(); err == nil {
		err = closeErr
	}
	if closeErr := n.socket.Close(); err == nil && !errors.Is(closeErr, net.ErrClosed) {
		err = closeErr
	}
	n.active.Wait()
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
		n.active.Go(func() {
			n.serveStream(ctx, connection, stream)
			finished.add(stream)
		})
	}
}

// streamCredit collects the finished streams of one connection and returns
// their credit to the peer in batches.
type streamCredit struct {
	mu      sync.Mutex
	streams []*quic.Stream
}

func (c *streamCredit) add(stream *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, stream)
	if len(c.streams) < creditBatch {
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
	if err == nil && !names(connection.ConnectionState().TLS, message.ID) {
		err = errors.Wrapf(ErrPeerCertificate, "it does not name member %q", message.ID)
	}
	if err != nil {
		n.log.WithError(err).Warnf("peer: message from %s refused", connection.RemoteAddr())
		n.reply(stream, Envelope{Error: err.Error()})
		stream.CancelRead(0)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	n.reply(stream, n.handle(ctx, message))
}

func (n *Node) handle(ctx context.Context, message Envelope) Envelope {
	h, ok := n.handlers[message.Kind]
	if !ok {
		return Envelope{Kind: message.Kind, Error: "no handler for " + message.Kind.String()}
	}
	body, err := h(ctx, message.Sender(), message.Kind, message.Body)
	answer := newEnvelope(message.Kind, n.self, body)
	if err != nil {
		answer.Body, answer.Error = nil, err.Error()
	}
	return answer
}

// reply sends an answer and ends the stream.
func (n *Node) reply(stream *quic.Stream, answer Envelope) {
	answer.Version, answer.ID, answer.Incarnation, answer.DataCentre = Version, n.self.ID, n.self.Incarnation, n.self.DataCentre
	answer.Address = ""
	frame, err := Encode(answer)
	if err != nil {
		answer.Body, answer.Error = nil, err.Error()
		if frame, err = Encode(answer); err != nil {
			stream.CancelWrite(0)
			return
		}
	}
	if _, err := stream.Write(frame); err != nil {
		n.log.WithError(err).Debugf("peer: reply to %s not sent", answer.Kind)
	}
	_ = stream.Close()
}

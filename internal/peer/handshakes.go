package peer

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

var errTooManyHandshakes = errors.New("too many handshakes in progress")

// handshakes carries out the decisions about handshakes. It is safe for concurrent use.
type handshakes struct {
	mu    sync.Mutex
	state *intake.Handshakes
}

func newHandshakes() *handshakes { return &handshakes{state: intake.NewHandshakes()} }

// validate implements quic.Transport.VerifySourceAddress.
func (h *handshakes) validate(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.NeedsValidation()
}

// handshakeKey is the key of the function that ends a handshake in the context of its
// connection.
type handshakeKey struct{}

// begin implements quic.Transport.ConnContext. The handshake ends with ctx or by complete.
func (h *handshakes) begin(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	host, _, _ := net.SplitHostPort(client.RemoteAddr.String())
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.state.Begin(host) {
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.state.End(host)
	})
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// complete ends the handshake of an accepted connection.
func (h *handshakes) complete(c *quic.Conn) {
	if end, ok := c.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}

func (h *handshakes) refused() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Refused()
}

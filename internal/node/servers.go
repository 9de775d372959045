package node

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/platform"
)

// drainInterval is the interval at which a stopping node looks for connections on which
// no request is under way.
const drainInterval = 20 * time.Millisecond

// newServer returns a server for the clients that the gate takes in. Its timeouts are
// those of the gate, because the configuration changes them while the server runs. The
// caller starts it with serve.
func (n *node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ConnContext: withConnection, ConnState: n.clients.connectionState,
		// All methods are answered by the handler.
		DisableGeneralOptionsHandler: true,
		// The request log covers the messages about single connections.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (n *node) newCallersServer(handler http.Handler) *http.Server {
	return n.newServer(n.clients.admit(n.closeWhileDraining(handler)))
}

func (n *node) newReadinessServer() *http.Server {
	return n.newServer(n.clients.withoutBody(platform.ReadyHandler(n.ready)))
}

func (n *node) newMetricsServer(handler http.Handler) *http.Server {
	return n.newServer(n.clients.admit(handler))
}

// serve listens on address and serves s in group. The server ends when it is shut down or
// the listener is closed.
func (n *node) serve(ctx context.Context, group *errgroup.Group, s *http.Server, kind intake.Server, address string) (net.Listener, error) {
	l, err := n.clients.listen(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	return l, nil
}

// requestLimits returns the limits of the configuration in force.
func (n *node) requestLimits() policy.RequestLimits {
	if config := n.loop.Status().Config; config != nil {
		return config.Limits()
	}
	return policy.RequestLimits{}
}

// closeWhileDraining makes the answers of a stopping node end their connections. Its
// callers otherwise use them until the shutdown closes those on which no request is being
// served, also one whose request has arrived and was not read yet.
func (n *node) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(drainingWriter{w, n}, r)
	})
}

type drainingWriter struct {
	http.ResponseWriter
	node *node
}

// WriteHeader implements http.ResponseWriter.
func (w drainingWriter) WriteHeader(status int) {
	if w.node.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// drain accepts no further connections, closes those of callers on which no request is
// under way, and waits until the others have been answered or ctx is done. http.Server.Shutdown alone does not
// answer a request whose head has been read in part.
func (s *clients) drain(ctx context.Context, callers net.Listener) {
	// Closing a listener fails only if it was closed before.
	_ = callers.Close()
	for ctx.Err() == nil {
		s.mu.Lock()
		waiting, unfinished := s.gate.Waiting(intake.Callers, s.now())
		for _, state := range waiting {
			// The request that has arrived is read and answered.
			if c := s.connections[state]; c.unread() == 0 {
				s.gate.Close(state)
				delete(s.connections, state)
				// Close of the embedded connection takes no lock.
				_ = c.Conn.Close()
			} else {
				unfinished = true
			}
		}
		s.mu.Unlock()
		if !unfinished {
			return
		}
		sleep(ctx, drainInterval)
	}
}

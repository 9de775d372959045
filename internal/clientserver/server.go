package clientserver

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

// drainInterval is the interval at which Drain looks for connections on which no request
// is under way.
const drainInterval = 20 * time.Millisecond

// NewServer returns a server for the connections of a listener of s. Its timeouts are
// those of the gate, because the configuration changes them while the server runs. The
// handler has to be one of Admit or WithoutBody.
func (s *Clients) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ConnContext: withConnection, ConnState: s.connectionState,
		// All methods are answered by the handler.
		DisableGeneralOptionsHandler: true,
		// The users of the package log requests; these messages are about single connections.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Drain accepts no further connections, closes those of callers on which no request is
// under way, and waits until the others have been answered or ctx is done. The callers'
// server has to be shut down after it: http.Server.Shutdown alone does not answer a request
// whose head has been read in part.
func (s *Clients) Drain(ctx context.Context, callers net.Listener) {
	// Closing a listener fails only if it was closed before.
	_ = callers.Close()
	for ctx.Err() == nil {
		s.mu.Lock()
		waiting, unfinished := s.gate.Waiting(intake.Callers, s.options.Now())
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
		select {
		case <-ctx.Done():
		case <-time.After(drainInterval):
		}
	}
}

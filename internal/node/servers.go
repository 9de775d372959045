package node

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/clientserver"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/platform"
)

// newClients returns the clients of the node's servers.
func (n *node) newClients() *clientserver.Clients {
	return clientserver.New(clientserver.Options{
		Capacity: intake.CapacityOf(n.settings.Intake), Now: n.clock.Now, Limits: n.requestLimits,
		LogRefusals: n.logRefusals,
		EncodeRefusal: func(r clientserver.Refusal) []byte {
			return platform.EncodeConnectionRefusal(r.Reason.Text(), r.RetryAfter)
		},
		Refuse: func(w http.ResponseWriter, r clientserver.Refusal) { platform.RefuseRequest(w, refusedAnswer(r)) },
	})
}

func refusedAnswer(r clientserver.Refusal) ingress.Answer {
	return ingress.Answer{Code: ingress.NotRun, Reason: r.Reason.Text(), RetryAfter: r.RetryAfter}
}

// readBody implements platform.ReadBody.
func (n *node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *ingress.Answer) {
	body, refusal := n.clients.ReadBody(w, r)
	if refusal == nil {
		return body, nil
	}
	answer := refusedAnswer(*refusal)
	return nil, &answer
}

// logRefusals writes one line for all refusals since the last one.
func (n *node) logRefusals(refusals map[intake.Reason]int64, connections int, requestBytes int64) {
	fields := logrus.Fields{"connections": connections, "request_bytes": requestBytes}
	for reason, count := range refusals {
		fields[string(reason)] = count
	}
	n.log.Write("clients", "refused", fields)
}

func (n *node) newCallersServer(handler http.Handler) *http.Server {
	return n.clients.NewServer(n.clients.Admit(n.closeWhileDraining(handler)))
}

func (n *node) newReadinessServer() *http.Server {
	return n.clients.NewServer(n.clients.WithoutBody(platform.ReadyHandler(n.ready)))
}

func (n *node) newMetricsServer(handler http.Handler) *http.Server {
	return n.clients.NewServer(n.clients.Admit(handler))
}

// serve listens on address and serves s in group. The server ends when it is shut down or
// the listener is closed.
func (n *node) serve(ctx context.Context, group *errgroup.Group, s *http.Server, kind intake.Server, address string) (net.Listener, error) {
	l, err := n.clients.Listen(ctx, kind, address)
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

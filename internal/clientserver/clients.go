// Package clientserver serves HTTP to clients whose connections and requests pass an
// intake.Gate. It carries out the gate's decisions on sockets and reads no request that
// the gate has not taken in. The encoding of refusals belongs to its users.
package clientserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

const (
	// intakeInterval is the interval at which the progress of connections is checked.
	intakeInterval = 200 * time.Millisecond
	// refusalLogInterval is the least time between two log lines of refusals.
	refusalLogInterval = time.Second
)

// Refusal is why a connection or a request was refused. The request has not run and will
// not run.
type Refusal struct {
	Reason intake.Reason
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
}

// Options are the parameters of Clients.
type Options struct {
	Capacity intake.Capacity
	// Now returns the time by which connections are measured.
	Now func() time.Time
	// Limits returns the limits of the configuration in force.
	Limits func() policy.RequestLimits
	// LogRefusals is called at most once a second, with the number of refusals since the
	// last call for each reason.
	LogRefusals func(refusals map[intake.Reason]int64, connections int, requestBytes int64)
	// EncodeRefusal returns the whole HTTP answer to a client whose request is not read
	// to its end. The connection ends after it.
	EncodeRefusal func(Refusal) []byte
	// Refuse answers a request whose head was read.
	Refuse func(http.ResponseWriter, Refusal)
}

// Clients guards the gate, which the goroutines of all connections share, and carries out
// its decisions. It is safe for concurrent use.
type Clients struct {
	options Options
	// lingering has a place for each refused connection that stays open.
	lingering chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	gate        *intake.Gate
	connections map[*intake.Connection]*clientConn
	logged      map[intake.Reason]int64
	loggedAt    time.Time
}

// New returns Clients without connections. The caller runs Watch.
func New(o Options) *Clients {
	lingering := min(maxLingering, o.Capacity.Connections[intake.Callers]*lingeringPercent/100)
	return &Clients{
		options: o, lingering: make(chan struct{}, lingering),
		gate: intake.NewGate(o.Capacity), connections: make(map[*intake.Connection]*clientConn),
	}
}

// count counts a refusal that the gate did not decide.
func (s *Clients) count(r intake.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Count(r)
}

// Watch ends the connections that are overdue, and logs the refusals, until ctx is done.
func (s *Clients) Watch(ctx context.Context) error {
	ticker := time.NewTicker(intakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.endOverdue()
			s.logRefusals()
		}
	}
}

func (s *Clients) endOverdue() {
	limits := s.options.Limits()
	overdue := make(map[*clientConn]intake.Reason)
	s.mu.Lock()
	s.gate.SetLimits(limits)
	for state, reason := range s.gate.Overdue(s.options.Now()) {
		overdue[s.connections[state]] = reason
		if reason != intake.BodyTooSlow {
			// No request of the connection can begin any more.
			s.gate.Close(state)
			delete(s.connections, state)
		}
	}
	s.mu.Unlock()
	for c, reason := range overdue {
		switch reason {
		case intake.Idle:
			_ = c.Close()
		case intake.BodyTooSlow:
			// The handler that reads the body answers.
			_ = c.Conn.SetReadDeadline(time.Now())
		default:
			c.refuse(reason)
		}
	}
}

// logRefusals reports all refusals since the last report.
func (s *Clients) logRefusals() {
	s.mu.Lock()
	now := s.options.Now()
	if now.Sub(s.loggedAt) < refusalLogInterval {
		s.mu.Unlock()
		return
	}
	refusals := make(map[intake.Reason]int64)
	totals := s.gate.Totals()
	for reason, total := range totals {
		if n := total - s.logged[reason]; n > 0 {
			refusals[reason] = n
		}
	}
	connections, requestBytes := s.gate.Used()
	if len(refusals) > 0 {
		s.logged, s.loggedAt = totals, now
	}
	s.mu.Unlock()
	if len(refusals) > 0 {
		s.options.LogRefusals(refusals, connections, requestBytes)
	}
}

// EachRefusal calls collect with each reason and how often it has refused a client.
func (s *Clients) EachRefusal(collect func(reason string, total int64)) {
	s.mu.Lock()
	totals := s.gate.Totals()
	s.mu.Unlock()
	for reason, total := range totals {
		collect(string(reason), total)
	}
}

// Used returns the number of open connections and the memory that requests have reserved.
func (s *Clients) Used() (connections int, requestBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Used()
}

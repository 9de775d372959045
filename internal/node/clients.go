package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

const (
	// intakeInterval is the interval at which the progress of connections is checked.
	intakeInterval = 200 * time.Millisecond
	// refusalLogInterval is the least time between two log lines of refusals.
	refusalLogInterval = time.Second
)

// clients guards the gate, which the goroutines of all connections share, and carries out
// its decisions.
type clients struct {
	log    *asynclog.Log
	now    func() time.Time
	limits func() policy.RequestLimits
	// lingering has a place for each refused connection that stays open.
	lingering chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	gate        *intake.Gate
	connections map[*intake.Connection]*clientConn
	logged      map[intake.Reason]int64
	loggedAt    time.Time
}

func newClients(capacity intake.Capacity, log *asynclog.Log, now func() time.Time, limits func() policy.RequestLimits) *clients {
	return &clients{
		log: log, now: now, limits: limits, lingering: make(chan struct{}, maxLingering),
		gate: intake.NewGate(capacity), connections: make(map[*intake.Connection]*clientConn),
	}
}

// count counts a refusal that the gate did not decide.
func (s *clients) count(r intake.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Count(r)
}

// watch ends the connections that are overdue, and logs the refusals, until ctx is done.
func (s *clients) watch(ctx context.Context) error {
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

func (s *clients) endOverdue() {
	limits := s.limits()
	overdue := make(map[*clientConn]intake.Reason)
	s.mu.Lock()
	s.gate.SetLimits(limits)
	for state, reason := range s.gate.Overdue(s.now()) {
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

// logRefusals writes one line for all refusals since the last one.
func (s *clients) logRefusals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.loggedAt) < refusalLogInterval {
		return
	}
	fields := logrus.Fields{}
	totals := s.gate.Totals()
	for reason, total := range totals {
		if n := total - s.logged[reason]; n > 0 {
			fields[string(reason)] = n
		}
	}
	if len(fields) == 0 {
		return
	}
	s.logged, s.loggedAt = totals, now
	fields["connections"], fields["request_bytes"] = s.gate.Used()
	s.log.Write("clients", "refused", fields)
}

// eachRefusal calls collect with each reason and how often it has refused a client.
func (s *clients) eachRefusal(collect func(reason string, total int64)) {
	s.mu.Lock()
	totals := s.gate.Totals()
	s.mu.Unlock()
	for reason, total := range totals {
		collect(string(reason), total)
	}
}

func (s *clients) used() (connections int, requestBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Used()
}

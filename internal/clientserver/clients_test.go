package clientserver

import (
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

func newTestClients(now func() time.Time, logRefusals func(map[intake.Reason]int64, int, int64)) *Clients {
	return New(Options{
		Capacity: intake.CapacityOf(intake.Settings{}), Now: now, LogRefusals: logRefusals,
		Limits: func() policy.RequestLimits { return policy.RequestLimits{} },
	})
}

// shortListener has no descriptors for its first connections.
type shortListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: unix.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptsAfterLackOfDescriptors guards against a server, and with it a process, that
// ends because a connection could not be accepted for lack of descriptors.
func TestAcceptsAfterLackOfDescriptors(t *testing.T) {
	s := newTestClients(time.Now, nil)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	c, err := s.Accepting(intake.Callers, &shortListener{l, 2}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	totals := make(map[string]int64)
	s.EachRefusal(func(reason string, total int64) { totals[reason] = total })
	if totals[string(intake.NoDescriptors)] != 2 {
		t.Errorf("counted %v", totals)
	}
}

// TestRefusalLogIsBounded guards against a log that grows with the number of refused
// clients.
func TestRefusalLogIsBounded(t *testing.T) {
	const seconds = 10
	now := time.Unix(1_700_000_000, 0)
	var logged []int64
	s := newTestClients(func() time.Time { return now }, func(refusals map[intake.Reason]int64, _ int, _ int64) {
		logged = append(logged, refusals[intake.NoMemory])
	})
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(intakeInterval) {
		for range 1000 {
			s.count(intake.NoMemory)
		}
		s.logRefusals()
	}
	if len(logged) != seconds || !slices.Contains(logged, 5000) {
		t.Errorf("logged %v in %d s, want one line each with the refusals of a second", logged, seconds)
	}
}

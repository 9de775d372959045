package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

var start = time.Unix(1_700_000_000, 0)

const legalBody = defaultBodyBytes

// TestCapacityFitsMachines guards against limits whose sum exceeds a machine, and against
// limits below one request of the largest legal size.
func TestCapacityFitsMachines(t *testing.T) {
	for _, s := range []Settings{{}, {MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 536, Descriptors: 8192}, {MemoryMB: 96, Descriptors: 384}} {
		c := CapacityOf(s)
		memory := int64(orDefault(s.MemoryMB, defaultMemoryMB)) * mib
		connections := c.Connections[Callers]
		if used := int64(connections)*connectionBytes + c.RequestBytes + c.OtherRequestBytes; used > memory-min(controlMemoryMB*mib, memory*controlPercent/100) {
			t.Errorf("%+v: clients may use %d bytes", s, used)
		}
		if descriptors := orDefault(s.Descriptors, defaultDescriptors); connections > descriptors/2 && connections > descriptors-reservedDescriptors {
			t.Errorf("%+v: %d connections with %d descriptors", s, connections, descriptors)
		}
		largest := bodyShare(legalBody) + headShare(defaultHeadBytes+headSlack, defaultHeadBytes/4)
		if largest > c.RequestBytes*largeBodyPercent/100 {
			t.Errorf("%+v: a request of %d bytes does not fit into %d", s, largest, c.RequestBytes)
		}
	}
}

// client is a simulated client of one connection.
type client struct {
	// rate is in bytes a second. The client stops after sending stopAt bytes.
	rate, stopAt int
	length       int
	c            *Connection
	sent         int
}

// send lets time pass and sends what the rate allows.
func (c *client) send(g *Gate, passed time.Duration, now time.Time) {
	n := min(int(int64(c.rate)*int64(passed)/int64(time.Second)), c.stopAt-c.sent)
	if n > 0 {
		c.sent += n
		g.Received(c.c, n, 0, now)
	}
}

// begin opens a connection and sends a head. It returns why the body was refused.
func (c *client) begin(g *Gate, now time.Time) Reason {
	var refused Reason
	if c.c, _, refused = g.Open(Callers, "10.0.0.1", now); refused != "" {
		return refused
	}
	if refused = g.Received(c.c, 300, 8, now); refused != "" {
		return refused
	}
	if refused = g.Begin(c.c, 300, 8, now); refused != "" {
		return refused
	}
	return g.BeginBody(c.c, int64(c.length), now)
}

// TestHealthChecksBesideFullMemory guards against health checks that are refused because
// callers' requests fill the memory.
func TestHealthChecksBesideFullMemory(t *testing.T) {
	g := NewGate(CapacityOf(Settings{Connections: 10_000, RequestMemoryMB: 1}))
	refused := Reason("")
	for i := 0; refused == "" && i < 10_000; i++ {
		caller, _, _ := g.Open(Callers, "10.0.0.1", start)
		refused = g.Received(caller, 200, 5, start)
	}
	c, _, _ := g.Open(Readiness, "10.0.0.2", start)
	received, began := g.Received(c, 200, 5, start), g.Begin(c, 200, 5, start)
	if refused != NoMemory || received != "" || began != "" {
		t.Errorf("callers are refused for %q, a health check for %q and %q", refused, received, began)
	}
}

// TestProgressOfBodies guards against bodies that stay open without progress, and against
// a limit that ends the largest legal body of a slow link.
func TestProgressOfBodies(t *testing.T) {
	for _, tc := range []struct {
		name         string
		rate, stopAt int
		ends         bool
	}{
		{"10 Mbit/s", 1_250_000, legalBody, false},
		{"ten bodies at once over 10 Mbit/s", 125_000, legalBody, false},
		{"one byte short", 100_000_000, legalBody - 1, true},
		{"nothing after the head", 0, 0, true},
		{"20 kB a second", 20_000, legalBody, true},
	} {
		g := NewGate(CapacityOf(Settings{}))
		c := &client{rate: tc.rate, stopAt: tc.stopAt, length: legalBody}
		if refused := c.begin(g, start); refused != "" {
			t.Fatalf("%s: %s", tc.name, refused)
		}
		ended := false
		const step = 50 * time.Millisecond
		for now := start; now.Before(start.Add(15*time.Second)) && c.sent < legalBody && !ended; now = now.Add(step) {
			c.send(g, step, now)
			ended = len(g.Overdue(now)) > 0
		}
		if ended != tc.ends {
			t.Errorf("%s: given up is %v after %d bytes", tc.name, ended, c.sent)
		}
	}
}

// TestGateUnderAttack guards, under a load of attackers in simulated time, against
// exceeding the limits of the process, against refusing real jobs while only larger
// bodies fill the memory, and against shares that are never released.
func TestGateUnderAttack(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := NewGate(CapacityOf(Settings{}))
		var attackers []*client
		const step = 10 * time.Millisecond
		served, refused := 0, 0
		now := start
		for ; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			for range 5 {
				a := &client{rate: 1 << (10 + random.IntN(15)), length: smallBody + 1 + random.IntN(legalBody-smallBody)}
				a.stopAt = a.length - 1
				if a.begin(g, now) == "" {
					attackers = append(attackers, a)
				} else if a.c != nil {
					g.Refused(a.c, now)
					g.Close(a.c)
				}
			}
			for _, a := range attackers {
				a.send(g, step, now)
			}
			for c := range g.Overdue(now) {
				g.Close(c)
			}
			ordinary := &client{length: 4000}
			if r := ordinary.begin(g, now); r != "" {
				refused++
			} else {
				served++
				g.Serve(ordinary.c, now)
				g.Answered(ordinary.c, now)
			}
			if ordinary.c != nil {
				g.Close(ordinary.c)
			}
			if connections, used := g.Used(); connections > g.capacity.Connections[Callers] || used > g.capacity.RequestBytes {
				t.Fatalf("seed %d: %d connections, %d bytes", seed, connections, used)
			}
		}
		if refused > 0 || served == 0 {
			t.Errorf("seed %d: %d of %d real jobs refused: %v", seed, refused, served+refused, g.Totals())
		}
		if g.Totals()[NoMemory] == 0 || g.Totals()[BodyTooSlow] == 0 {
			t.Errorf("seed %d: the attack did not fill the memory: %v", seed, g.Totals())
		}
		for _, a := range attackers {
			g.Close(a.c)
		}
		if connections, used := g.Used(); connections != 0 || used != 0 {
			t.Errorf("seed %d: %d connections and %d bytes remain", seed, connections, used)
		}
	}
}

// TestSharesAreReleased guards against shares that stay reserved when a connection fails
// in any phase, and against a request that begins after its connection was given up.
func TestSharesAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(CapacityOf(Settings{MemoryMB: 96, Descriptors: 40}))
		now := start
		var connections []*Connection
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "open") || len(connections) == 0 {
				if c, _, _ := g.Open(Callers, "a", now); c != nil {
					connections = append(connections, c)
				}
				continue
			}
			c := connections[rapid.IntRange(0, len(connections)-1).Draw(t, "connection")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				g.Received(c, rapid.IntRange(1, 4096).Draw(t, "bytes"), 1, now)
			case 1:
				if g.Begin(c, 400, 9, now) == "" && !c.open {
					t.Fatal("a request begins on a connection that was given up")
				}
			case 2:
				g.BeginBody(c, int64(rapid.IntRange(-1, 400_000).Draw(t, "length")), now)
			case 3:
				g.Extend(c, 4096, 8192, now)
			case 4:
				g.Serve(c, now)
			case 5:
				g.Answered(c, now)
			case 6:
				g.Refused(c, now)
			case 7:
				g.Overdue(now)
			}
			if _, used := g.Used(); used < 0 || used > g.capacity.RequestBytes {
				t.Fatalf("%d bytes are reserved of %d", used, g.capacity.RequestBytes)
			}
		}
		for _, c := range connections {
			g.Close(c)
			g.Close(c)
		}
		if n, used := g.Used(); n != 0 || used != 0 || len(g.byAddress) != 0 {
			t.Fatalf("%d connections and %d bytes remain", n, used)
		}
	})
}

// TestIdleConnectionsAreKept guards against closing a connection that callers use again
// in order to take in another one: its next request may be on its way.
func TestIdleConnectionsAreKept(t *testing.T) {
	g := NewGate(CapacityOf(Settings{Connections: 2}))
	used, _, _ := g.Open(Callers, "a", start)
	g.Begin(used, 100, 5, start)
	g.Prove(used)
	g.Answered(used, start)
	silent, _, _ := g.Open(Callers, "b", start)
	if _, _, refused := g.Open(Callers, "c", start.Add(evictableAfter/2)); refused != TooManyConnections {
		t.Errorf("a connection that has just been opened is closed for another one: %q", refused)
	}
	later := start.Add(time.Second)
	if _, evicted, refused := g.Open(Callers, "c", later); evicted != silent || refused != "" {
		t.Errorf("the silent connection is kept: %v, %q", evicted, refused)
	}
	if r := g.Begin(silent, 100, 5, later); r != Evicted {
		t.Errorf("a request begins on a connection that was given up: %q", r)
	}
	if _, evicted, refused := g.Open(Callers, "d", start.Add(defaultIdleTimeout)); evicted == used || refused != "" {
		t.Errorf("a connection with a successful request is closed for another one: %q", refused)
	}
	idle := later.Add(defaultIdleTimeout)
	for c, reason := range g.Overdue(idle) {
		if c == used {
			t.Errorf("%s after %v", reason, idle.Sub(start))
		}
	}
}

// TestRefusedConnectionsEnd guards against connections that stay open after a refusal,
// because their clients send nothing more.
func TestRefusedConnectionsEnd(t *testing.T) {
	g := NewGate(CapacityOf(Settings{}))
	c := &client{length: legalBody + 1}
	if r := c.begin(g, start); r != BodyTooLarge {
		t.Fatalf("%q", r)
	}
	g.Refused(c.c, start)
	if len(g.Overdue(start.Add(maxClosing/2))) > 0 || len(g.Overdue(start.Add(2*maxClosing))) != 1 {
		t.Error("the connection ends too early or not at all")
	}
}

// TestLimitsChange guards against limits of the configuration that take effect only after
// a restart.
func TestLimitsChange(t *testing.T) {
	g := NewGate(CapacityOf(Settings{}))
	c, _, _ := g.Open(Callers, "a", start)
	check := func(length int64, want Reason) {
		t.Helper()
		if got := g.BeginBody(c, length, start); got != want {
			t.Errorf("%d bytes with a limit of %d: %q, want %q", length, g.MaxBody(), got, want)
		}
		g.Answered(c, start)
	}
	check(defaultBodyBytes, "")
	check(defaultBodyBytes+1, BodyTooLarge)
	g.SetLimits(policy.RequestLimits{BodyBytes: 1000, HeaderBytes: 100})
	check(1001, BodyTooLarge)
	if r := g.Received(c, 100+headSlack+1, 1, start); r != HeadTooLarge {
		t.Errorf("a head over the new limit: %q", r)
	}
	g.Answered(c, start)
	g.SetLimits(policy.RequestLimits{BodyBytes: 2 * defaultBodyBytes})
	check(2*defaultBodyBytes, "")
}

// TestConnectionsOfAddress guards against a limit for an address that counts closed
// connections, or those of other addresses and servers.
func TestConnectionsOfAddress(t *testing.T) {
	g := NewGate(CapacityOf(Settings{ConnectionsPerAddress: 1}))
	first, _, _ := g.Open(Callers, "a", start)
	for _, tc := range []struct {
		server  Server
		address string
		want    Reason
	}{{Callers, "a", AddressConnections}, {Callers, "b", ""}, {Readiness, "a", ""}} {
		if _, _, refused := g.Open(tc.server, tc.address, start); refused != tc.want {
			t.Errorf("%+v: %q", tc, refused)
		}
	}
	g.Close(first)
	if _, _, refused := g.Open(Callers, "a", start); refused != "" {
		t.Errorf("after the connection was closed: %q", refused)
	}
}

// TestPlacesRotateInCrowd guards, under a load of callers inside the limits that keep their
// connections open, against callers that find no place: the former hold all of them.
func TestPlacesRotateInCrowd(t *testing.T) {
	const places, members = 100, 300
	const step, interval, retry = 10 * time.Millisecond, 2 * time.Second, time.Second
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		g := NewGate(CapacityOf(Settings{Connections: places}))
		request := func(c *Connection, now time.Time) (open bool) {
			if g.Begin(c, 300, 8, now) != "" {
				return false
			}
			crowded := g.Crowded(c)
			g.Prove(c)
			g.Answered(c, now)
			if crowded {
				g.Close(c)
			}
			return !crowded
		}
		var crowd [members]*Connection
		var next [members]time.Time
		for i := range next {
			next[i] = start.Add(time.Duration(random.Int64N(int64(time.Second))))
		}
		served, refused := 0, 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			for i, c := range crowd {
				if now.Before(next[i]) {
					continue
				}
				next[i] = now.Add(interval)
				if c == nil || !c.open {
					if c, _, _ = g.Open(Callers, "10.0.0.1", now); c == nil {
						next[i] = now.Add(retry)
					}
				}
				if crowd[i] = c; c != nil && !request(c, now) {
					crowd[i] = nil
				}
			}
			// Another caller needs a place for one request.
			if c, _, _ := g.Open(Callers, "10.0.0.2", now); c != nil {
				request(c, now)
				g.Close(c)
				served++
			} else {
				refused++
			}
		}
		if refused > 0 || served == 0 {
			t.Errorf("seed %d: %d of %d callers found no place: %v", seed, refused, served+refused, g.Totals())
		}
	}
}

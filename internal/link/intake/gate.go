package intake

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// Reason is why a connection or a request was refused. It is empty for none.
type Reason string

// Reasons.
const (
	TooManyConnections Reason = "too-many-connections"
	AddressConnections Reason = "too-many-connections-of-address"
	NoDescriptors      Reason = "no-descriptors"
	HeadTooLarge       Reason = "head-too-large"
	HeadTooSlow        Reason = "head-too-slow"
	BodyTooLarge       Reason = "body-too-large"
	BodyTooSlow        Reason = "body-too-slow"
	BodyNotTaken       Reason = "body-not-taken"
	BodyIncomplete     Reason = "body-incomplete"
	NoMemory           Reason = "no-memory"
	Evicted            Reason = "evicted"
	AnswerNotRead      Reason = "answer-not-read"
	// Idle ends a connection without a request. It is no refusal.
	Idle Reason = "idle"
)

var reasonTexts = map[Reason]string{
	TooManyConnections: "the node has too many connections",
	AddressConnections: "the node has too many connections from this address",
	HeadTooLarge:       "the head of the request is too long",
	HeadTooSlow:        "the head of the request comes too slowly",
	BodyTooLarge:       "the body of the request is too long",
	BodyTooSlow:        "the body of the request comes too slowly",
	BodyNotTaken:       "this address takes no bodies",
	BodyIncomplete:     "the body of the request ended early",
	Evicted:            "the node has too many connections",
	NoMemory:           "the node has no memory left for the request",
}

// Text describes the reason to a client. It states that the request was not run.
func (r Reason) Text() string { return reasonTexts[r] + "; the request was not run" }

// Limits of time. Limits of the configuration that are not set have the values of the
// users' sites.
const (
	defaultHeadBytes   = 16 * kib
	defaultBodyBytes   = 256 * kib
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// idleFactor keeps a connection open for longer than the callers use it again, so
	// that it is not closed while a request is on its way.
	idleFactor = 2
	// headSlack is added to the limit of a head: the request line, and what is read of
	// a body together with the end of its head.
	headSlack = 4*kib + 1*kib
	// progressStep is the part of a body by which its progress is measured.
	progressStep = 16 * kib
	// stallGrace is how much longer a step may take than at the slowest progress. It
	// covers a few retransmissions.
	stallGrace = time.Second
	// pressedStallGrace replaces stallGrace while requests are refused for lack of
	// memory. 50 clients on a link of 10 Mbit/s still transfer a step in it.
	pressedStallGrace = 500 * time.Millisecond
	// pressedFor is how long after such a refusal pressedStallGrace applies.
	pressedFor = time.Second
	// answerGrace is how much longer an answer may take than at the slowest progress.
	answerGrace = 2 * time.Second
	// evictableAfter is the age from which a connection without a complete request may
	// be closed for another one. An ordinary request is complete earlier.
	evictableAfter = 250 * time.Millisecond
	// closingFor is the age from which a connection that was answered by a refusal may
	// be closed for another one, maxClosing the age at which it is closed. Its client
	// reads the refusal meanwhile.
	closingFor = 50 * time.Millisecond
	maxClosing = time.Second
	// crowdedPercent is the part of a server's connections from which each answer ends its
	// connection. Callers that keep connections open then leave places to others, without
	// the loss of a request that is on its way.
	crowdedPercent = 85
	// firstRequestGrace is the age up to which a stopping process waits for the first
	// request of a connection.
	firstRequestGrace = time.Second
	// evictionPause is the time after a search without a result for which no other
	// search is made. It limits the processor time in a flood of connections.
	evictionPause = 50 * time.Millisecond
)

type phase int

// Phases of a connection.
const (
	// quiet means that nothing of a request has been received.
	quiet phase = iota
	head
	body
	// serving lasts from the end of the body until the answer is written.
	serving
	// closing means that a refusal was written and the connection ends.
	closing
)

// Connection is one client's connection.
type Connection struct {
	server  Server
	address string
	phase   phase
	// since is when the phase began, stepSince when the present step of a body began.
	since, stepSince time.Time
	// bytes counts what the phase has received, stepBytes what the step has.
	bytes, stepBytes int
	// ahead is true if bytes of the next request came while this one was served.
	ahead bool
	// proven is true once a request of the connection was successful.
	proven bool
	share  int64
	open   bool
}

// Gate holds the connections of a process and the memory of their requests.
type Gate struct {
	capacity Capacity
	limits   policy.RequestLimits
	// budget is that of the callers' requests, others that of the other servers.
	budget, others budget
	connections    [serverCount]map[*Connection]struct{}
	byAddress      map[string]int
	refused        map[Reason]int64
	pressedUntil   time.Time
	noEviction     [serverCount]time.Time
}

// NewGate returns a gate without connections.
func NewGate(c Capacity) *Gate {
	g := &Gate{
		capacity: c, budget: budget{capacity: c.RequestBytes}, others: budget{capacity: c.OtherRequestBytes},
		byAddress: make(map[string]int), refused: make(map[Reason]int64),
	}
	for s := range g.connections {
		g.connections[s] = make(map[*Connection]struct{})
	}
	g.SetLimits(policy.RequestLimits{})
	return g
}

// SetLimits replaces the limits of the configuration. They apply at once, also to
// requests that are being received.
func (g *Gate) SetLimits(l policy.RequestLimits) {
	l.HeaderBytes = orDefault(l.HeaderBytes, defaultHeadBytes)
	l.BodyBytes = orDefault(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = time.Duration(orDefault(int(l.HeaderTimeout), int(defaultHeadTimeout)))
	l.IdleTimeout = time.Duration(orDefault(int(l.IdleTimeout), int(defaultIdleTimeout)))
	g.limits = l
}

// MaxBody returns the longest body that the configuration allows.
func (g *Gate) MaxBody() int { return g.limits.BodyBytes }

// Capacity returns the limits of the process.
func (g *Gate) Capacity() Capacity { return g.capacity }

// Open adds a connection. Evicted is a connection that has to be closed for it, or nil.
// A connection that is refused is not added, and is nil.
func (g *Gate) Open(s Server, address string, now time.Time) (c, evicted *Connection, refused Reason) {
	if limit := g.capacity.ConnectionsPerAddress; s == Callers && limit > 0 && g.byAddress[address] >= limit {
		return nil, nil, g.refuse(AddressConnections)
	}
	if len(g.connections[s]) >= g.capacity.Connections[s] {
		if evicted = g.evict(s, now); evicted == nil {
			return nil, nil, g.refuse(TooManyConnections)
		}
		g.refuse(Evicted)
	}
	c = &Connection{server: s, address: address, since: now, open: true}
	g.connections[s][c] = struct{}{}
	if s == Callers {
		g.byAddress[address]++
	}
	return c, evicted, ""
}

// evict removes the connection that has been without a complete request for longest.
// Callers keep connections for further requests, and one may be on its way: a connection
// with a successful request is evicted only after the idle time of the configuration.
func (g *Gate) evict(s Server, now time.Time) *Connection {
	if now.Before(g.noEviction[s]) {
		return nil
	}
	var oldest *Connection
	for c := range g.connections[s] {
		if g.evictable(c, now) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil {
		g.noEviction[s] = now.Add(evictionPause)
		return nil
	}
	g.Close(oldest)
	return oldest
}

func (g *Gate) evictable(c *Connection, now time.Time) bool {
	age := now.Sub(c.since)
	switch c.phase {
	case quiet:
		return !c.proven && age >= evictableAfter || age > g.limits.IdleTimeout
	case head:
		return age >= evictableAfter
	case closing:
		return age >= closingFor
	}
	return false
}

// Close removes a connection. It has no effect if the connection was removed before.
func (g *Gate) Close(c *Connection) {
	if !c.open {
		return
	}
	c.open = false
	g.release(c)
	delete(g.connections[c.server], c)
	if c.server == Callers {
		if g.byAddress[c.address]--; g.byAddress[c.address] <= 0 {
			delete(g.byAddress, c.address)
		}
	}
}

func (g *Gate) release(c *Connection) {
	g.budgetOf(c).release(c.share)
	c.share = 0
}

func (g *Gate) budgetOf(c *Connection) *budget {
	if c.server == Callers {
		return &g.budget
	}
	return &g.others
}

func (g *Gate) reserve(c *Connection, n int64, large bool, now time.Time) Reason {
	if !c.open {
		return Evicted
	}
	if !g.budgetOf(c).reserve(n, large) {
		g.pressedUntil = now.Add(pressedFor)
		return g.refuse(NoMemory)
	}
	c.share += n
	return ""
}

// Received records that a connection has received bytes, with the number of line ends
// among them. If it returns a reason, the request is refused.
func (g *Gate) Received(c *Connection, bytes, lines int, now time.Time) Reason {
	switch c.phase {
	case quiet:
		c.enter(head, now)
		return g.receivedHead(c, bytes, lines, now)
	case head:
		return g.receivedHead(c, bytes, lines, now)
	case body:
		c.bytes += bytes
		if c.stepBytes += bytes; c.stepBytes >= progressStep {
			c.stepBytes, c.stepSince = 0, now
		}
	case serving:
		c.ahead = true
	}
	return ""
}

func (g *Gate) receivedHead(c *Connection, bytes, lines int, now time.Time) Reason {
	c.bytes += bytes
	if c.bytes > g.limits.HeaderBytes+headSlack {
		return g.refuse(HeadTooLarge)
	}
	return g.reserve(c, headShare(bytes, lines), false, now)
}

func (c *Connection) enter(p phase, now time.Time) {
	c.phase, c.since, c.stepSince = p, now, now
	c.bytes, c.stepBytes = 0, 0
}

// Begin decides about a request whose head was parsed, with so many bytes and lines. A
// head that came together with an earlier request was not counted by Received.
func (g *Gate) Begin(c *Connection, bytes, lines int, now time.Time) Reason {
	if !c.open {
		return Evicted
	}
	missing := headShare(bytes, lines) - c.share
	c.enter(serving, now)
	if missing <= 0 {
		return ""
	}
	return g.reserve(c, missing, false, now)
}

// BeginBody decides about a body before anything of it is read. Length is -1 if it is not
// known; Extend then reserves the body part by part. The metrics server takes short ones
// of known length, with the jobs that operators ask about: all its connections together
// leave enough of the memory that it shares with the readiness server.
func (g *Gate) BeginBody(c *Connection, length int64, now time.Time) Reason {
	if c.server == Readiness || c.server == Metrics && length < 0 {
		return g.refuse(BodyNotTaken)
	}
	if c.server == Metrics && length > smallBody {
		return g.refuse(BodyTooLarge)
	}
	c.enter(body, now)
	if length < 0 {
		return ""
	}
	if length > int64(g.limits.BodyBytes) {
		return g.refuse(BodyTooLarge)
	}
	return g.reserve(c, bodyShare(int(length)), length > smallBody, now)
}

// Extend reserves the memory for further bytes of a body of unknown length. Total is the
// length of the body including them.
func (g *Gate) Extend(c *Connection, bytes, total int, now time.Time) Reason {
	return g.reserve(c, bodyShare(bytes), total > smallBody, now)
}

// Count counts a refusal that the gate did not decide: a body that turned out to be too
// long or incomplete, an answer that is not read, a lack of descriptors.
func (g *Gate) Count(r Reason) Reason { return g.refuse(r) }

// Serve records that a body has been received completely. If it returns a reason, the
// body was given up before.
func (g *Gate) Serve(c *Connection, now time.Time) Reason {
	if c.phase == closing || !c.open {
		return BodyTooSlow
	}
	c.enter(serving, now)
	return ""
}

// Refused records that a refusal is written and the connection ends.
func (g *Gate) Refused(c *Connection, now time.Time) {
	g.release(c)
	c.enter(closing, now)
}

// Crowded reports whether the answer to a request has to end its connection.
func (g *Gate) Crowded(c *Connection) bool {
	return len(g.connections[c.server])*100 >= g.capacity.Connections[c.server]*crowdedPercent
}

// Prove records that a request of the connection was successful.
func (g *Gate) Prove(c *Connection) { c.proven = true }

// Answered records that the answer of a request is written.
func (g *Gate) Answered(c *Connection, now time.Time) {
	g.release(c)
	ahead := c.ahead
	c.enter(quiet, now)
	c.ahead = false
	if ahead {
		c.phase = head
	}
}

func (g *Gate) refuse(r Reason) Reason {
	g.refused[r]++
	return r
}

// Totals returns how often each reason has refused a client.
func (g *Gate) Totals() map[Reason]int64 {
	totals := make(map[Reason]int64, len(g.refused))
	for r, n := range g.refused {
		totals[r] = n
	}
	return totals
}

// Used returns the number of open connections and the memory that requests of all servers
// have reserved.
func (g *Gate) Used() (connections int, requestBytes int64) {
	for s := range g.connections {
		connections += len(g.connections[s])
	}
	return connections, g.budget.used + g.others.used
}

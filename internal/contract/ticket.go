package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TicketPrefix starts every ticket. Callers may not choose keys that start with
// it.
const TicketPrefix = "ticket-"

// Bounds of tickets. At the bounds a table takes about 26 MB: 16 MiB of answers
// and about 150 bytes for each record.
const (
	// MaxTicketsPerCall bounds one call that issues tickets.
	MaxTicketsPerCall = 1000
	maxTickets        = 65_536
	maxAnswerBytes    = 16 << 20
	// TicketLife is how long a ticket can be used after it was issued, and how
	// long its answer is kept after its request ended.
	TicketLife = 10 * time.Minute
	macSize    = 16
)

// ErrMalformedTicket means that a text with TicketPrefix is not a ticket.
var ErrMalformedTicket = errors.New("malformed ticket")

// Ticket is the permission to run one request at most once. Only the issuing
// incarnation of an entry instance can run it.
type Ticket struct {
	Issuer      string
	Incarnation uint64
	Sequence    uint64
	MAC         string
}

// String returns the text that callers send as idempotency key.
func (t Ticket) String() string {
	return fmt.Sprintf("%s%x-%x-%s-%s", TicketPrefix, t.Incarnation, t.Sequence, t.MAC, t.Issuer)
}

// IsTicket reports whether an idempotency key is meant to be a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// ParseTicket reads the text of a ticket. It does not check the MAC.
func ParseTicket(key string) (Ticket, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, TicketPrefix), "-", 4)
	if !IsTicket(key) || len(parts) != 4 || len(parts[2]) != 2*macSize || parts[3] == "" {
		return Ticket{}, ErrMalformedTicket
	}
	incarnation, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return Ticket{}, ErrMalformedTicket
	}
	sequence, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Ticket{}, ErrMalformedTicket
	}
	return Ticket{Issuer: parts[3], Incarnation: incarnation, Sequence: sequence, MAC: parts[2]}, nil
}

// BodyHash identifies the body of a request together with its service.
type BodyHash [sha256.Size]byte

// HashBody returns the hash of one request.
func HashBody(service string, body []byte) BodyHash {
	h := sha256.New()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	var sum BodyHash
	h.Sum(sum[:0])
	return sum
}

// RunKind is what is known of a request that may be repeated.
type RunKind string

// Kinds of runs.
const (
	// RunStart means that this is the one time to run the request.
	RunStart RunKind = "start"
	// RunRunning means that the request is running for an earlier call.
	RunRunning  RunKind = "running"
	RunAnswered RunKind = "answered"
	// RunUnknown means that the request may have run and will not run again.
	RunUnknown RunKind = "unknown"
	// RunNotRun means that the request ended without having run.
	RunNotRun RunKind = "not-run"
	// RunOtherBody means that the key belongs to another request.
	RunOtherBody RunKind = "other-body"
	// RunRefused means that the ticket is not valid for the caller.
	RunRefused RunKind = "refused"
)

// Run is the state of a request that may be repeated, or its end.
type Run struct {
	Kind RunKind
	// Status and Body are the answer when Kind is RunAnswered.
	Status int
	Body   []byte
	// Reason explains every kind but RunStart and RunAnswered.
	Reason string
}

type ticketRecord struct {
	team     string
	issuedAt time.Time
	endedAt  time.Time
	body     BodyHash
	run      Run
	used     bool
}

// TicketTable holds the tickets that one incarnation of an entry instance
// issued. It is owned by the control thread.
//
// Invariant: Begin returns RunStart at most once for each ticket, unless the
// run before ended with RunNotRun.
type TicketTable struct {
	issuer      string
	incarnation uint64
	secret      []byte
	records     map[uint64]*ticketRecord
	// oldest is the lowest sequence that is still held, next the one to issue.
	oldest, next uint64
	// answered are the sequences with a kept answer, oldest first.
	answered    []uint64
	answerBytes int
}

// NewTicketTable returns an empty table. The secret must be random and must not
// leave the process.
func NewTicketTable(issuer string, incarnation uint64, secret []byte) *TicketTable {
	return &TicketTable{
		issuer: issuer, incarnation: incarnation, secret: secret,
		records: make(map[uint64]*ticketRecord), oldest: 1, next: 1,
	}
}

// Issue returns count new tickets of a team. It returns none when the table is
// full or count is outside its bounds.
func (t *TicketTable) Issue(now time.Time, team string, count int) []Ticket {
	t.expire(now)
	if count < 1 || count > MaxTicketsPerCall || len(t.records)+count > maxTickets {
		return nil
	}
	list := make([]Ticket, 0, count)
	for range count {
		t.records[t.next] = &ticketRecord{team: team, issuedAt: now}
		list = append(list, Ticket{Issuer: t.issuer, Incarnation: t.incarnation, Sequence: t.next, MAC: t.mac(t.next)})
		t.next++
	}
	return list
}

// Issued reports whether the ticket names this incarnation.
func (t *TicketTable) Issued(k Ticket) bool {
	return k.Issuer == t.issuer && k.Incarnation == t.incarnation
}

// Begin decides what a call with the ticket gets.
func (t *TicketTable) Begin(now time.Time, k Ticket, team string, body BodyHash) Run {
	t.expire(now)
	if !t.Issued(k) {
		return Run{Kind: RunUnknown, Reason: "the instance that issued the ticket is gone; the ticket will not run again"}
	}
	if !hmac.Equal([]byte(k.MAC), []byte(t.mac(k.Sequence))) {
		return Run{Kind: RunRefused, Reason: "the ticket was not issued by this instance"}
	}
	r := t.records[k.Sequence]
	switch {
	case r == nil:
		return Run{Kind: RunUnknown, Reason: "the ticket is too old; it will not run again"}
	case r.team != team:
		return Run{Kind: RunRefused, Reason: "the ticket was issued to another team"}
	case !r.used:
		r.used, r.body, r.run = true, body, Run{Kind: RunRunning, Reason: "the request is running"}
		return Run{Kind: RunStart}
	case r.body != body:
		return Run{Kind: RunOtherBody, Reason: "the ticket was used for a request with another body"}
	}
	return r.run
}

// End records how the run that Begin started has ended. A request that did not
// run leaves its ticket unused.
func (t *TicketTable) End(now time.Time, sequence uint64, run Run) {
	r := t.records[sequence]
	if r == nil || r.run.Kind != RunRunning {
		return
	}
	if run.Kind == RunNotRun {
		r.used, r.run = false, Run{}
		return
	}
	r.run, r.endedAt = run, now
	if run.Kind == RunAnswered {
		t.answered = append(t.answered, sequence)
		t.answerBytes += len(run.Body)
		t.forgetAnswers()
	}
}

// forgetAnswers drops the oldest answers above the bound.
func (t *TicketTable) forgetAnswers() {
	for t.answerBytes > maxAnswerBytes && len(t.answered) > 0 {
		sequence := t.answered[0]
		t.answered = t.answered[1:]
		r := t.records[sequence]
		if r == nil {
			continue
		}
		t.answerBytes -= len(r.run.Body)
		r.run = Run{Kind: RunUnknown, Reason: "the request ran, but its answer is no longer kept"}
	}
}

// expire drops records in the order of issue. A record in use delays younger
// ones by at most TicketLife and the longest deadline.
func (t *TicketTable) expire(now time.Time) {
	for t.oldest < t.next {
		r := t.records[t.oldest]
		if r.run.Kind == RunRunning || now.Sub(r.issuedAt) < TicketLife || r.used && now.Sub(r.endedAt) < TicketLife {
			return
		}
		if r.run.Kind == RunAnswered {
			t.answerBytes -= len(r.run.Body)
			r.run.Body = nil
		}
		delete(t.records, t.oldest)
		t.oldest++
	}
}

// Held returns the number of tickets in the table and the bytes of answers.
func (t *TicketTable) Held() (tickets, answerBytes int) { return len(t.records), t.answerBytes }

func (t *TicketTable) mac(sequence uint64) string {
	var message [16]byte
	binary.BigEndian.PutUint64(message[:8], t.incarnation)
	binary.BigEndian.PutUint64(message[8:], sequence)
	h := hmac.New(sha256.New, t.secret)
	_, _ = h.Write(message[:])
	_, _ = h.Write([]byte(t.issuer))
	return hex.EncodeToString(h.Sum(nil)[:macSize])
}

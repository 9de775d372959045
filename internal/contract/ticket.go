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

// TicketPrefix starts the text of every ticket. Keys that callers choose must
// not start with it.
const TicketPrefix = "ticket-"

// Bounds of tickets. A full table takes about 26 MB: 16 MiB of answers and
// about 150 bytes for each record.
const (
	// MaxTicketsPerCall is the largest number of tickets that one call may issue.
	MaxTicketsPerCall = 1000
	// maxTickets and maxAnswerBytes bound the records and the answers of a table.
	maxTickets     = 65_536
	maxAnswerBytes = 16 << 20
	// TicketLife is how long a ticket can be used after it was issued, and how
	// long its answer is kept after its request ended.
	TicketLife = 10 * time.Minute
	// macBytes is the length of a truncated MAC in bytes.
	macBytes = 16
)

// ErrMalformedTicket is the error of a text that does not have the form of a
// ticket.
var ErrMalformedTicket = errors.New("malformed ticket")

// Ticket is an issued idempotency key that lets one request run at most once.
// Only the incarnation of the entry instance that issued it can run the
// request.
type Ticket struct {
	// Issuer is the id of the issuing instance.
	Issuer      string
	Incarnation uint64
	// Sequence is the number of the ticket at its issuer.
	Sequence uint64
	// MAC is a truncated hexadecimal HMAC of the other fields.
	MAC string
}

// String returns the text that callers send as idempotency key,
// "ticket-incarnation-sequence-mac-issuer" with hexadecimal numbers.
func (t Ticket) String() string {
	return fmt.Sprintf("%s%x-%x-%s-%s", TicketPrefix, t.Incarnation, t.Sequence, t.MAC, t.Issuer)
}

// IsTicket reports whether an idempotency key has the prefix of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// ParseTicket parses the text of a ticket. It does not verify the MAC.
func ParseTicket(key string) (Ticket, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, TicketPrefix), "-", 4)
	if !IsTicket(key) || len(parts) != 4 || len(parts[2]) != 2*macBytes || parts[3] == "" {
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

// BodyHash is a hash of the service and the body of a request.
type BodyHash [sha256.Size]byte

// HashBody returns the BodyHash of a request.
func HashBody(service string, body []byte) BodyHash {
	h := sha256.New()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	var sum BodyHash
	h.Sum(sum[:0])
	return sum
}

// RunState is the state of a request with an idempotency key.
type RunState string

// States of a request.
const (
	// RunStart means that the present call must run the request.
	RunStart RunState = "start"
	// RunRunning means that the request is running for an earlier call.
	RunRunning RunState = "running"
	// RunAnswered means that the request has run and its answer is kept.
	RunAnswered RunState = "answered"
	// RunUnknown means that the request may have run and will not run again.
	RunUnknown RunState = "unknown"
	// RunNotRun means that the request ended without having run.
	RunNotRun RunState = "not-run"
	// RunOtherBody means that the key was used for a request with another body.
	RunOtherBody RunState = "other-body"
	// RunRefused means that the ticket is not valid for the caller.
	RunRefused RunState = "refused"
)

// Run is the state of a request with an idempotency key, and its answer.
type Run struct {
	State RunState
	// Status and Body are the answer when State is RunAnswered.
	Status int
	Body   []byte
	// Reason explains every state except RunStart and RunAnswered.
	Reason string
}

// ticketRecord is the state of one issued ticket.
type ticketRecord struct {
	team     string
	issuedAt time.Time
	// endedAt is when the request ended, the zero time before.
	endedAt time.Time
	// body and run belong to the request while used is true.
	body BodyHash
	run  Run
	used bool
}

// TicketTable holds the tickets that one incarnation of an entry instance
// issued. It is owned by the control thread.
//
// Invariant: Begin returns RunStart at most once for each ticket, unless the
// previous run ended with RunNotRun.
type TicketTable struct {
	issuer      string
	incarnation uint64
	secret      []byte
	records     map[uint64]*ticketRecord
	// oldest is the lowest sequence with a record, next the next one to issue.
	oldest, next uint64
	// answered lists the sequences whose answers may be kept, oldest first.
	answered []uint64
	// answerBytes is the total size of the kept answers.
	answerBytes int
}

// NewTicketTable returns an empty table. The secret authenticates tickets; it
// must be random and must not leave the process.
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

// Issued reports whether the ticket names this instance and incarnation as its
// issuer. It does not verify the MAC.
func (t *TicketTable) Issued(ticket Ticket) bool {
	return ticket.Issuer == t.issuer && ticket.Incarnation == t.incarnation
}

// Begin returns the state of the request for a call that presents the ticket.
// On RunStart the caller must run the request and report its end with End.
func (t *TicketTable) Begin(now time.Time, ticket Ticket, team string, body BodyHash) Run {
	t.expire(now)
	if !t.Issued(ticket) {
		return Run{State: RunUnknown, Reason: "the instance that issued the ticket has ended or restarted; the ticket will not run again"}
	}
	if !hmac.Equal([]byte(ticket.MAC), []byte(t.mac(ticket.Sequence))) {
		return Run{State: RunRefused, Reason: "the ticket was not issued by this instance"}
	}
	r := t.records[ticket.Sequence]
	switch {
	case r == nil:
		return Run{State: RunUnknown, Reason: "the ticket has expired; it will not run again"}
	case r.team != team:
		return Run{State: RunRefused, Reason: "the ticket was issued to another team"}
	case !r.used:
		r.used, r.body, r.run = true, body, Run{State: RunRunning, Reason: "the request is running"}
		return Run{State: RunStart}
	case r.body != body:
		return Run{State: RunOtherBody, Reason: "the ticket was used for a request with another body"}
	}
	return r.run
}

// End records the result of a run that Begin started. After RunNotRun the
// ticket may be used again.
func (t *TicketTable) End(now time.Time, sequence uint64, run Run) {
	r := t.records[sequence]
	if r == nil || r.run.State != RunRunning {
		return
	}
	if run.State == RunNotRun {
		r.used, r.run = false, Run{}
		return
	}
	r.run, r.endedAt = run, now
	if run.State == RunAnswered {
		t.answered = append(t.answered, sequence)
		t.answerBytes += len(run.Body)
		t.dropOldestAnswers()
	}
}

// dropOldestAnswers drops the oldest answers until the total size of the kept
// ones is at most maxAnswerBytes.
func (t *TicketTable) dropOldestAnswers() {
	for t.answerBytes > maxAnswerBytes && len(t.answered) > 0 {
		sequence := t.answered[0]
		t.answered = t.answered[1:]
		r := t.records[sequence]
		if r == nil {
			continue
		}
		t.answerBytes -= len(r.run.Body)
		r.run = Run{State: RunUnknown, Reason: "the request ran, but its answer is no longer kept"}
	}
}

// expire drops expired records in the order of issue. A used record delays the
// expiry of later ones by at most TicketLife and the longest deadline of a
// request.
func (t *TicketTable) expire(now time.Time) {
	for t.oldest < t.next {
		r := t.records[t.oldest]
		if r.run.State == RunRunning || now.Sub(r.issuedAt) < TicketLife || r.used && now.Sub(r.endedAt) < TicketLife {
			return
		}
		if r.run.State == RunAnswered {
			t.answerBytes -= len(r.run.Body)
			r.run.Body = nil
		}
		delete(t.records, t.oldest)
		t.oldest++
	}
}

// Held returns the number of tickets in the table and the total size of the
// kept answers in bytes.
func (t *TicketTable) Held() (tickets, answerBytes int) { return len(t.records), t.answerBytes }

// mac returns the truncated hexadecimal HMAC-SHA256 of the ticket with the
// given sequence.
func (t *TicketTable) mac(sequence uint64) string {
	var message [16]byte
	binary.BigEndian.PutUint64(message[:8], t.incarnation)
	binary.BigEndian.PutUint64(message[8:], sequence)
	h := hmac.New(sha256.New, t.secret)
	_, _ = h.Write(message[:])
	_, _ = h.Write([]byte(t.issuer))
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}

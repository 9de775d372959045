package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// maxTicketWaiters bounds the repeated calls that wait for one running ticket.
const maxTicketWaiters = 64

// tickets holds the tickets that this process issued and the repeated calls
// that wait for the end of a run.
type tickets struct {
	table   *contract.TicketTable
	waiting map[uint64][]chan<- contract.Run
}

func newTickets(o Options) tickets {
	return tickets{
		table:   contract.NewTicketTable(o.Self.ID, o.Self.Incarnation, o.TicketSecret),
		waiting: make(map[uint64][]chan<- contract.Run),
	}
}

// IssueTickets issues tickets for a team. The reply is empty when the ticket
// table is full. Reply must have a free buffer place.
type IssueTickets struct {
	Team  string
	Count int
	Reply chan<- []contract.Ticket
}

// Apply implements Event.
func (e IssueTickets) Apply(f *Fleet, now time.Time) []Action {
	e.Reply <- f.tickets.table.Issue(now, e.Team, e.Count)
	return nil
}

// BeginTicket starts the run of a ticket, or returns the state of the run that
// an earlier call started, or a refusal. Reply receives the answer immediately.
// If its state is RunRunning, End receives the result when the run ends. Both
// must have a free buffer place.
type BeginTicket struct {
	Ticket contract.Ticket
	Team   string
	Body   contract.BodyHash
	Reply  chan<- contract.Run
	End    chan<- contract.Run
}

// Apply implements Event.
func (e BeginTicket) Apply(f *Fleet, now time.Time) []Action {
	run := f.tickets.table.Begin(now, e.Ticket, e.Team, e.Body)
	if run.State == contract.RunRunning {
		waiting := f.tickets.waiting[e.Ticket.Sequence]
		if len(waiting) < maxTicketWaiters {
			f.tickets.waiting[e.Ticket.Sequence] = append(waiting, e.End)
		} else {
			run = contract.Run{State: contract.RunUnknown, Reason: "the request is running and too many repeated calls wait for it"}
		}
	}
	e.Reply <- run
	return nil
}

// EndTicket reports the end of a run that BeginTicket started.
type EndTicket struct {
	Ticket contract.Ticket
	Run    contract.Run
}

// Apply implements Event.
func (e EndTicket) Apply(f *Fleet, now time.Time) []Action {
	f.tickets.table.End(now, e.Ticket.Sequence, e.Run)
	for _, end := range f.tickets.waiting[e.Ticket.Sequence] {
		end <- e.Run
	}
	delete(f.tickets.waiting, e.Ticket.Sequence)
	return nil
}

// MemberQuery asks for the address of another entry instance. The reply is the
// zero Member when the instance is unknown. Reply must have a free buffer place.
type MemberQuery struct {
	ID    string
	Reply chan<- link.Member
}

// Apply implements Event.
func (e MemberQuery) Apply(f *Fleet, now time.Time) []Action {
	var member link.Member
	if l := f.peers.members.Link(e.ID); l != nil {
		member = l.Member
	}
	e.Reply <- member
	return nil
}

// MembersQuery asks for all known entry instances but this one, ordered by id.
// Reply must have a free buffer place.
type MembersQuery struct{ Reply chan<- []link.Member }

// Apply implements Event.
func (e MembersQuery) Apply(f *Fleet, now time.Time) []Action {
	var list []link.Member
	for _, l := range f.peers.members.Links() {
		list = append(list, l.Member)
	}
	e.Reply <- list
	return nil
}

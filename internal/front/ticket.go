package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// TicketList is the JSON answer to POST /v1/tickets.
type TicketList struct {
	Tickets []string `json:"tickets"`
	// LifeMS is the time from issue for which the tickets can be used, in
	// milliseconds.
	LifeMS int64 `json:"life_ms"`
}

func (s *Server) ticketRoutes() []route {
	return []route{{method: http.MethodPost, prefix: "/v1/tickets", handle: s.issueTickets}}
}

// issueTickets serves POST /v1/tickets?count=N. The count defaults to 1.
func (s *Server) issueTickets(x *exchange, _ string) {
	count := 1
	if param := x.request.URL.Query().Get("count"); param != "" {
		var err error
		if count, err = strconv.Atoi(param); err != nil || count < 1 || count > contract.MaxTicketsPerCall {
			reason := fmt.Sprintf("count must be 1 to %d", contract.MaxTicketsPerCall)
			writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: reason})
			return
		}
	}
	list, refusal := s.deps.Traffic.IssueTickets(context.Background(), x.header(HeaderKey), count)
	if refusal != nil {
		writeError(x, refusalStatus[refusal.Code], Error{
			Code: refusal.Code, Reason: refusal.Reason, RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		})
		return
	}
	answer := TicketList{LifeMS: contract.TicketLife.Milliseconds()}
	for _, t := range list {
		answer.Tickets = append(answer.Tickets, t.String())
	}
	writeJSON(x, http.StatusOK, answer)
}

package front

import (
	"context"
	"net/http"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// queryControl sends an event that asks for a reply to the control thread and
// returns the reply. When none arrives within statusTimeout, it writes the error
// reply and returns false.
func queryControl[T any](s *Server, x *exchange, newEvent func(reply chan<- T) fleet.Event) (T, bool) {
	queryCtx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	result, err := control.Ask(queryCtx, s.deps.Loop, newEvent)
	if err != nil {
		writeError(x, http.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return result, false
	}
	return result, true
}

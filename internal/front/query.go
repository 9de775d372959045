package front

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// query asks the control thread for a view. It writes the error and returns
// false when there is no reply. The context is not the request's, which ends at
// a planned stop although the request is still served.
func query[T any](s *Server, ctx *fasthttp.RequestCtx, event func(reply chan<- T) fleet.Event) (T, bool) {
	limited, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	view, err := control.Ask(limited, s.parts.Loop, event)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return view, false
	}
	return view, true
}

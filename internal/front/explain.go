package front

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Explanation is the JSON answer to an explain query, oldest decision first.
type Explanation struct {
	Decisions []fleet.Decision `json:"decisions"`
}

func (s *Server) explainRoutes() []route {
	return []route{{method: fasthttp.MethodGet, prefix: "/v1/explain/", handle: s.explain}}
}

// explain serves /v1/explain/{kind}/{name}.
func (s *Server) explain(ctx *fasthttp.RequestCtx, path string) {
	kind, name, ok := strings.Cut(path, "/")
	if !ok || name == "" {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "use /v1/explain/KIND/NAME"})
		return
	}
	reply := make(chan []fleet.Decision, 1)
	subject := fleet.Subject{Kind: fleet.SubjectKind(kind), Name: name}
	if err := s.parts.Loop.Send(ctx, fleet.ExplainQuery{Subject: subject, Reply: reply}); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, Explanation{Decisions: <-reply})
}

package front

import (
	"net/http"
	"strings"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Explanation is the JSON answer to GET /v1/explain/{kind}/{name}.
type Explanation struct {
	// Decisions are the recorded decisions on the subject, oldest first.
	Decisions []fleet.Decision `json:"decisions"`
}

func (s *Server) explainRoutes() []route {
	return []route{{method: http.MethodGet, prefix: "/v1/explain/", handle: s.explain}}
}

// explain serves GET /v1/explain/{kind}/{name}.
func (s *Server) explain(x *exchange, path string) {
	kind, name, found := strings.Cut(path, "/")
	if !found || name == "" {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "the path must be /v1/explain/KIND/NAME"})
		return
	}
	subject := fleet.Subject{Kind: fleet.SubjectKind(kind), Name: name}
	decisions, ok := queryControl(s, x, func(reply chan<- []fleet.Decision) fleet.Event {
		return fleet.ExplainQuery{Subject: subject, Reply: reply}
	})
	if !ok {
		return
	}
	writeJSON(x, http.StatusOK, Explanation{Decisions: decisions})
}

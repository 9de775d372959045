package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// WherePath is the path at a node's metrics address that answers where a job would go.
// Its parameters are job, the id of a known job, or queue and team, with the job in the
// body of a POST.
const WherePath = "/explain/where"

// WhereAnswer is the answer at WherePath.
type WhereAnswer struct {
	Node string `json:"node"`
	// Accepted is whether the node would accept the job, or has accepted it. Refusal is
	// why not.
	Accepted bool   `json:"accepted"`
	Refusal  string `json:"refusal,omitempty"`
	// Where is nil if the job would be refused.
	Where *scheduler.Where `json:"where,omitempty"`
}

// WhereError is the answer at WherePath if the question cannot be answered.
type WhereError struct {
	Error string `json:"error"`
}

// operatorsHandler serves the metrics and the questions of operators. It changes nothing.
func (n *node) operatorsHandler(ctx context.Context, service *ingress.Service) http.Handler {
	metrics := n.metrics.handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, refusal := n.readBody(w, r)
		switch {
		case refusal != nil:
			platform.RefuseRequest(w, *refusal)
		case r.URL.Path == WherePath:
			n.serveWhere(ctx, w, r, body, service)
		default:
			metrics.ServeHTTP(w, r)
		}
	})
}

func (n *node) serveWhere(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, service *ingress.Service) {
	args := r.URL.Query()
	answer := WhereAnswer{Node: n.settings.Instance, Accepted: true}
	var q scheduler.WhereQuery
	switch {
	case args.Has("job"):
		id, ok := job.ParseID(args.Get("job"))
		if !ok {
			replyWhere(w, http.StatusBadRequest, WhereError{"job: the id is not 16 hexadecimal digits"})
			return
		}
		q.ID = id
	case r.Method != http.MethodPost:
		replyWhere(w, http.StatusBadRequest, WhereError{"job: an id, or a POST with the job's body, queue and team, is required"})
		return
	default:
		var err error
		if q.Spec, err = platform.ParseJob(body); err != nil {
			replyWhere(w, http.StatusBadRequest, WhereError{err.Error()})
			return
		}
		var preview ingress.Answer
		q.Terms, preview = service.Preview(args.Get("queue"), args.Get("team"), q.Spec)
		if preview.Code != ingress.Accepted {
			answer.Accepted, answer.Refusal = false, preview.Reason
			replyWhere(w, http.StatusOK, answer)
			return
		}
	}
	where, err := query(ctx, n.loop, func(reply chan<- scheduler.Where) scheduler.Event {
		q.Reply = reply
		return q
	})
	if err == nil && where.Problem == "" {
		answer.Where = &where
		replyWhere(w, http.StatusOK, answer)
		return
	}
	if err != nil {
		where.Problem = err.Error()
	}
	replyWhere(w, http.StatusConflict, WhereError{where.Problem})
}

func replyWhere(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator has closed the connection.
	_, _ = w.Write(body)
}

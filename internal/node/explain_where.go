package node

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

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
func (n *node) operatorsHandler(ctx context.Context, service *ingress.Service) fasthttp.RequestHandler {
	metrics := n.metrics.handler()
	return func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == WherePath {
			n.serveWhere(ctx, c, service)
			return
		}
		metrics(c)
	}
}

func (n *node) serveWhere(ctx context.Context, c *fasthttp.RequestCtx, service *ingress.Service) {
	args := c.QueryArgs()
	answer := WhereAnswer{Node: n.settings.Instance, Accepted: true}
	var q scheduler.WhereQuery
	switch {
	case args.Has("job"):
		id, ok := job.ParseID(string(args.Peek("job")))
		if !ok {
			replyWhere(c, fasthttp.StatusBadRequest, WhereError{"job: the id is not 16 hexadecimal digits"})
			return
		}
		q.ID = id
	case !c.IsPost():
		replyWhere(c, fasthttp.StatusBadRequest, WhereError{"job: an id, or a POST with the job's body, queue and team, is required"})
		return
	default:
		var err error
		if q.Spec, err = platform.ParseJob(c.PostBody()); err != nil {
			replyWhere(c, fasthttp.StatusBadRequest, WhereError{err.Error()})
			return
		}
		var preview ingress.Answer
		q.Terms, preview = service.Preview(string(args.Peek("queue")), string(args.Peek("team")))
		if preview.Code != ingress.Accepted {
			answer.Accepted, answer.Refusal = false, preview.Reason
			replyWhere(c, fasthttp.StatusOK, answer)
			return
		}
	}
	where, err := query(ctx, n.loop, func(reply chan<- scheduler.Where) scheduler.Event {
		q.Reply = reply
		return q
	})
	if err == nil && where.Problem == "" {
		answer.Where = &where
		replyWhere(c, fasthttp.StatusOK, answer)
		return
	}
	if err != nil {
		where.Problem = err.Error()
	}
	replyWhere(c, fasthttp.StatusConflict, WhereError{where.Problem})
}

func replyWhere(c *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}

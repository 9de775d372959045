package front

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// taskTimeout bounds one call about tasks.
const taskTimeout = 10 * time.Second

// TaskSpec is one task of a batch.
type TaskSpec struct {
	MilliCores   int64 `json:"millicores"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Connections  int   `json:"connections,omitempty"`
	Urgent       bool  `json:"urgent,omitempty"`
	// Idempotent has an effect only where the service's document allows it.
	Idempotent  bool   `json:"idempotent,omitempty"`
	Checkpoints bool   `json:"checkpoints,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
}

// TaskSubmission is the body of a submission.
type TaskSubmission struct {
	// DataCentre is where the tasks shall run; empty means the nearest one in
	// service.
	DataCentre string `json:"datacentre,omitempty"`
	// Tasks are accepted all or none, at most zone.SegmentTasks.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskCancel is the body of a cancellation.
type TaskCancel struct {
	// IDs are of one data centre, at most zone.MaxCancels.
	IDs []string `json:"ids"`
}

// TaskAnswer is the JSON answer to a submission and a cancellation.
type TaskAnswer struct {
	// Outcome is accepted or unknown.
	Outcome string   `json:"outcome"`
	IDs     []string `json:"ids,omitempty"`
}

// TaskList is the JSON answer to a list of tasks.
type TaskList struct {
	Tasks []machine.Task `json:"tasks"`
}

func (s *Server) taskRoutes() []route {
	return []route{
		{method: fasthttp.MethodPost, prefix: "/v1/task/submit/", handle: s.submitTasks},
		{method: fasthttp.MethodPost, prefix: "/v1/task/cancel", handle: s.cancelTasks},
		{method: fasthttp.MethodGet, prefix: "/v1/task/list/", handle: s.listTasks},
		{method: fasthttp.MethodGet, prefix: "/v1/task/show/", handle: s.showTask},
	}
}

// submitTasks serves /v1/task/submit/{service}.
func (s *Server) submitTasks(ctx *fasthttp.RequestCtx, service string) {
	var body TaskSubmission
	if err := strictjson.Decode(ctx.PostBody(), &body); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	order := traffic.TaskBatch{
		Service: service, Secret: string(ctx.Request.Header.Peek(HeaderKey)), DataCentre: body.DataCentre,
	}
	for _, t := range body.Tasks {
		order.Tasks = append(order.Tasks, taskOf(t))
	}
	limited, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	writeTaskAnswer(ctx, s.parts.Traffic.SubmitTasks(limited, order))
}

func taskOf(t TaskSpec) machine.Task {
	return machine.Task{
		Declared:    machine.Resources{MilliCores: t.MilliCores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
		Connections: t.Connections, Urgent: t.Urgent, Idempotent: t.Idempotent, Checkpoints: t.Checkpoints, Payload: t.Payload,
	}
}

// cancelTasks serves /v1/task/cancel.
func (s *Server) cancelTasks(ctx *fasthttp.RequestCtx, _ string) {
	var body TaskCancel
	if err := strictjson.Decode(ctx.PostBody(), &body); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	dataCentre, ok := dataCentreOf(body.IDs)
	if !ok {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "ids must be 1 to 4096 task ids of one data centre"})
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	secret := string(ctx.Request.Header.Peek(HeaderKey))
	writeTaskAnswer(ctx, s.parts.Traffic.CancelTasks(limited, secret, dataCentre, body.IDs))
}

// dataCentreOf returns the data centre that all ids name.
func dataCentreOf(ids []string) (string, bool) {
	if len(ids) == 0 || len(ids) > zone.MaxCancels {
		return "", false
	}
	first, _, ok := zone.ParseTaskID(ids[0])
	for _, id := range ids {
		ref, _, valid := zone.ParseTaskID(id)
		ok = ok && valid && ref.DataCentre == first.DataCentre
	}
	return first.DataCentre, ok
}

func writeTaskAnswer(ctx *fasthttp.RequestCtx, a fleet.TaskAnswer) {
	if a.Refusal != nil {
		ctx.Response.Header.Set(HeaderOutcome, string(traffic.NotRun))
		writeError(ctx, taskStatus(a.Refusal.Code), Error{
			Code: a.Refusal.Code, Reason: a.Refusal.Reason, RetryAfterMS: a.Refusal.RetryAfter.Milliseconds(),
		})
		return
	}
	answer := TaskAnswer{Outcome: "accepted", IDs: a.IDs}
	status := fasthttp.StatusAccepted
	if a.Outcome != zone.GroupWritten {
		answer.Outcome, status = string(traffic.Unknown), fasthttp.StatusBadGateway
	}
	writeJSON(ctx, status, answer)
}

// taskStatus maps refusal codes of tasks to HTTP statuses.
func taskStatus(code string) int {
	switch code {
	case fleet.CodeImpossible:
		return fasthttp.StatusUnprocessableEntity
	case fleet.CodeCentreOut, fleet.CodeNotAccepted:
		return fasthttp.StatusServiceUnavailable
	default:
		if status, ok := statusOf[code]; ok {
			return status
		}
		return fasthttp.StatusServiceUnavailable
	}
}

// showTask serves /v1/task/show/{id}.
func (s *Server) showTask(ctx *fasthttp.RequestCtx, id string) {
	task, err := s.parts.Tasks.Show(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		reason := "no task " + id + "; ends are kept for " + zone.Retention.String()
		writeError(ctx, fasthttp.StatusNotFound, Error{Code: "not-found", Reason: reason})
		return
	}
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, task)
}

// listTasks serves /v1/task/list/{datacentre} and .../{team}.
func (s *Server) listTasks(ctx *fasthttp.RequestCtx, path string) {
	dataCentre, team, _ := strings.Cut(path, "/")
	tasks, err := s.parts.Tasks.List(ctx, dataCentre, team)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	if tasks == nil {
		tasks = []machine.Task{}
	}
	writeJSON(ctx, fasthttp.StatusOK, TaskList{Tasks: tasks})
}

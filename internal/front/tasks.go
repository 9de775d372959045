package front

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Bounds of the values in a body (strictjson.DecodeBounded).
const (
	// maxSubmissionValues is above zone.SegmentTasks tasks with all their fields,
	// maxCancellationValues above zone.MaxCancels ids.
	maxSubmissionValues   = 16 * zone.SegmentTasks
	maxCancellationValues = zone.MaxCancels + 8
)

// taskTimeout bounds one submission or cancellation of tasks.
const taskTimeout = 10 * time.Second

// TaskSpec is one task of a submission.
type TaskSpec struct {
	MilliCores   int64 `json:"millicores"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Connections  int   `json:"connections,omitempty"`
	Urgent       bool  `json:"urgent,omitempty"`
	// Idempotent is ignored unless the service's document allows it.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints is true when the task can save its progress.
	Checkpoints bool   `json:"checkpoints,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
}

// TaskSubmission is the body of POST /v1/task/submit/{service}.
type TaskSubmission struct {
	// DataCentre is the data centre to run the tasks in. Empty means the nearest
	// one in service.
	DataCentre string `json:"datacentre,omitempty"`
	// Tasks holds at most zone.SegmentTasks tasks. Either all of them are accepted
	// or none.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskCancellation is the body of POST /v1/task/cancel.
type TaskCancellation struct {
	// IDs are the ids of at most zone.MaxCancels tasks of one data centre.
	IDs []string `json:"ids"`
}

// TaskAnswer is the JSON answer to a submission or cancellation that was not
// refused.
type TaskAnswer struct {
	// Outcome is "accepted" or "unknown".
	Outcome string `json:"outcome"`
	// IDs are the ids of the submitted tasks.
	IDs []string `json:"ids,omitempty"`
}

// TaskList is the JSON answer to GET /v1/task/list/{datacentre} and
// /v1/task/list/{datacentre}/{team}.
type TaskList struct {
	Tasks []machine.Task `json:"tasks"`
}

func (s *Server) taskRoutes() []route {
	return []route{
		{method: http.MethodPost, prefix: "/v1/task/submit/", handle: s.submitTasks},
		{method: http.MethodPost, prefix: "/v1/task/cancel", handle: s.cancelTasks},
		{method: http.MethodGet, prefix: "/v1/task/list/", handle: s.listTasks},
		{method: http.MethodGet, prefix: "/v1/task/show/", handle: s.showTask},
	}
}

// submitTasks serves POST /v1/task/submit/{service}.
func (s *Server) submitTasks(x *exchange, service string) {
	var body TaskSubmission
	if err := strictjson.DecodeBounded(x.body, &body, maxSubmissionValues); err != nil {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	batch := traffic.TaskBatch{
		Service: service, Secret: x.header(HeaderKey), DataCentre: body.DataCentre,
	}
	for _, t := range body.Tasks {
		batch.Tasks = append(batch.Tasks, newTask(t))
	}
	submitCtx, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	writeTaskAnswer(x, s.deps.Traffic.SubmitTasks(submitCtx, batch))
}

func newTask(t TaskSpec) machine.Task {
	return machine.Task{
		Declared:    machine.Resources{MilliCores: t.MilliCores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
		Connections: t.Connections, Urgent: t.Urgent, Idempotent: t.Idempotent, Checkpoints: t.Checkpoints, Payload: t.Payload,
	}
}

// cancelTasks serves POST /v1/task/cancel.
func (s *Server) cancelTasks(x *exchange, _ string) {
	// A list that grows while it is decoded takes five times its final size.
	body := TaskCancellation{IDs: make([]string, 0, min(zone.MaxCancels, bytes.Count(x.body, []byte{','})+1))}
	if err := strictjson.DecodeBounded(x.body, &body, maxCancellationValues); err != nil {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	dataCentre, ok := dataCentreOf(body.IDs)
	if !ok {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "ids must be 1 to 4096 task ids of one data centre"})
		return
	}
	cancelCtx, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	secret := x.header(HeaderKey)
	writeTaskAnswer(x, s.deps.Traffic.CancelTasks(cancelCtx, secret, dataCentre, body.IDs))
}

// dataCentreOf returns the data centre of the ids. It returns false when an id is
// malformed, the ids are of different data centres, or their number is out of
// bounds.
func dataCentreOf(ids []string) (string, bool) {
	if len(ids) == 0 || len(ids) > zone.MaxCancels {
		return "", false
	}
	first, _, ok := zone.ParseTaskID(ids[0])
	if !ok {
		return "", false
	}
	for _, id := range ids {
		if ref, _, valid := zone.ParseTaskID(id); !valid || ref.DataCentre != first.DataCentre {
			return "", false
		}
	}
	return first.DataCentre, true
}

func writeTaskAnswer(x *exchange, a fleet.TaskAnswer) {
	if a.Refusal != nil {
		x.Header().Set(HeaderOutcome, string(traffic.NotRun))
		writeError(x, taskRefusalStatus(a.Refusal.Code), Error{
			Code: a.Refusal.Code, Reason: a.Refusal.Reason, RetryAfterMS: a.Refusal.RetryAfter.Milliseconds(),
		})
		return
	}
	answer := TaskAnswer{Outcome: "accepted", IDs: a.IDs}
	status := http.StatusAccepted
	if a.Outcome != zone.GroupWritten {
		answer.Outcome, status = string(traffic.Unknown), http.StatusBadGateway
	}
	writeJSON(x, status, answer)
}

// taskRefusalStatus returns the HTTP status for the refusal code of a submission
// or cancellation.
func taskRefusalStatus(code string) int {
	switch code {
	case fleet.CodeImpossible:
		return http.StatusUnprocessableEntity
	case fleet.CodeDataCentreOut, fleet.CodeNotAccepted:
		return http.StatusServiceUnavailable
	default:
		if status, ok := refusalStatus[code]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
}

// showTask serves GET /v1/task/show/{id}.
func (s *Server) showTask(x *exchange, id string) {
	task, err := s.deps.Tasks.Show(x.request.Context(), id)
	if errors.Is(err, platform.ErrNotFound) {
		reason := "no task " + id + "; ended tasks are kept for " + zone.Retention.String()
		writeError(x, http.StatusNotFound, Error{Code: "not-found", Reason: reason})
		return
	}
	if err != nil {
		writeError(x, http.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	writeJSON(x, http.StatusOK, task)
}

// listTasks serves GET /v1/task/list/{datacentre} and
// /v1/task/list/{datacentre}/{team}.
func (s *Server) listTasks(x *exchange, path string) {
	dataCentre, team, _ := strings.Cut(path, "/")
	tasks, err := s.deps.Tasks.List(x.request.Context(), dataCentre, team)
	if err != nil {
		writeError(x, http.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfterMS: 1000})
		return
	}
	if tasks == nil {
		tasks = []machine.Task{}
	}
	writeJSON(x, http.StatusOK, TaskList{Tasks: tasks})
}

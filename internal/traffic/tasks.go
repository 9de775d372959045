package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TaskOrder is a group of tasks from a caller for one service.
type TaskOrder struct {
	Service string
	// Secret is the caller's key, empty on open queues.
	Secret string
	// DataCentre is where the tasks shall run; empty means the nearest one in
	// service.
	DataCentre string
	Tasks      []machine.Task
}

// SubmitTasks accepts tasks. Idempotent is kept only where the document of the
// service allows it, as for requests.
func (h *Handler) SubmitTasks(ctx context.Context, o TaskOrder) fleet.TaskAnswer {
	j := &job{Request: Request{Service: o.Service, Secret: o.Secret}, keyHash: HashSecret(o.Secret)}
	if refusal := j.authenticate(h.parts.Control.Snapshot()); refusal != nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: refusal}
	}
	for i := range o.Tasks {
		t := &o.Tasks[i]
		t.Team, t.Service = j.team, o.Service
		t.Idempotent = t.Idempotent && j.document.Idempotent
	}
	reply := make(chan fleet.TaskAnswer, 1)
	return h.askTasks(ctx, fleet.SubmitTasks{DataCentre: o.DataCentre, Tasks: o.Tasks, Reply: reply}, reply)
}

// CancelTasks cancels tasks of the team that the key belongs to.
func (h *Handler) CancelTasks(ctx context.Context, secret, dataCentre string, ids []string) fleet.TaskAnswer {
	key := h.parts.Control.Snapshot().Key(HashSecret(secret))
	if key == nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}}
	}
	reply := make(chan fleet.TaskAnswer, 1)
	return h.askTasks(ctx, fleet.CancelTasks{DataCentre: dataCentre, Team: key.Team, IDs: ids, Reply: reply}, reply)
}

func (h *Handler) askTasks(ctx context.Context, e fleet.Event, reply <-chan fleet.TaskAnswer) fleet.TaskAnswer {
	if err := h.parts.Control.SendTraffic(ctx, e); err != nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}}
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return fleet.TaskAnswer{Outcome: zone.GroupUnknown}
	}
}

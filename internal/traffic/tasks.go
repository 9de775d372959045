package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TaskBatch is a batch of tasks that a caller submits to one service.
type TaskBatch struct {
	Service string
	// Secret is the secret of the caller's key. It may be empty when the service
	// is open.
	Secret string
	// DataCentre is the data centre to run the tasks in. Empty means the nearest
	// one in service.
	DataCentre string
	Tasks      []machine.Task
}

// SubmitTasks submits a batch and waits for the control thread's answer. A task is
// treated as idempotent only if both the caller and the service's document declare
// it so. When ctx ends first, the outcome is unknown: the batch may have been
// accepted.
func (h *Handler) SubmitTasks(ctx context.Context, batch TaskBatch) fleet.TaskAnswer {
	c := &call{Request: Request{Service: batch.Service, Secret: batch.Secret}, keyHash: HashSecret(batch.Secret)}
	if refusal := c.authenticate(h.deps.Control.Snapshot()); refusal != nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: refusal}
	}
	for i := range batch.Tasks {
		t := &batch.Tasks[i]
		t.Team, t.Service = c.team, batch.Service
		t.Idempotent = t.Idempotent && c.document.Idempotent
	}
	reply := make(chan fleet.TaskAnswer, 1)
	return h.requestTasks(ctx, fleet.SubmitTasks{DataCentre: batch.DataCentre, Tasks: batch.Tasks, Reply: reply}, reply)
}

// CancelTasks cancels tasks of the team that owns the key. When ctx ends before
// the control thread answers, the outcome is unknown.
func (h *Handler) CancelTasks(ctx context.Context, secret, dataCentre string, ids []string) fleet.TaskAnswer {
	key := h.deps.Control.Snapshot().Key(HashSecret(secret))
	if key == nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}}
	}
	reply := make(chan fleet.TaskAnswer, 1)
	return h.requestTasks(ctx, fleet.CancelTasks{DataCentre: dataCentre, Team: key.Team, IDs: ids, Reply: reply}, reply)
}

// requestTasks queues a task event for the control thread and waits for its
// answer until ctx ends.
func (h *Handler) requestTasks(ctx context.Context, e fleet.Event, reply <-chan fleet.TaskAnswer) fleet.TaskAnswer {
	if err := h.deps.Control.SendTraffic(ctx, e); err != nil {
		return fleet.TaskAnswer{Outcome: zone.GroupRefused, Refusal: &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}}
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return fleet.TaskAnswer{Outcome: zone.GroupUnknown}
	}
}

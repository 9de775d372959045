package node

import (
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

func (r *runner) pollWorker(a scheduler.PollWorker) scheduler.Event {
	e := scheduler.WorkerAnswered{Worker: a.Target.ID, Fence: a.Request.Fence, SentAt: r.clock.Now()}
	if !r.maySend(a.NotAfter) {
		e.Outcome = scheduler.PollNotSent
		return e
	}
	report, err := r.client.Poll(a.Target, a.Request, pollTimeout)
	var refused *platform.WorkerRefusedError
	switch {
	case err == nil:
		e.Report = report
	case errors.Is(err, platform.ErrOtherIncarnation):
		e.Outcome = scheduler.PollReplaced
	case errors.As(err, &refused) && refused.Reason == worker.RefusedFence:
		e.Outcome = scheduler.PollFenced
	default:
		e.Outcome = scheduler.PollUnanswered
	}
	return e
}

func (r *runner) startTask(a scheduler.StartTask) scheduler.Event {
	e := scheduler.StartAnswered{
		Worker: a.Target.ID, Fence: a.Order.Fence, Run: scheduler.RunKeyOf(a),
	}
	if !r.maySend(a.NotAfter) {
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedUnsent
		return e
	}
	clock, err := r.client.Start(a.Target, a.Order, orderTimeout)
	e.ClockMillis = clock
	var refused *platform.WorkerRefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		e.Outcome, e.Refusal = scheduler.StartNotDone, refused.Reason
	case errors.Is(err, platform.ErrOtherIncarnation):
		e.Outcome, e.Refusal, e.Replaced = scheduler.StartNotDone, worker.RefusedOther, true
	case errors.Is(err, platform.ErrNotDone):
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedUnhealthy
	case errors.Is(err, platform.ErrUnknown):
		e.Outcome = scheduler.StartUnknown
	default:
		// A status that the platform's documentation does not list means that the
		// worker refused the order.
		r.logFailure("start refused", err)
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedOther
	}
	return e
}

func (r *runner) stopRun(a scheduler.StopRun) scheduler.Event {
	e := scheduler.StopAnswered{Worker: a.Target.ID, Fence: a.Fence, Run: a.Run}
	if !r.maySend(a.NotAfter) {
		return e
	}
	_, err := r.client.Stop(a.Target, a.Run.Task, a.Run.Number, a.Fence, orderTimeout)
	var refused *platform.WorkerRefusedError
	e.OK = err == nil
	e.Fenced = errors.As(err, &refused) && refused.Reason == worker.RefusedFence
	return e
}

func (r *runner) setPace(a scheduler.SetPace) {
	if !r.maySend(a.NotAfter) {
		return
	}
	_, err := r.client.SetPace(a.Target, a.Run.Task, a.Run.Number, a.Percent, a.Fence, orderTimeout)
	r.logFailure("pace not set", err)
}

func (r *runner) requestAdvice(a scheduler.RequestAdvice) scheduler.Event {
	e := scheduler.AdviceAnswered{Step: a.Step, Workers: a.Workers, Fence: a.Fence, SentAt: r.clock.Now(), ServiceTime: a.ServiceTime}
	advice, err := r.client.Advise(a.Step, a.Workers, a.ServiceTime+adviceMargin)
	r.logFailure("advice not received", err)
	e.OK, e.Tickets, e.Validity = err == nil, advice.Tickets, advice.Validity
	return e
}

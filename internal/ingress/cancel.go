package ingress

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// maxCancelAttempts bounds how often a job that changes is read and cancelled again. A
// job changes at most twice: it is stored once and removed once.
const maxCancelAttempts = 3

// Cancel cancels a job. It returns Withdrawn only after the store has confirmed
// the write, or if the job has already ended. It returns NoJob only after the store
// has confirmed that the job cannot be stored later: the caller may cancel a job whose
// acceptance was not answered and whose write is still under way.
func (s *Service) Cancel(ctx context.Context, r Request) Answer {
	now := s.clock()
	a := s.admit(r, now)
	if a.queue == nil {
		return a.answer
	}
	for range maxCancelAttempts {
		view, answer := s.findJob(ctx, &a, r, now)
		if answer != nil {
			return *answer
		}
		if view.Known && view.State.Final() {
			a.answer.Code, a.answer.State = Withdrawn, view.State
			return a.answer
		}
		if !view.Known && !s.recentJobs.admit(a.memory, admission.Cancellations, admission.CancellationBytes, now) {
			a.answer.RetryAfter = memoryRetryAfter
			return a.refuse(NotRun, "the cancellations of unknown jobs take too much memory; this one was not stored")
		}
		switch s.store.Cancel(view.ID, view.Revision, r.deadline(now)) {
		case Stored:
			if !view.Known {
				return a.refuse(NoJob, noJobReason)
			}
			a.answer.Code, a.answer.State = Withdrawn, job.Cancelled
			return a.answer
		case JobChanged:
			continue
		case NotStored:
			return a.refuse(NotRun, "the store refused the cancellation")
		default:
			return a.refuse(Unsettled, "the store has not confirmed the cancellation")
		}
	}
	return a.refuse(Unsettled, "the job changed while it was cancelled")
}

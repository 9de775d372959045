package scheduler

import "time"

// Only the active scheduler uses the progress of jobs, and only it writes it. It reads
// all of it once, when it has acquired the lease; copying each change to every node
// took most of the bytes and of the processor time of the other nodes.

// progressRetryDelay is the delay after a read of the progress that failed.
const progressRetryDelay = 100 * time.Millisecond

// ReadProgress reads the stored progress of all jobs. The result is ProgressListed.
type ReadProgress struct{ Fence int64 }

func (ReadProgress) isAction() {}

// ProgressListed is the result of ReadProgress.
type ProgressListed struct {
	Fence    int64
	OK       bool
	Progress []ProgressRead
}

// Apply implements Event.
func (e ProgressListed) Apply(s *Scheduler, now time.Time) {
	el := &s.election
	if s.leading || !el.authority.Held() || e.Fence != el.authority.Fence {
		return
	}
	el.readingProgress = false
	if !e.OK {
		el.readProgressAt = now.Add(progressRetryDelay)
		return
	}
	for _, p := range e.Progress {
		s.subject = jobRecord(p.ID)
		p.apply(s, now)
	}
	s.subject = Record{}
	s.becomeActive(now)
}

// readProgress reads the progress of all jobs before this node becomes the active
// scheduler.
func (s *Scheduler) readProgress(now time.Time) {
	el := &s.election
	if el.readingProgress {
		return
	}
	if now.Before(el.readProgressAt) {
		s.requestTick(el.readProgressAt)
		return
	}
	el.readingProgress = true
	s.act(ReadProgress{Fence: el.authority.Fence})
}

package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// A worker that does not answer may run tasks until the last order that it may have
// received has lost its effect. A new scheduler does not know when the last order was
// sent, and waits for the longest task lease. So that the waits of successive schedulers
// do not add up, a scheduler stores for how much longer each silent worker may run
// something. As long as the store may hold that, the worker gets no order that extends
// the time.

const (
	// silenceDelay is how long a worker must be silent until that is stored. Shorter
	// silences are frequent, and storing one delays the worker's next orders.
	silenceDelay = time.Second
	// silenceInterval is the least time between two writes.
	silenceInterval = 200 * time.Millisecond
	// silenceRefresh is the time after which a silence that is not over is stored again:
	// a node that starts later counts the time from its first read.
	silenceRefresh = time.Second
	// clockRateMargin is the part, one in this number, by which a stored time is
	// extended, because the clocks of two nodes may differ in rate.
	clockRateMargin = 100
)

// SilencesRead carries the stored silences: for each worker, for how much longer it may
// run something, counted from the time at which it was stored.
type SilencesRead struct {
	Left     map[string]time.Duration
	Revision int64
}

func (c SilencesRead) apply(s *Scheduler, now time.Time) {
	if c.Revision <= s.silences.revision {
		return
	}
	s.silences.revision, s.silences.until = c.Revision, make(map[string]time.Time, len(c.Left))
	for id, left := range c.Left {
		s.silences.until[id] = now.Add(left + left/clockRateMargin)
	}
}

// StoreSilences stores the silences. The result is SilencesStored.
type StoreSilences struct {
	Fence int64
	Left  map[string]time.Duration
	// Expected is the revision that they must have in the store, 0 for none.
	Expected int64
}

func (StoreSilences) isAction() {}

// SilencesStored is the result of StoreSilences.
type SilencesStored struct {
	Fence  int64
	Left   map[string]time.Duration
	Result RecordResult
}

// silences are the stored silences of workers.
type silences struct {
	// until is, by worker, the time after which it runs nothing, as read from the store.
	// revision is the revision that was read.
	until    map[string]time.Time
	revision int64

	// The remaining fields are used by the active scheduler. frozen are the workers whose
	// silence the store may hold: they get no order that extends their lease.
	frozen map[string]bool
	// stored are the workers whose silence the store holds, true for those that can run
	// nothing any longer.
	stored map[string]bool
	// dropped are the workers that are gone and with which runs were lost.
	dropped map[string]bool
	writes  recordWrites
	writeAt time.Time
	// refreshAt is when silences that are not over are stored again.
	refreshAt time.Time
}

// startLeading takes over the stored silences at the beginning of a term.
func (q *silences) startLeading(now time.Time) {
	q.frozen, q.stored, q.dropped = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	q.writes, q.writeAt, q.refreshAt = recordWrites{revision: q.revision}, time.Time{}, now.Add(silenceRefresh)
	for id, until := range q.until {
		q.frozen[id], q.stored[id] = true, !now.Before(until)
	}
}

// expiry returns when the orders of earlier schedulers to a worker have lost their
// effect, at the latest longest.
func (q *silences) expiry(id string, longest time.Time) time.Time {
	if until, ok := q.until[id]; ok && until.Before(longest) {
		return until
	}
	return longest
}

// Apply implements Event.
func (e SilencesStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	q := &s.silences
	if !s.finishRecordWrite(&q.writes, e.Result, silenceInterval, now) {
		return
	}
	clear(q.stored)
	for id, left := range e.Left {
		q.stored[id] = left == 0
	}
	for id := range q.frozen {
		if _, ok := e.Left[id]; ok {
			continue
		}
		delete(q.frozen, id)
		if w := s.workers.get(id); w != nil {
			w.LeaseFrozen = false
			w.NextPollAt = now
			s.place.roundNeeded = true
		}
	}
}

// stepSilences stores the silences if a worker has become silent or answers again, if the
// time of one has passed, and at the latest after silenceRefresh.
func (s *Scheduler) stepSilences(now time.Time) {
	q := &s.silences
	left := s.currentSilences(now)
	changed := false
	for id := range q.frozen {
		_, silent := left[id]
		changed = changed || !silent
	}
	for id, d := range left {
		over, stored := q.stored[id]
		changed = changed || !stored || over != (d == 0) || d > 0 && !now.Before(q.refreshAt)
	}
	if !changed || !s.mayWriteRecord(&q.writes, now) {
		return
	}
	if now.Before(q.writeAt) {
		s.requestTick(q.writeAt)
		return
	}
	q.writes.writing, q.writeAt, q.refreshAt = true, now.Add(silenceInterval), now.Add(silenceRefresh)
	for id := range left {
		q.frozen[id] = true
		if w := s.workers.get(id); w != nil {
			w.LeaseFrozen = true
		}
	}
	s.act(StoreSilences{Fence: s.fence(), Left: left, Expected: q.writes.revision})
}

// currentSilences returns the silent workers among those for which a successor would
// wait, with the time for which each may still run something. A worker whose silence was
// stored by an earlier scheduler stays among them until it answers.
func (s *Scheduler) currentSilences(now time.Time) map[string]time.Duration {
	left := make(map[string]time.Duration)
	for _, m := range s.roster.members {
		w := s.workers.get(m.ID)
		switch {
		case w == nil:
			if s.silences.dropped[m.ID] {
				left[m.ID] = 0
			}
		case w.LeaseFrozen && (w.Silent || !w.Answered), w.Silent && now.Sub(w.SilentSince) >= silenceDelay:
			left[m.ID] = max(0, w.ExpiresAt().Sub(now))
		}
	}
	return left
}

// newWorker returns a worker that has not been polled yet.
func (s *Scheduler) newWorker(d worker.Description) *worker.Worker {
	w := worker.New(d)
	w.LeaseFrozen = s.silences.frozen[d.ID]
	return w
}

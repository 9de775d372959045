package node

import (
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/oplog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Times of calls.
const (
	// orderTimeout bounds an order to a worker, which answers in milliseconds.
	orderTimeout = 450 * time.Millisecond
	// askSlack is how much later than its wait a worker's answer may come.
	askSlack = 450 * time.Millisecond
	// storeTimeout bounds the scheduler's calls to the store.
	storeTimeout = 800 * time.Millisecond
	// leaseTimeout bounds a renewal, so that another try fits into the lease.
	leaseTimeout = 600 * time.Millisecond
	// adviceTimeout bounds a question to the advice service, which takes time for
	// each worker and serves callers in turn.
	adviceTimeout = 3 * time.Second
	// dutyTimeout bounds an order for a machine.
	dutyTimeout = time.Second
	// claimTries is how often the claim of the lease is repeated without an
	// answer.
	claimTries = 3
)

// runner performs actions. Each runs on its own goroutine; none is performed
// after the right to it has ended.
type runner struct {
	client *platform.Client
	clock  *Clock
	log    *oplog.Log
	self   string
	send   func(scheduler.Event) bool
	// nonce makes the lease records of this process unique.
	nonce  string
	flight sync.WaitGroup
}

// start performs an action without blocking the control thread.
func (r *runner) start(a scheduler.Action) {
	if n, ok := a.(scheduler.Note); ok {
		r.note(n)
		return
	}
	r.flight.Go(func() {
		if e := r.perform(a); e != nil {
			r.send(e)
		}
	})
}

func (r *runner) note(n scheduler.Note) {
	fields := make(logrus.Fields, len(n.Fields))
	for _, f := range n.Fields {
		fields[f.Key] = f.Value
	}
	r.log.Write("scheduler", n.Text, fields)
}

func (r *runner) perform(a scheduler.Action) scheduler.Event {
	switch a := a.(type) {
	case scheduler.SeekLease:
		return r.seek(a)
	case scheduler.RenewLease:
		return r.renew(a)
	case scheduler.EndLease:
		r.endLease(a)
	case scheduler.AskWorker:
		return r.ask(a)
	case scheduler.StartTask:
		return r.startTask(a)
	case scheduler.StopRun:
		return r.stopRun(a)
	case scheduler.PaceRun:
		r.pace(a)
	case scheduler.StoreProgress:
		return r.storeProgress(a)
	case scheduler.StoreRoster:
		return r.storeRoster(a)
	case scheduler.RemoveJobs:
		r.removeJobs(a)
	case scheduler.ListMachines:
		sentAt := r.clock.Now()
		machines, err := r.client.Machines(storeTimeout)
		r.report("machines not listed", err)
		return scheduler.MachinesListed{OK: err == nil, Machines: machines, SentAt: sentAt}
	case scheduler.OrderUpkeep:
		return r.upkeep(a)
	case scheduler.OrderMove:
		return r.move(a)
	case scheduler.PublishWave:
		return r.publishWave(a)
	case scheduler.AskAdvice:
		return r.advise(a)
	case scheduler.ForgetWorker:
		r.client.Forget(a.Address)
	}
	return nil
}

// report logs a failure that is repeated or harmless.
func (r *runner) report(text string, err error) {
	if err != nil {
		r.log.Write("platform", text, logrus.Fields{"error": err.Error()})
	}
}

// seek claims the scheduler's lease. Without an answer the same claim is sent
// again: the record's nonce tells whether an earlier one was carried out.
func (r *runner) seek(a scheduler.SeekLease) scheduler.Event {
	sentAt := r.clock.Now()
	id, ttl, err := r.client.GrantLease(lease.TTL, leaseTimeout)
	if err != nil {
		return scheduler.LeaseRefused{Reason: err.Error()}
	}
	value := encodeJSON(leaderRecord{r.self, r.nonce + "-" + strconv.FormatInt(id, decimal)})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: leaderKey, Revision: revisionAbsent}, {Key: epochKey, Revision: a.EpochRevision}},
		Puts: []platform.Put{
			{Key: leaderKey, Value: value, Lease: id},
			{Key: epochKey, Value: []byte(strconv.Itoa(a.Epoch + 1))},
		},
	}
	for range claimTries {
		fence, err := r.client.Write(txn, leaseTimeout)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
		case errors.As(err, &conflict):
			if fence, ok := ownClaim(conflict, value); ok {
				return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
			}
			r.report("unused lease not given up", r.client.EndLease(id, leaseTimeout))
			return scheduler.LeaseRefused{Reason: "another node holds the lease"}
		case !errors.Is(err, platform.ErrUnknown):
			return scheduler.LeaseRefused{Reason: err.Error()}
		}
	}
	return scheduler.LeaseRefused{Reason: "the store has not answered the claim"}
}

// endLease gives the lease up. Unless the record that says so is stored, the
// lease is left to lapse: a successor then keeps the longer distance.
func (r *runner) endLease(a scheduler.EndLease) {
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts:       []platform.Put{{Key: leftKey, Value: []byte(strconv.Itoa(a.Epoch))}},
	}, storeTimeout)
	if err == nil {
		err = r.client.EndLease(a.Lease, storeTimeout)
	}
	r.report("lease not given up", err)
}

func ownClaim(c *platform.ConflictError, value []byte) (int64, bool) {
	for _, item := range c.Items {
		if item.Key == leaderKey && sameValue(item, value) {
			return item.Revision, true
		}
	}
	return 0, false
}

func (r *runner) renew(a scheduler.RenewLease) scheduler.Event {
	sentAt := r.clock.Now()
	ttl, err := r.client.KeepLease(a.Lease, leaseTimeout)
	e := scheduler.LeaseRenewed{Lease: a.Lease, SentAt: sentAt, TTL: ttl}
	switch {
	case errors.Is(err, platform.ErrLeaseEnded):
		e.Outcome = scheduler.RenewEnded
	case err != nil:
		e.Outcome = scheduler.RenewUnknown
		r.report("lease not renewed", err)
	}
	return e
}

// allowed reports whether the right to send an order still lasts.
func (r *runner) allowed(notAfter time.Time) bool { return r.clock.Now().Before(notAfter) }

func (r *runner) ask(a scheduler.AskWorker) scheduler.Event {
	e := scheduler.WorkerAnswered{Worker: a.Target.ID, Fence: a.Question.Fence, SentAt: r.clock.Now()}
	if !r.allowed(a.NotAfter) {
		e.Outcome = scheduler.AskNotSent
		return e
	}
	report, err := r.client.Ask(a.Target, a.Question, askSlack)
	var refused *platform.RefusedError
	switch {
	case err == nil:
		e.Report = report
	case errors.Is(err, platform.ErrOtherIncarnation):
		e.Outcome = scheduler.AskGone
	case errors.As(err, &refused) && refused.Reason == worker.RefusedFence:
		e.Outcome = scheduler.AskFenced
	default:
		e.Outcome = scheduler.AskUnknown
	}
	return e
}

func (r *runner) startTask(a scheduler.StartTask) scheduler.Event {
	e := scheduler.StartAnswered{
		Worker: a.Target.ID, Fence: a.Order.Fence, Run: worker.RunKey{Task: a.Order.Task, Number: a.Order.Run},
	}
	if !r.allowed(a.NotAfter) {
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedUnsent
		return e
	}
	clock, err := r.client.Start(a.Target, a.Order, orderTimeout)
	e.ClockMillis = clock
	var refused *platform.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		e.Outcome, e.Refusal = scheduler.StartNotDone, refused.Reason
	case errors.Is(err, platform.ErrOtherIncarnation):
		e.Outcome, e.Refusal, e.Gone = scheduler.StartNotDone, worker.RefusedOther, true
	case errors.Is(err, platform.ErrNotDone):
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedUnhealthy
	case errors.Is(err, platform.ErrUnknown):
		e.Outcome = scheduler.StartUnknown
	default:
		// A status that the page does not name says that the order was refused.
		r.report("start refused", err)
		e.Outcome, e.Refusal = scheduler.StartNotDone, worker.RefusedOther
	}
	return e
}

func (r *runner) stopRun(a scheduler.StopRun) scheduler.Event {
	e := scheduler.StopAnswered{Worker: a.Target.ID, Fence: a.Fence, Run: a.Run}
	if !r.allowed(a.NotAfter) {
		return e
	}
	_, err := r.client.Stop(a.Target, a.Run.Task, a.Run.Number, a.Fence, orderTimeout)
	var refused *platform.RefusedError
	e.OK = err == nil
	e.Fenced = errors.As(err, &refused) && refused.Reason == worker.RefusedFence
	return e
}

func (r *runner) pace(a scheduler.PaceRun) {
	if !r.allowed(a.NotAfter) {
		return
	}
	_, err := r.client.Pace(a.Target, a.Run.Task, a.Run.Number, a.Percent, a.Fence, orderTimeout)
	r.report("pace not set", err)
}

func (r *runner) advise(a scheduler.AskAdvice) scheduler.Event {
	e := scheduler.Advised{Step: a.Step, Workers: a.Workers, Fence: a.Fence, SentAt: r.clock.Now()}
	advice, err := r.client.Advise(a.Step, a.Workers, adviceTimeout)
	r.report("no advice", err)
	e.OK, e.Tickets, e.Validity = err == nil, advice.Tickets, advice.Validity
	return e
}

// leaderCondition makes a write fail once another scheduler holds the lease.
func leaderCondition(fence int64) platform.Condition {
	return platform.Condition{Key: leaderKey, Revision: fence}
}

func (r *runner) storeProgress(a scheduler.StoreProgress) scheduler.Event {
	txn := platform.Txn{Conditions: []platform.Condition{leaderCondition(a.Fence)}}
	values := make(map[string][]byte, len(a.Writes))
	for _, w := range a.Writes {
		key := progressKey + string(w.Job)
		values[key] = encodeCBOR(w.Progress)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: w.Expected})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: values[key]})
	}
	e := scheduler.ProgressStored{Fence: a.Fence, Writes: a.Writes}
	revision, err := r.client.Write(txn, storeTimeout)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		e.Revision = revision
	case errors.As(err, &conflict):
		r.resolve(&e, conflict, values, a)
	default:
		r.report("progress not stored", err)
		e.Outcome = scheduler.StoreFailed
	}
	return e
}

// resolve reads from a conflict whether an earlier attempt of the same write
// was carried out.
func (r *runner) resolve(e *scheduler.ProgressStored, c *platform.ConflictError, values map[string][]byte, a scheduler.StoreProgress) {
	e.Found = make(map[job.ID]int64)
	all := len(c.Items) > 0
	for _, item := range c.Items {
		if item.Key == leaderKey {
			if item.Revision != a.Fence {
				e.Outcome = scheduler.StoreNotLeader
				return
			}
			continue
		}
		if item.Revision != revisionAbsent {
			e.Found[job.ID(item.Key[len(progressKey):])] = item.Revision
		}
		all = all && sameValue(item, values[item.Key])
		e.Revision = max(e.Revision, item.Revision)
	}
	if !all {
		e.Outcome = scheduler.StoreFailed
	}
}

func (r *runner) storeRoster(a scheduler.StoreRoster) scheduler.Event {
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts:       []platform.Put{{Key: rosterKey, Value: encodeJSON(a.Members)}},
	}, storeTimeout)
	r.report("list of workers not stored", err)
	return scheduler.RosterStored{Fence: a.Fence, Members: a.Members, OK: err == nil}
}

func (r *runner) removeJobs(a scheduler.RemoveJobs) {
	txn := platform.Txn{Conditions: []platform.Condition{leaderCondition(a.Fence)}}
	for _, id := range a.Jobs {
		txn.Deletes = append(txn.Deletes, jobKey+string(id), progressKey+string(id), cancelKey+string(id))
	}
	_, err := r.client.Write(txn, storeTimeout)
	r.report("old jobs not removed", err)
}

func (r *runner) duty(fence int64) platform.Duty { return platform.Duty{Holder: r.self, Fence: fence} }

func (r *runner) upkeep(a scheduler.OrderUpkeep) scheduler.Event {
	e := scheduler.UpkeepAnswered{Machine: a.Machine, Wave: a.Wave, Fence: a.Fence, Outcome: scheduler.DutyNotDone}
	if r.allowed(a.NotAfter) {
		e.Outcome, e.Refusal = dutyOutcome(r.client.Upkeep(r.duty(a.Fence), a.Machine, a.Wave, dutyTimeout))
	}
	return e
}

func (r *runner) move(a scheduler.OrderMove) scheduler.Event {
	e := scheduler.MoveAnswered{Machine: a.Machine, Pool: a.Pool, Fence: a.Fence, Outcome: scheduler.DutyNotDone}
	if r.allowed(a.NotAfter) {
		e.Outcome, e.Refusal = dutyOutcome(r.client.Move(r.duty(a.Fence), a.Machine, a.Pool, dutyTimeout))
	}
	return e
}

func dutyOutcome(err error) (scheduler.DutyOutcome, upkeep.Refusal) {
	var refused *platform.DutyError
	switch {
	case err == nil:
		return scheduler.DutyDone, ""
	case errors.As(err, &refused):
		return scheduler.DutyNotDone, refused.Reason
	case errors.Is(err, platform.ErrNotDone):
		return scheduler.DutyNotDone, ""
	}
	return scheduler.DutyUnknown, ""
}

func (r *runner) publishWave(a scheduler.PublishWave) scheduler.Event {
	key, value := platform.WaveStatus(a.Wave, a.Completed)
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts: []platform.Put{
			{Key: key, Value: value},
			{Key: waveKey + strconv.FormatInt(a.Wave, decimal), Value: encodeJSON(waveRecord{a.Begun, a.Completed})},
		},
	}, storeTimeout)
	r.report("wave not published", err)
	return scheduler.WavePublished{Wave: a.Wave, Completed: a.Completed, Begun: len(a.Begun), OK: err == nil}
}

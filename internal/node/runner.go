package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

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
	// leaseTimeout bounds calls about the lease: a later answer is of no use.
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
	// process tells this process from earlier and later ones of the node, address
	// is where others watch it.
	process, address string
	holder           *holderWatch
	metrics          *metrics
	flight           sync.WaitGroup
}

// start performs an action without blocking the control thread.
func (r *runner) start(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Note:
		r.note(a)
		return
	case scheduler.WatchHolder:
		r.holder.follow(a)
		return
	case scheduler.JobMeasured:
		r.metrics.job(a)
		return
	case scheduler.RefusalCounted:
		r.metrics.refusedStart(a)
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

// allowed reports whether the right to send an order still lasts.
func (r *runner) allowed(notAfter time.Time) bool { return r.clock.Now().Before(notAfter) }

package node

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Timeouts of calls to the platform.
const (
	// orderTimeout bounds an order to a worker; workers answer in milliseconds.
	orderTimeout = 450 * time.Millisecond
	// pollTimeout bounds a worker's answer to a long poll after the requested wait
	// has passed.
	pollTimeout = 450 * time.Millisecond
	// storeTimeout bounds the scheduler's calls to the store.
	storeTimeout = 800 * time.Millisecond
	// leaseTimeout bounds calls that acquire or renew the lease. A later answer is
	// of no use, because too little of the lease's TTL remains.
	leaseTimeout = 600 * time.Millisecond
	// adviceMargin is how much longer than the time that the advice service takes for it a
	// call may last. The service handles the calls of one machine in turn, also those whose
	// answers were lost.
	adviceMargin = 3 * time.Second
	// machineOrderTimeout bounds an order for a machine.
	machineOrderTimeout = time.Second
	// leaseClaimAttempts is how often the claim of the lease is sent while the
	// store does not answer it.
	leaseClaimAttempts = 3
)

// runner performs the scheduler's actions, each on its own goroutine, and sends
// their results back as events. An order to a worker or machine is not sent
// after the NotAfter time of its action.
type runner struct {
	client   *platform.Client
	clock    *bootClock
	log      *asynclog.Log
	nodeName string
	send     func(scheduler.Event) bool
	// process distinguishes this process from earlier and later processes of the
	// same node. Address is where other nodes connect to watch this process.
	process, address string
	// cpuShare is the part of one core that this node may use.
	cpuShare float64
	watcher  *holderWatcher
	metrics  *metrics
	// idle holds the channels of the goroutines that wait for an action, until done is
	// closed.
	idle chan chan scheduler.Action
	done <-chan struct{}
}

// maxIdleWorkers is the number of goroutines that wait for the next action. A new
// goroutine has to grow its stack several times while it performs a call, which took
// a tenth of the time of an action.
const maxIdleWorkers = 256

// start performs an action. It is called on the control thread and does not
// block: platform calls run on a new goroutine.
func (r *runner) start(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.LogLine:
		r.writeLogLine(a)
		return
	case scheduler.WatchHolder:
		r.watcher.setTarget(a)
		return
	case scheduler.JobMeasured:
		r.metrics.recordJob(a)
		return
	case scheduler.RefusalCounted:
		r.metrics.recordRefusal(a)
		return
	}
	r.run(a)
}

// run performs an action on a goroutine that has finished earlier ones, or on a new
// one.
func (r *runner) run(a scheduler.Action) {
	select {
	case worker := <-r.idle:
		worker <- a
	default:
		go r.work(a)
	}
}

// work performs an action, and further ones as long as fewer than maxIdleWorkers
// goroutines wait for one.
func (r *runner) work(a scheduler.Action) {
	next := make(chan scheduler.Action, 1)
	for {
		if e := r.performContained(a); e != nil {
			r.send(e)
		}
		select {
		case r.idle <- next:
		default:
			return
		}
		select {
		case a = <-next:
		case <-r.done:
			return
		}
	}
}

func (r *runner) writeLogLine(n scheduler.LogLine) {
	fields := make(logrus.Fields, len(n.Fields))
	for _, f := range n.Fields {
		fields[f.Key] = f.Value
	}
	r.log.Write("scheduler", n.Text, fields)
}

// performContained is perform, except that an unexpected failure counts as an action
// that got no answer.
func (r *runner) performContained(a scheduler.Action) (result scheduler.Event) {
	sentAt := r.clock.Now()
	defer func() {
		if cause := recover(); cause != nil {
			r.log.Write("platform", "action failed", logrus.Fields{"action": fmt.Sprintf("%T", a), "error": fmt.Sprint(cause), "stack": string(debug.Stack())})
			result = scheduler.Unanswered(a, sentAt)
		}
	}()
	return r.perform(a)
}

// perform executes an action and returns its result, or nil for an action
// without one.
func (r *runner) perform(a scheduler.Action) scheduler.Event {
	switch a := a.(type) {
	case scheduler.AcquireLease:
		return r.claimLease(a)
	case scheduler.RenewLease:
		return r.renewLease(a)
	case scheduler.ReleaseLease:
		r.releaseLease(a)
	case scheduler.RequestHandover:
		r.requestHandover(a)
	case scheduler.StoreQuarantine:
		r.storeQuarantine(a)
	case scheduler.PollWorker:
		return r.pollWorker(a)
	case scheduler.StartTask:
		return r.startTask(a)
	case scheduler.StopRun:
		return r.stopRun(a)
	case scheduler.SetPace:
		r.setPace(a)
	case scheduler.StoreProgress:
		return r.storeProgress(a)
	case scheduler.StoreRoster:
		return r.storeRoster(a)
	case scheduler.StoreSilences:
		return r.storeSilences(a)
	case scheduler.ReadProgress:
		return r.readProgress(a)
	case scheduler.StorePending:
		return r.storePending(a)
	case scheduler.StoreRooms:
		return r.storeRooms(a)
	case scheduler.StoreUse:
		return r.storeUse(a)
	case scheduler.StoreTurns:
		return r.storeTurns(a)
	case scheduler.StoreMachineOrders:
		return r.storeMachineOrders(a)
	case scheduler.RemoveJobs:
		r.removeJobs(a)
	case scheduler.RemoveCancels:
		r.removeCancels(a)
	case scheduler.ListMachines:
		sentAt := r.clock.Now()
		machines, err := r.client.Machines(storeTimeout)
		r.logFailure("machine list not read", err)
		return scheduler.MachinesListed{OK: err == nil, Machines: machines, SentAt: sentAt}
	case scheduler.OrderUpkeep:
		return r.orderUpkeep(a)
	case scheduler.OrderMove:
		return r.orderMove(a)
	case scheduler.PublishWave:
		return r.publishWave(a)
	case scheduler.RequestAdvice:
		return r.requestAdvice(a)
	case scheduler.CloseWorker:
		r.client.CloseConnections(a.Address)
	}
	return nil
}

// logFailure logs err, if any. It is for failures that the scheduler retries or
// that have no consequence.
func (r *runner) logFailure(text string, err error) {
	if err != nil {
		r.log.Write("platform", text, logrus.Fields{"error": err.Error()})
	}
}

// maySend reports whether an order whose NotAfter time is notAfter may still be
// sent.
func (r *runner) maySend(notAfter time.Time) bool { return r.clock.Now().Before(notAfter) }

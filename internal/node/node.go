// Package node assembles one node process: the control loop, the mirrors of the
// store, the runner of the scheduler's actions, and the HTTP servers for
// callers, readiness checks and metrics.
package node

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/clientserver"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Limits of the servers and of a graceful shutdown.
const (
	// maxReadyStaleness is the age of the mirrored data from which the readiness
	// check fails. A watch refreshes the data every second.
	maxReadyStaleness = 1600 * time.Millisecond
	// drainDelay is how long a stopping node still accepts connections: the load
	// balancer checks readiness once a second and needs two failed checks.
	drainDelay = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is left for the
	// process to exit after its callers' requests have finished.
	shutdownReserve = 700 * time.Millisecond
	// auxiliaryShutdownTimeout bounds the shutdown of the readiness and metrics
	// servers.
	auxiliaryShutdownTimeout = 300 * time.Millisecond
)

// maxTaskLease bounds the task leases that the scheduler grants where the platform
// allows longer ones. A new scheduler starts a task of a worker that does not answer
// only after the longest lease of its predecessor, with margins for clocks 6.4 s. The
// users expect a long-lasting task to run again within 7 s of calm.
const maxTaskLease = 6 * time.Second

// taskLeaseReserve is subtracted from the longest task lease that workers
// accept, so that the leases which the scheduler grants stay below that bound.
const taskLeaseReserve = 400 * time.Millisecond

// node is one running node process.
type node struct {
	settings platform.Settings
	client   *platform.Client
	clock    *bootClock
	log      *asynclog.Log
	loop     *controlLoop
	runner   *runner
	metrics  *metrics
	clients  *clientserver.Clients
	health   storeHealth
	draining atomic.Bool
}

// Run serves until ctx is done, then shuts down gracefully within the grace
// period of the settings. Each signal on reload makes the node read its
// settings file again. Log lines are written to out.
func Run(ctx context.Context, s platform.Settings, reload <-chan os.Signal, out io.Writer) error {
	n, err := newNode(s, out)
	if err != nil {
		return err
	}
	return n.run(ctx, reload)
}

// RunSettings parses the content of a settings file and calls Run with it.
func RunSettings(ctx context.Context, file []byte, reload <-chan os.Signal, out io.Writer) error {
	s, err := platform.ParseSettings(file)
	if err != nil {
		return err
	}
	return Run(ctx, s, reload, out)
}

func newNode(s platform.Settings, out io.Writer) (*node, error) {
	n := &node{
		settings: s,
		client:   platform.NewClient(s),
		clock:    newBootClock(),
		log:      asynclog.New(out, logrus.Fields{"instance": s.Instance}),
	}
	process := strconv.FormatInt(time.Now().UnixNano(), decimal)
	n.runner = &runner{
		client: n.client, clock: n.clock, log: n.log, nodeName: s.Instance, process: process, address: s.PeerAddress, cpuShare: s.CPUShare,
		idle: make(chan chan scheduler.Action, maxIdleWorkers),
	}
	n.loop = newControlLoop(scheduler.NewGuard(schedulerOptions(s, process), debug.Stack), n.clock, n.runner.start)
	n.loop.reportSlow = n.reportSlowEvent
	n.runner.send, n.runner.done = n.loop.Send, n.loop.stopped
	n.runner.watcher = newHolderWatcher(n.loop.Send)
	n.clients = n.newClients()
	var err error
	n.metrics, err = newMetrics(n)
	n.runner.metrics = n.metrics
	return n, err
}

func schedulerOptions(s platform.Settings, process string) scheduler.Options {
	b := s.Bounds
	longest := min(b.MaxTaskLease, maxTaskLease)
	return scheduler.Options{
		NodeName: s.Instance, ProcessID: process, CPUShare: s.CPUShare,
		TaskLease: longest - taskLeaseReserve, MaxTaskLease: longest, StopTimeout: b.StopTimeout,
		StatusRetention: b.StatusRetention, MachineOpGap: b.MachineOpGap, RemoteFactor: b.RemoteFactor,
		MachineOrdersPerSecond: s.MachineOrdersPerSecond,
		ShareHalfLife:          s.ShareHalfLife,
		JobMemory:              intake.CapacityOf(s.Intake).JobBytes,
	}
}

func (n *node) run(ctx context.Context, reload <-chan os.Signal) error {
	// The components keep running after ctx is done, until the graceful shutdown
	// has finished.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	logDone := make(chan error, 1)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go func() { logDone <- n.log.Run(logCtx) }()
	defer func() {
		stopLog()
		<-logDone
	}()

	service := ingress.New(n.loop, jobStore{n.client, n.clock, n.log, &n.health}, n.clock.Now, n.maxConfigAge())
	callersServer := n.newCallersServer(platform.CallersHandler(componentsCtx, service, n.readBody, n.observe, n.logContained))
	readinessServer, metricsServer := n.newReadinessServer(), n.newMetricsServer(n.operatorsHandler(componentsCtx, service))
	callers, err := n.serve(ctx, group, callersServer, intake.Callers, n.settings.CallersAddress)
	if err != nil {
		return err
	}
	if _, err := n.serve(ctx, group, readinessServer, intake.Readiness, n.settings.ReadinessAddress); err != nil {
		return err
	}
	if n.settings.MetricsAddress != "" {
		if _, err := n.serve(ctx, group, metricsServer, intake.Metrics, n.settings.MetricsAddress); err != nil {
			return err
		}
	}
	if n.settings.PeerAddress != "" {
		// The listener must be open before this process can acquire the lease: the
		// other nodes conclude from a refused connection that the process has ended.
		if err := newLivenessServer(intake.CapacityOf(n.settings.Intake), n.runner.process).serve(groupCtx, group, n.settings.PeerAddress); err != nil {
			return err
		}
	}
	group.Go(func() error { return n.runner.watcher.run(groupCtx) })
	group.Go(func() error { return n.loop.Run(groupCtx) })
	for _, m := range n.mirrors() {
		group.Go(func() error { return m.run(groupCtx) })
	}
	group.Go(func() error { return n.clients.Watch(groupCtx) })
	group.Go(func() error { return n.watchReload(groupCtx, reload) })
	n.log.Write("node", "started", logrus.Fields{"datacentre": n.settings.DataCentre, "callers": n.settings.CallersAddress, "store": n.settings.StoreAddress})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return nil
		}
		n.shutdown(callersServer, callers)
		stopComponents()
		return n.shutdownServers(readinessServer, metricsServer)
	})
	err = group.Wait()
	n.log.Write("node", "stopped", nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// mirrors returns one mirror for each key prefix that the scheduler reads.
func (n *node) mirrors() []*mirror {
	alwaysNeeded := func(ctx context.Context) bool { return ctx.Err() == nil }
	base := mirror{store: n.client, now: n.clock.Now, log: n.log, send: n.loop.Send, watchWait: n.watchWait, copyNumber: n.copyNumber, health: &n.health}
	operator, jobs, workers := base, base, base
	operator.part, operator.name, operator.prefix = scheduler.OperatorPart, "operator", platform.OperatorPrefix
	operator.decode, operator.awaitNextRead, operator.awaitNeeded = decodeOperatorItem, awaitLeaderRead, alwaysNeeded
	operator.watchWait = n.operatorWatchWait
	jobs.part, jobs.name, jobs.prefix = scheduler.JobsPart, "jobs", jobsPrefix
	jobs.decode, jobs.awaitNextRead, jobs.awaitNeeded = decodeJobsItem, n.awaitJobsRead, alwaysNeeded
	workers.part, workers.name, workers.prefix = scheduler.WorkersPart, "workers", platform.WorkerPrefix
	workers.decode, workers.awaitNextRead, workers.awaitNeeded = decodeWorkersItem, awaitLeaderRead, n.awaitElected
	return []*mirror{&operator, &jobs, &workers}
}

// watchWait returns how long a watch may wait for a change.
func (n *node) watchWait() time.Duration {
	if n.loop.Status().Elected {
		return leaderWatchWait
	}
	return followerWatchWait
}

// operatorWatchWait is watchWait for the configuration. Just before the answer of a
// watch, the copy is two waits and two answers old; with a store that is 60 times slower
// than usual that stays below maxConfigAge.
func (n *node) operatorWatchWait() time.Duration {
	return min(n.watchWait(), n.settings.Bounds.ConfigApply*3/10)
}

// maxConfigAge is the age up to which the copy of the configuration decides about
// callers' requests.
func (n *node) maxConfigAge() time.Duration {
	return ingress.MaxConfigAge(n.settings.Bounds.KeyWithdrawal, n.settings.Bounds.ConfigApply)
}

// copyNumber returns the number of the scheduler's present copy of the store.
func (n *node) copyNumber() int { return n.loop.Status().CopyNumber }

// awaitJobsRead waits until the next read of the jobs is due. The wait ends
// early when this node acquires the scheduler's lease, because it can only
// start scheduling once its mirror contains the writes of the previous
// scheduler.
func (n *node) awaitJobsRead(ctx context.Context) {
	status := n.loop.Status()
	if status.Elected {
		sleep(ctx, leaderReadInterval)
		return
	}
	timer := time.NewTimer(followerReadInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-status.RoleChanged:
	case <-ctx.Done():
	}
}

// awaitElected blocks until this node holds the scheduler's lease. It returns
// false when ctx is done.
func (n *node) awaitElected(ctx context.Context) bool {
	for {
		status := n.loop.Status()
		if status.Elected {
			return ctx.Err() == nil
		}
		select {
		case <-status.RoleChanged:
		case <-ctx.Done():
			return false
		}
	}
}

// ready reports whether the load balancer should route callers to this node:
// it is not draining, its mirrored data is recent, and its copy of the configuration
// is not too old to decide about requests.
func (n *node) ready() bool {
	status := n.loop.Status()
	now := n.clock.Now()
	if n.draining.Load() || status.Config == nil || now.Sub(status.ConfigAsOf) > n.maxConfigAge() {
		return false
	}
	asOf := status.ConfigAsOf
	if status.JobsAsOf.After(asOf) {
		asOf = status.JobsAsOf
	}
	return now.Sub(asOf) < maxReadyStaleness
}

// shutdown fails the readiness checks, serves requests for drainDelay while the
// load balancer reacts, and then waits for the requests in flight.
func (n *node) shutdown(callersServer *http.Server, callers net.Listener) {
	startedAt := n.clock.Now()
	n.draining.Store(true)
	n.log.Write("node", "stopping", logrus.Fields{"grace_ms": n.settings.Bounds.Grace.Milliseconds()})
	n.loop.Send(scheduler.Resign{})
	time.Sleep(min(drainDelay, n.settings.Bounds.Grace/2))
	remaining := n.settings.Bounds.Grace - shutdownReserve - n.clock.Now().Sub(startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	n.clients.Drain(ctx, callers)
	if err := callersServer.Shutdown(ctx); err != nil {
		_ = callersServer.Close()
		n.log.Write("node", "requests aborted at the end of the grace period", logrus.Fields{"error": err.Error()})
	}
}

// shutdownServers shuts down the readiness and metrics servers. Requests that
// are still running after auxiliaryShutdownTimeout are abandoned without an
// error.
func (n *node) shutdownServers(servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), auxiliaryShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
			if !errors.Is(err, context.DeadlineExceeded) {
				return errors.Wrap(err, "shut down server")
			}
		}
	}
	return nil
}

func (n *node) watchReload(ctx context.Context, reload <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			n.reloadSettings()
		}
	}
}

// reloadSettings reads the settings file again and applies its platform
// addresses. All other settings take effect only at the next start. If the file
// cannot be read, the current addresses stay in use.
func (n *node) reloadSettings() {
	s, err := platform.LoadSettings()
	if err != nil {
		n.log.Write("node", "settings not reloaded", logrus.Fields{"error": err.Error()})
		return
	}
	n.client.SetAddresses(s)
	n.log.Write("node", "settings reloaded", logrus.Fields{"store": s.StoreAddress, "machines": s.MachinesAddress})
}

// reportSlowEvent logs an event that kept the control thread busy.
func (n *node) reportSlowEvent(e scheduler.Event, took time.Duration, waiting int) {
	n.log.Write("control", "slow event", logrus.Fields{"event": fmt.Sprintf("%T", e), "took_ms": took.Milliseconds(), "waiting": waiting})
}

// observe logs a finished request and records it in the metrics. It is called
// on the goroutine that served the request.
func (n *node) observe(kind string, a ingress.Answer, took time.Duration) {
	n.metrics.recordRequest(kind, a, took)
	fields := logrus.Fields{
		"kind": kind, "outcome": a.Code.String(), "queue": a.Queue, "team": a.Team,
		"version": a.ConfigVersion, "config_age_ms": a.ConfigAge.Milliseconds(), "took_ms": took.Milliseconds(),
	}
	if a.Job != "" {
		fields["job"] = string(a.Job)
	}
	if a.Reason != "" {
		fields["reason"] = a.Reason
	}
	if a.State != "" {
		fields["state"] = string(a.State)
	}
	if r := a.Refusal; a.Code == ingress.OverCapacity {
		fields["cause"], fields["work_ahead"], fields["work_possible"] = string(r.Cause), math.Round(r.Ahead), math.Round(r.Available)
		fields["start_in_ms"], fields["latest_start_ms"], fields["room_age_ms"] = r.StartIn.Milliseconds(), r.Latest.Milliseconds(), r.Age.Milliseconds()
		fields["retry_after_s"], fields["returning"] = int64(r.RetryAfter.Seconds()), r.Returning
	}
	n.log.Write("request", kind+" "+a.Code.String(), fields)
}

// Package node assembles one node: the control thread, the copies of the store,
// the runner of actions, and the servers for callers, the load balancer and
// metrics.
package node

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/oplog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Times of serving and stopping.
const (
	// readyLimit is the age of the copies at which the load balancer is told to
	// choose another node. A watch renews them every second.
	readyLimit = 1600 * time.Millisecond
	// drainTime is how long a stopping node takes new connections: the load
	// balancer needs two checks, one a second, to notice.
	drainTime = 2500 * time.Millisecond
	// stopReserve is kept of the grace period for the end of the process.
	stopReserve = 700 * time.Millisecond
	// endTimeout bounds the end of the servers for checks and metrics.
	endTimeout = 300 * time.Millisecond
	// headerTimeout and idleTimeout bound a caller's connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxBody bounds a caller's body in bytes.
	maxBody = 1 << 20
	// maxConnections keeps descriptors free for the platform's side.
	maxConnections = 2500
)

// holdReserve keeps a hold below the longest that workers accept.
const holdReserve = 400 * time.Millisecond

// node is one running node.
type node struct {
	settings platform.Settings
	client   *platform.Client
	clock    *Clock
	log      *oplog.Log
	loop     *Loop
	runner   *runner
	metrics  *metrics
	draining atomic.Bool
}

// Run serves until ctx ends, then stops gracefully. Reload carries a signal for
// each change of the settings file. Log lines go to out.
func Run(ctx context.Context, s platform.Settings, reload <-chan os.Signal, out io.Writer) error {
	n, err := newNode(s, out)
	if err != nil {
		return err
	}
	return n.run(ctx, reload)
}

// RunSettings is Run with the content of a settings file.
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
		clock:    NewClock(),
		log:      oplog.New(out, logrus.Fields{"instance": s.Instance}),
	}
	process := strconv.FormatInt(time.Now().UnixNano(), decimal)
	n.runner = &runner{
		client: n.client, clock: n.clock, log: n.log, self: s.Instance, process: process, address: s.PeerAddress,
	}
	n.loop = NewLoop(scheduler.New(terms(s, process)), n.clock, n.runner.start)
	n.runner.send = n.loop.Send
	n.runner.holder = newHolderWatch(n.loop.Send)
	var err error
	n.metrics, err = newMetrics(n)
	n.runner.metrics = n.metrics
	return n, err
}

func terms(s platform.Settings, process string) scheduler.Terms {
	b := s.Bounds
	return scheduler.Terms{
		Self: s.Instance, Process: process, ProcessorShare: s.ProcessorShare,
		Hold: b.LongestHold - holdReserve, LongestHold: b.LongestHold,
		StatusKept: b.StatusKept, DutyTurn: b.DutyTurn,
	}
}

func (n *node) run(ctx context.Context, reload <-chan os.Signal) error {
	// The parts outlive ctx until the planned stop is over.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, groupCtx := errgroup.WithContext(parts)
	logDone := make(chan error, 1)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	go func() { logDone <- n.log.Run(logCtx) }()
	defer func() {
		stopLog()
		<-logDone
	}()

	service := ingress.New(n.loop, jobStore{n.client, n.clock, n.log}, n.clock.Now, n.settings.Bounds.KeyWithdrawal)
	callers := n.server(platform.CallersHandler(parts, service, n.observe))
	checks := n.server(platform.ReadyHandler(n.ready))
	if err := n.listen(group, callers, n.settings.CallersAddress); err != nil {
		return err
	}
	if err := n.listen(group, checks, n.settings.ReadinessAddress); err != nil {
		return err
	}
	metrics := n.server(n.metrics.handler())
	if n.settings.MetricsAddress != "" {
		if err := n.listen(group, metrics, n.settings.MetricsAddress); err != nil {
			return err
		}
	}
	if n.settings.PeerAddress != "" {
		// Listening must begin before this process can hold the lease: a refused
		// connection tells others that it has ended.
		if err := servePresence(groupCtx, group, n.settings.PeerAddress, n.runner.process); err != nil {
			return err
		}
	}
	group.Go(func() error { return n.runner.holder.run(groupCtx) })
	group.Go(func() error { return n.loop.Run(groupCtx) })
	for _, m := range n.mirrors() {
		group.Go(func() error { return m.run(groupCtx) })
	}
	group.Go(func() error { return n.watchReload(groupCtx, reload) })
	n.log.Write("node", "started", logrus.Fields{"datacentre": n.settings.DataCentre, "callers": n.settings.CallersAddress, "store": n.settings.StoreAddress})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return nil
		}
		n.stop(callers)
		stopParts()
		return n.endServers(checks, metrics)
	})
	err := group.Wait()
	n.log.Write("node", "stopped", nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *node) server(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "crocusjunction", ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: maxBody, Concurrency: maxConnections, CloseOnShutdown: true,
		NoDefaultServerHeader: true, Logger: silentLogger{},
	}
}

// silentLogger drops the server's lines about single connections; they say
// nothing that the log of requests does not.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

func (n *node) listen(group *errgroup.Group, s *fasthttp.Server, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	group.Go(func() error { return s.Serve(l) })
	return nil
}

// mirrors returns the copies of the store's parts.
func (n *node) mirrors() []*mirror {
	always := func(ctx context.Context) bool { return ctx.Err() == nil }
	base := mirror{client: n.client, clock: n.clock, log: n.log, send: n.loop.Send}
	operator, jobs, workers := base, base, base
	operator.part, operator.name, operator.prefix = scheduler.Operator, "operator", platform.OperatorPrefix
	operator.decode, operator.pause, operator.wanted = decodeOperator, leaderPause, always
	jobs.part, jobs.name, jobs.prefix = scheduler.Jobs, "jobs", jobsPrefix
	jobs.decode, jobs.pause, jobs.wanted = decodeJobs, n.jobsPause, always
	workers.part, workers.name, workers.prefix = scheduler.Workers, "workers", platform.WorkerPrefix
	workers.decode, workers.pause, workers.wanted = decodeWorkers, leaderPause, n.awaitElected
	return []*mirror{&operator, &jobs, &workers}
}

// jobsPause ends early when this node gets the scheduler's lease: it takes the
// role once its copy has the last scheduler's writes.
func (n *node) jobsPause(ctx context.Context) {
	status := n.loop.Status()
	if status.Elected {
		pause(ctx, leaderGap)
		return
	}
	timer := time.NewTimer(followerGap)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-status.RoleChanged:
	case <-ctx.Done():
	}
}

// awaitElected blocks until this node holds the scheduler's lease.
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

// ready reports whether the load balancer should send callers here.
func (n *node) ready() bool {
	status := n.loop.Status()
	if n.draining.Load() || status.Config == nil {
		return false
	}
	newest := status.ConfigAsOf
	if status.JobsAsOf.After(newest) {
		newest = status.JobsAsOf
	}
	return n.clock.Now().Sub(newest) < readyLimit
}

// stop serves on while the load balancer turns away, then finishes what runs.
func (n *node) stop(callers *fasthttp.Server) {
	begun := n.clock.Now()
	n.draining.Store(true)
	n.log.Write("node", "stopping", logrus.Fields{"grace_ms": n.settings.Bounds.Grace.Milliseconds()})
	n.loop.Send(scheduler.Leave{})
	time.Sleep(min(drainTime, n.settings.Bounds.Grace/2))
	left := n.settings.Bounds.Grace - stopReserve - n.clock.Now().Sub(begun)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		n.log.Write("node", "requests cut off", logrus.Fields{"error": err.Error()})
	}
}

// endServers ends the servers whose requests nobody waits for.
func (n *node) endServers(servers ...*fasthttp.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return errors.Wrap(err, "end of a server")
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
			n.reload()
		}
	}
}

// reload applies a changed settings file.
func (n *node) reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		n.log.Write("node", "settings not reloaded", logrus.Fields{"error": err.Error()})
		return
	}
	n.client.Redirect(s)
	n.log.Write("node", "settings reloaded", logrus.Fields{"store": s.StoreAddress, "machines": s.MachinesAddress})
}

// observe logs and counts a finished request.
func (n *node) observe(kind string, a ingress.Answer, took time.Duration) {
	n.metrics.request(kind, a, took)
	fields := logrus.Fields{
		"kind": kind, "outcome": a.Code.String(), "queue": a.Queue, "team": a.Team,
		"version": a.Version, "config_age_ms": a.Age.Milliseconds(), "took_ms": took.Milliseconds(),
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
	n.log.Write("request", kind+" "+a.Code.String(), fields)
}

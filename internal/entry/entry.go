// Package entry assembles and runs the parts of one entry instance.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Run runs an entry instance until ctx is cancelled and then stops it
// gracefully. It returns when the instance has stopped.
func Run(ctx context.Context, s settings.Entry, p platform.Platform, log *logrus.Entry) error {
	self := link.Member{
		ID:          s.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		DataCentre:  s.DataCentre,
		Address:     s.Peer,
	}
	state := fleet.New(fleet.Options{
		Self: self, DataCentres: s.DataCentres, Seeds: seedMembers(s.Seeds), FreshnessHorizon: s.FreshnessHorizon(),
		HTTPAddress: s.HTTP,
		LimitTerms:  s.Limits.Terms(), TicketSecret: ticketSecret(),
	})
	node, err := peer.NewNode(peer.Options{
		Self:  self,
		Files: peer.TLSFiles{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key},
		Log:   log,
	})
	if err != nil {
		return err
	}
	peers := peer.NewRunner(node, log, time.Now)
	endpoints := endpointclient.New(time.Now)
	defer endpoints.Close()
	actions := actionRunner{platform: control.NewPlatformRunner(p, log, time.Now), peers: peers}
	loop := control.NewLoop(state, control.NewEndpointRunner(actions, endpoints), time.Now)
	peers.RegisterHandlers(loop)
	metrics, err := newMetrics(loop, node)
	if err != nil {
		return err
	}
	claims := control.NewClaims(p, time.Now, log)
	if err := addRequestMetrics(metrics, endpoints, claims); err != nil {
		return err
	}
	forwarder := ticketForwarder{peers: node, control: loop, forwarded: newRequestCounter()}
	handler := traffic.NewHandler(traffic.Dependencies{
		Self: self, Control: loop, Sender: endpoints, Claims: claims,
		Forwarder: forwarder, Clock: time.Now, Random: traffic.ProcessRandom{},
	})
	forwarder.registerHandler(handler, time.Now)
	server := front.NewServer(front.Dependencies{
		Loop:      loop,
		Metrics:   metrics,
		Tasks:     control.NewTaskReader(p),
		Traffic:   handler,
		Committer: control.NewCheckedCommitter(p, control.NewLoopChecker(loop)),
		Orders:    control.NewOrders(p, time.Now),
		Propagate: func(ctx context.Context, plan fleet.PropagationPlan) []fleet.DataCentreConfirmation {
			return peers.Propagate(ctx, loop, plan)
		},
		Limits:  func(ctx context.Context) ([]control.LimitRecord, error) { return control.ReadLimits(ctx, p) },
		Dropped: endpoints.Dropped.Counts,
		Log:     log,
		Clock:   time.Now,

		Capacity: intake.CapacityOf(s.Clients.Intake()), RequestLimits: s.Clients.RequestLimits(),
	})
	if err := server.RegisterMetrics(metrics); err != nil {
		return err
	}
	listener, err := server.Listen(ctx, s.HTTP)
	if err != nil {
		return err
	}
	stop := plannedStop{drainDelay: s.DrainDelay(), log: log, steps: []handOverStep{
		{name: "departure", timeout: handOverTimeout, run: func(ctx context.Context) error { return announceDeparture(ctx, loop, node) }},
		{name: "forwarded requests", timeout: shutdownTimeout, run: forwarder.forwarded.drain},
		{name: "slots", timeout: handOverTimeout, run: func(ctx context.Context) error { return returnSlots(ctx, loop, log) }},
		{name: "roles", timeout: handOverTimeout, run: func(ctx context.Context) error { return releaseRoles(ctx, loop, p) }},
	}}
	return serve(ctx, loop, node, server, listener, stop)
}

// serve runs the control loop, the peer node and the server until ctx is
// cancelled or one of them fails, and then performs the planned stop. It stops
// the loop and the node after the server, so that running requests can release
// their slots.
func serve(ctx context.Context, loop *control.Loop, node *peer.Node, server *front.Server, l net.Listener, stop plannedStop) error {
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return loop.Run(loopCtx) })
	group.Go(func() error { return node.Serve(loopCtx) })
	group.Go(func() error { return server.Watch(loopCtx) })
	group.Go(func() error { return server.Serve(l) })
	group.Go(func() error {
		defer func() { _ = node.Close() }()
		defer stopLoop()
		<-groupCtx.Done()
		return stop.run(context.WithoutCancel(ctx), server, l)
	})
	stop.log.Infof("front: listening on %s", l.Addr())
	return group.Wait()
}

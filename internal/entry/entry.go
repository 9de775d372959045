// Package entry assembles the parts of one entry instance.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Run serves as an entry instance until ctx ends, then stops gracefully.
func Run(ctx context.Context, s settings.Entry, p platform.Platform, log *logrus.Entry) error {
	listener, err := net.Listen("tcp", s.HTTP)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	self := link.Member{
		ID:          s.ID,
		Incarnation: uint64(time.Now().UnixNano()),
		DataCentre:  s.DataCentre,
		Address:     s.Peer,
	}
	f := fleet.New(fleet.Options{Self: self, DataCentres: s.DataCentres, TicketSecret: ticketSecret()})
	endpoints := endpointclient.New(time.Now)
	defer endpoints.Close()
	runner := control.NewEndpointRunner(control.NewPlatformRunner(p, log, time.Now), endpoints)
	loop := control.NewLoop(f, runner, time.Now)
	metrics, err := newMetrics(loop)
	if err != nil {
		return err
	}
	server := front.NewServer(front.Parts{
		Loop:    loop,
		Metrics: metrics,
		Traffic: traffic.NewHandler(traffic.Parts{
			Self: self, Control: loop, Sender: endpoints, Claims: control.NewClaims(p, time.Now, log),
			Forwarder: noPeers{}, Clock: time.Now, Random: traffic.ProcessRandom{},
		}),
		Committer: control.NewCommitter(p),
		Dropped:   endpoints.Dropped.Counts,
		Log:       log,
		Clock:     time.Now,
	})
	return serve(ctx, loop, server, listener, plannedStop{drainDelay: s.DrainDelay(), log: log})
}

// serve runs the loop and the server until ctx ends, then stops as planned. The
// loop ends after the server, so that running requests can release their slots.
func serve(ctx context.Context, loop *control.Loop, server *front.Server, l net.Listener, stop plannedStop) error {
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return loop.Run(loopCtx) })
	group.Go(func() error { return server.Serve(l) })
	group.Go(func() error {
		defer stopLoop()
		<-groupCtx.Done()
		return stop.run(context.WithoutCancel(ctx), server)
	})
	stop.log.Infof("front: listening on %s", l.Addr())
	return group.Wait()
}

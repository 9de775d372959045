// Package demo runs small fleets inside one process on loopback, performs the
// operators' main tasks and checks what each one claims. Run takes the entry
// program with two data centres, RunNodes the nodes of the users' platform.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/entry"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// Names of the demo's fleet.
const (
	centreNorth = "north"
	centreSouth = "south"
	service     = "deposits"
	team        = "depots"
	keyID       = "depots-1"
	secret      = "demo-secret"
	pool        = "main"
)

// Sizes of the demo's pool.
const (
	machines     = 4
	minAvailable = 2
)

// Times of the demo.
const (
	workTime    = time.Millisecond
	stepTimeout = 10 * time.Second
	stepPause   = 50 * time.Millisecond
	stopTimeout = 10 * time.Second
	// certificateValidity is longer than any run of the demo.
	certificateValidity = time.Hour
)

// ErrStepFailed means that a step did not do what it claims.
var ErrStepFailed = errors.New("a step did not do what it claims")

// fleet is the running system of the demo.
type fleet struct {
	store     *standin.Store
	endpoints map[string]*standin.Endpoint
	// entries maps a data centre to the HTTP address of its entry instance.
	entries map[string]string
	// certificates is the directory of the entry instances' test certificates.
	certificates string
}

// step is one task with the claim that it checks.
type step struct {
	name string
	// run returns what was seen.
	run func(ctx context.Context, f *fleet) (string, error)
}

// Run performs all steps and writes one table row for each to out. It returns
// ErrStepFailed when a claim did not hold.
func Run(ctx context.Context, out io.Writer, log *logrus.Logger) error {
	certificates, err := os.MkdirTemp("", "crocusjunction-demo")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer func() { _ = os.RemoveAll(certificates) }()
	ctx, cancel := context.WithCancel(ctx)
	group, groupCtx := errgroup.WithContext(ctx)
	f, err := start(groupCtx, group, certificates, log)
	if err != nil {
		cancel()
		_ = group.Wait()
		return err
	}
	err = runSteps(groupCtx, f, out)
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func runSteps(ctx context.Context, f *fleet, out io.Writer) error {
	table := newTable(out)
	for _, s := range steps() {
		table.step(s.name, func() (string, error) { return s.run(ctx, f) })
	}
	return table.end()
}

// start brings the fleet up on free loopback ports.
func start(ctx context.Context, group *errgroup.Group, certificates string, log *logrus.Logger) (*fleet, error) {
	f := &fleet{
		store:        standin.NewStore(time.Now),
		endpoints:    make(map[string]*standin.Endpoint),
		entries:      make(map[string]string),
		certificates: certificates,
	}
	members := []string{entryID(centreNorth), entryID(centreSouth)}
	if err := peer.WriteTestCertificates(certificates, members, time.Now(), certificateValidity); err != nil {
		return nil, err
	}
	f.addMachines()
	address, err := serve(ctx, group, standin.NewPlatformServer(f.store))
	if err != nil {
		return nil, err
	}
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.startEndpoint(ctx, group, centre); err != nil {
			return nil, err
		}
	}
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.startEntry(ctx, group, centre, address, log); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addMachines puts the machines of the pool into the platform, two to a rack.
func (f *fleet) addMachines() {
	f.store.SetParkOptions(standin.ParkOptions{DrainMS: 100, RebootMS: 200, FillMS: 50})
	var list []platform.Machine
	for n := range machines {
		list = append(list, platform.Machine{
			ID: fmt.Sprintf("machine-%d", n), DataCentre: []string{centreNorth, centreSouth}[n/2], Rack: fmt.Sprint(n / 2),
			Pool: pool, State: "serving", Healthy: true,
		})
	}
	f.store.RecordEffects()
	f.store.AddMachines(list)
}

func entryID(centre string) string { return "entry-" + centre }

func (f *fleet) startEndpoint(ctx context.Context, group *errgroup.Group, centre string) error {
	endpoint := standin.NewEndpoint(workTime)
	address, err := serve(ctx, group, endpoint)
	if err != nil {
		return err
	}
	f.endpoints[centre] = endpoint
	f.store.UpdateInstance(platform.Instance{
		ID: "endpoint-" + centre, Service: service, DataCentre: centre, Address: address,
	})
	return nil
}

func (f *fleet) startEntry(ctx context.Context, group *errgroup.Group, centre, platformAddress string, log *logrus.Logger) error {
	httpAddress, err := freeAddress("tcp")
	if err != nil {
		return err
	}
	peerAddress, err := freeAddress("udp")
	if err != nil {
		return err
	}
	s := settings.Entry{
		ID: entryID(centre), DataCentre: centre, HTTP: httpAddress, Peer: peerAddress, Platform: platformAddress,
		DataCentres: map[string]string{centreNorth: "west", centreSouth: "west"},
	}
	files := peer.FilesIn(f.certificates, s.ID)
	s.TLS = settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
	if err := s.Check(); err != nil {
		return err
	}
	f.entries[centre] = httpAddress
	group.Go(func() error {
		return entry.Run(ctx, s, rest.NewClient(platformAddress), log.WithField("instance", s.ID))
	})
	return awaitListener(ctx, httpAddress)
}

// server is what both stand-ins provide.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

func serve(ctx context.Context, group *errgroup.Group, s server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	group.Go(func() error { return s.Serve(l) })
	group.Go(func() error {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return s.Shutdown(limited)
	})
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func awaitListener(ctx context.Context, address string) error {
	return eventually(ctx, func() error {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// eventually calls check until it succeeds or stepTimeout has passed.
func eventually(ctx context.Context, check func() error) error {
	limited, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-limited.Done():
			return err
		case <-time.After(stepPause):
		}
	}
}

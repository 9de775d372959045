// Package demo runs small fleets inside one process on loopback, performs the
// main operations of operators and callers, and checks the result of each.
// RunEntries uses entry instances in two data centres, RunNodes the nodes of the
// users' platform.
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

// Names in the demo fleets.
const (
	dataCentreNorth = "north"
	dataCentreSouth = "south"
	service         = "deposits"
	team            = "depots"
	keyID           = "depots-1"
	secret          = "demo-secret"
	pool            = "main"
)

// Size and availability minimum of the pool in RunEntries.
const (
	poolMachines = 4
	minAvailable = 2
)

// Durations and timeouts of the demo.
const (
	serviceTime     = time.Millisecond
	stepTimeout     = 10 * time.Second
	pollInterval    = 50 * time.Millisecond
	shutdownTimeout = 10 * time.Second
	// certificateValidity exceeds the duration of any demo.
	certificateValidity = time.Hour
)

// ErrStepFailed means that the check of at least one step failed.
var ErrStepFailed = errors.New("at least one step of the demo failed")

// fleet is the system that RunEntries starts: the stand-ins, and one entry
// instance in each data centre.
type fleet struct {
	store *standin.Store
	// endpoints maps a data centre to its endpoint.
	endpoints map[string]*standin.Endpoint
	// entries maps a data centre to the HTTP address of its entry instance.
	entries map[string]string
	// certificates is the directory with the test certificates of the entry
	// instances.
	certificates string
}

// step is one operation on a fleet, with the check of its result.
type step struct {
	name string
	// run returns the observed result for the table.
	run func(ctx context.Context, f *fleet) (string, error)
}

// RunEntries starts entry instances in two data centres, performs all steps and
// writes one table row for each to out. It returns ErrStepFailed if a step
// failed, and stops everything that it started before it returns.
func RunEntries(ctx context.Context, out io.Writer, log *logrus.Logger) error {
	certificates, err := os.MkdirTemp("", "crocusjunction-demo")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer func() { _ = os.RemoveAll(certificates) }()
	ctx, cancel := context.WithCancel(ctx)
	group, groupCtx := errgroup.WithContext(ctx)
	f, err := startFleet(groupCtx, group, certificates, log)
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
	for _, s := range entrySteps() {
		table.runStep(s.name, func() (string, error) { return s.run(ctx, f) })
	}
	return table.finish()
}

// startFleet starts the fleet on free loopback ports. It runs until ctx ends;
// group collects the errors of its servers.
func startFleet(ctx context.Context, group *errgroup.Group, certificates string, log *logrus.Logger) (*fleet, error) {
	f := &fleet{
		store:        standin.NewStore(time.Now),
		endpoints:    make(map[string]*standin.Endpoint),
		entries:      make(map[string]string),
		certificates: certificates,
	}
	members := []string{entryID(dataCentreNorth), entryID(dataCentreSouth)}
	if err := peer.WriteTestCertificates(certificates, members, time.Now(), certificateValidity); err != nil {
		return nil, err
	}
	f.addMachines()
	platformAddress, err := startServer(ctx, group, standin.NewPlatformServer(f.store))
	if err != nil {
		return nil, err
	}
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.startEndpoint(ctx, group, dataCentre); err != nil {
			return nil, err
		}
	}
	for _, dataCentre := range []string{dataCentreNorth, dataCentreSouth} {
		if err := f.startEntry(ctx, group, dataCentre, platformAddress, log); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addMachines adds the machines of the pool to the platform, two in each rack.
func (f *fleet) addMachines() {
	f.store.SetMachineOptions(standin.MachineOptions{DrainMS: 100, RebootMS: 200, FillMS: 50})
	var list []platform.Machine
	for n := range poolMachines {
		list = append(list, platform.Machine{
			ID: fmt.Sprintf("machine-%d", n), DataCentre: []string{dataCentreNorth, dataCentreSouth}[n/2], Rack: fmt.Sprint(n / 2),
			Pool: pool, State: "serving", Healthy: true,
		})
	}
	f.store.RecordMachineEffects()
	f.store.AddMachines(list)
}

func entryID(dataCentre string) string { return "entry-" + dataCentre }

func (f *fleet) startEndpoint(ctx context.Context, group *errgroup.Group, dataCentre string) error {
	endpoint := standin.NewEndpoint(serviceTime)
	address, err := startServer(ctx, group, endpoint)
	if err != nil {
		return err
	}
	f.endpoints[dataCentre] = endpoint
	f.store.UpdateInstance(platform.Instance{
		ID: "endpoint-" + dataCentre, Service: service, DataCentre: dataCentre, Address: address,
	})
	return nil
}

// startEntry starts the entry instance of a data centre and waits until it
// accepts connections.
func (f *fleet) startEntry(ctx context.Context, group *errgroup.Group, dataCentre, platformAddress string, log *logrus.Logger) error {
	httpAddress, err := freeAddress("tcp")
	if err != nil {
		return err
	}
	peerAddress, err := freeAddress("udp")
	if err != nil {
		return err
	}
	s := settings.Entry{
		ID: entryID(dataCentre), DataCentre: dataCentre, HTTP: httpAddress, Peer: peerAddress, Platform: platformAddress,
		DataCentres: map[string]string{dataCentreNorth: "west", dataCentreSouth: "west"},
	}
	files := peer.MemberTLSFiles(f.certificates, s.ID)
	s.TLS = settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
	if err := s.Check(); err != nil {
		return err
	}
	f.entries[dataCentre] = httpAddress
	group.Go(func() error {
		return entry.Run(ctx, s, rest.NewClient(platformAddress), log.WithField("instance", s.ID))
	})
	return awaitListener(ctx, httpAddress)
}

// standinServer is a server of package standin.
type standinServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// startServer serves s on a free loopback port until ctx ends, and returns the
// address.
func startServer(ctx context.Context, group *errgroup.Group, s standinServer) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	group.Go(func() error { return s.Serve(l) })
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return s.Shutdown(shutdownCtx)
	})
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address with a port that is free at the time
// of the call. Another process may bind the port before the caller does.
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

// eventually calls check every pollInterval until it succeeds, and returns its
// last error once stepTimeout has passed or ctx has ended.
func eventually(ctx context.Context, check func() error) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-timeoutCtx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

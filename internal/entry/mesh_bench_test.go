package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// meshSize is the size of a fleet of entry instances. The largest of meshSizes is
// the size that the system is designed for.
type meshSize struct{ centres, perCentre int }

var meshSizes = []meshSize{{2, 4}, {4, 5}, {5, 8}}

func (s meshSize) String() string {
	return fmt.Sprintf("centres=%d/instances=%d", s.centres, s.centres*s.perCentre)
}

// mesh is a set of entry instances without HTTP servers, all in this process and
// connected by loopback.
type mesh struct {
	nodes     []*peer.Node
	runners   []*peer.Runner
	loops     []*control.Loop
	committer *control.Committer
	// platformListeners count the bytes between each instance and the platform.
	platformListeners []*countingListener
}

// countingListener counts the bytes of all accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func startMesh(b *testing.B, size meshSize) *mesh {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &mesh{}
	store := standin.NewStore(time.Now)
	for i := range 30 * size.centres * size.perCentre {
		store.UpdateInstance(platform.Instance{
			ID: fmt.Sprintf("endpoint-%d", i), Service: "bookings", DataCentre: fmt.Sprintf("dc-%d", i%size.centres), Address: "127.0.0.1:1",
		})
	}
	server := standin.NewPlatformServer(store)
	b.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	members, centres := []link.Member{}, map[string]string{}
	var ids []string
	for c := range size.centres {
		centres[fmt.Sprintf("dc-%d", c)] = "west"
		for i := range size.perCentre {
			id := fmt.Sprintf("entry-%d-%d", c, i)
			ids = append(ids, id)
			members = append(members, link.Member{ID: id, Incarnation: 1, DataCentre: fmt.Sprintf("dc-%d", c), Address: "127.0.0.1:0"})
		}
	}
	dir := b.TempDir()
	if err := peer.WriteTestCertificates(dir, ids, time.Now(), time.Hour); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		for _, n := range m.nodes {
			_ = n.Close()
		}
		running.Wait()
	})
	var client *rest.Client
	for i := range members {
		client = rest.NewClient(m.listenPlatform(b, server))
		members[i].Address = freeUDPAddress(b)
		node, err := peer.NewNode(peer.Options{Self: members[i], Files: peer.MemberTLSFiles(dir, members[i].ID), Log: logrus.NewEntry(log)})
		if err != nil {
			b.Fatal(err)
		}
		peerRunner := peer.NewRunner(node, logrus.NewEntry(log), time.Now)
		f := fleet.New(fleet.Options{Self: members[i], DataCentres: centres})
		loop := control.NewLoop(f, actionRunner{platform: control.NewPlatformRunner(client, logrus.NewEntry(log), time.Now), peers: peerRunner}, time.Now)
		peerRunner.RegisterHandlers(loop)
		running.Go(func() { _ = loop.Run(ctx) })
		running.Go(func() { _ = node.Serve(ctx) })
		m.nodes, m.runners, m.loops = append(m.nodes, node), append(m.runners, peerRunner), append(m.loops, loop)
	}
	m.committer = control.NewCheckedCommitter(client, control.NewLoopChecker(m.loops[0]))
	m.waitForMembers(b, size)
	return m
}

// listenPlatform opens another listener of the platform and returns its address.
// Each instance has its own, so that its bytes are counted separately.
func (m *mesh) listenPlatform(b *testing.B, server *standin.PlatformServer) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counted := &countingListener{Listener: l}
	m.platformListeners = append(m.platformListeners, counted)
	go func() { _ = server.Serve(counted) }()
	return l.Addr().String()
}

func freeUDPAddress(b *testing.B) string {
	b.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// waitForMembers waits until the configuration of every instance is fresh and
// every instance lists all other members.
func (m *mesh) waitForMembers(b *testing.B, size meshSize) {
	b.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, loop := range m.loops {
		for {
			reply := make(chan fleet.ConfigStatus, 1)
			if err := loop.Send(context.Background(), fleet.ConfigStatusQuery{Reply: reply}); err != nil {
				b.Fatal(err)
			}
			if s := <-reply; s.Fresh && len(s.Members) == size.centres*size.perCentre-1 {
				break
			}
			if time.Now().After(deadline) {
				b.Fatal("instances did not discover all members within one minute")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// settleDelay is the wait before a measurement. It excludes the reads of the
// member list that instances perform after their start.
const settleDelay = 8 * time.Second

// probeRound is the time between two rounds of probes.
const probeRound = time.Second

// BenchmarkProbeRound measures the bytes that each instance sends and receives
// while the configuration does not change. One iteration is one round of probes
// in real time, so -benchtime 10x measures ten seconds.
func BenchmarkProbeRound(b *testing.B) {
	for _, size := range meshSizes {
		b.Run(size.String(), func(b *testing.B) {
			m := startMesh(b, size)
			time.Sleep(settleDelay)
			seconds := 0.0
			cpuBefore := cpuTime(b)
			before := make([]usage, len(m.nodes))
			for i := range m.nodes {
				before[i] = m.usage(i)
			}
			for b.Loop() {
				time.Sleep(probeRound)
				seconds += probeRound.Seconds()
			}
			var peerRate, platformRate, maxRate, maxPeerRate float64
			for i := range m.nodes {
				now := m.usage(i)
				p, c := float64(now.peerBytes-before[i].peerBytes)/seconds, float64(now.platformBytes-before[i].platformBytes)/seconds
				peerRate, platformRate = peerRate+p, platformRate+c
				maxRate, maxPeerRate = max(maxRate, p+c), max(maxPeerRate, p)
			}
			n := float64(len(m.nodes))
			b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/seconds/n*100, "cpu-%/instance")
			b.ReportMetric(peerRate/n, "peers-mean-B/s")
			b.ReportMetric(maxPeerRate, "peers-most-B/s")
			b.ReportMetric(platformRate/n, "platform-mean-B/s")
			b.ReportMetric(maxRate, "all-most-B/s")
		})
	}
}

// usage is the number of bytes that one instance has sent and received.
type usage struct{ peerBytes, platformBytes int64 }

func (m *mesh) usage(i int) usage {
	c := m.nodes[i].Counters()
	return usage{peerBytes: int64(c.SentBytes + c.ReceivedBytes), platformBytes: m.platformListeners[i].bytes.Load()}
}

// cpuTime returns the CPU time of this process, which runs all instances and the
// platform stand-in.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRevisionInForce measures the time from the commit of a change until
// every instance has published a snapshot that includes it. All instances share
// one process and loopback.
func BenchmarkRevisionInForce(b *testing.B) {
	for _, size := range meshSizes {
		b.Run(size.String(), func(b *testing.B) {
			m := startMesh(b, size)
			base := uint64(0)
			for b.Loop() {
				base = m.commitAndWait(b, base)
			}
		})
	}
}

// commitAndWait commits a change of one team through the first instance and
// waits until the snapshots of all instances include it. It returns the revision
// of the change, which is the base of the next one.
func (m *mesh) commitAndWait(b *testing.B, base uint64) uint64 {
	b.Helper()
	outcome, err := m.committer.Commit(context.Background(), contract.Change{
		ID: fmt.Sprint(base), Author: "operator", Base: base,
		Object: contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: 1, Share: 1}},
	})
	if err != nil || outcome.Result != contract.ChangeAccepted {
		b.Fatalf("%+v, error %v", outcome, err)
	}
	reply := make(chan fleet.PropagationPlan, 1)
	if err := m.loops[0].Send(context.Background(), fleet.HeadCommitted{Head: outcome.Head, Reply: reply}); err != nil {
		b.Fatal(err)
	}
	for _, c := range m.runners[0].Propagate(context.Background(), m.loops[0], <-reply) {
		if !c.Confirmed {
			b.Fatalf("%+v", c)
		}
	}
	for _, loop := range m.loops {
		for loop.Snapshot().Revision < outcome.Revision {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return outcome.Revision
}

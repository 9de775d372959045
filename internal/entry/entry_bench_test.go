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

// meshSize is one size of a fleet of entry instances; the largest is the target.
type meshSize struct{ centres, perCentre int }

var meshSizes = []meshSize{{2, 4}, {4, 5}, {5, 8}}

func (s meshSize) String() string {
	return fmt.Sprintf("centres=%d/instances=%d", s.centres, s.centres*s.perCentre)
}

// mesh is a set of entry instances without front ends, linked by loopback.
type mesh struct {
	nodes     []*peer.Node
	runners   []*peer.Runner
	loops     []*control.Loop
	committer *control.Committer
	// platform counts the calls of each instance to the platform.
	platform []*countingListener
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
		members[i].Address = freeUDP(b)
		node, err := peer.NewNode(peer.Options{Self: members[i], Files: peer.FilesIn(dir, members[i].ID), Log: logrus.NewEntry(log)})
		if err != nil {
			b.Fatal(err)
		}
		runner1 := peer.NewRunner(node, logrus.NewEntry(log), time.Now)
		f := fleet.New(fleet.Options{Self: members[i], DataCentres: centres})
		loop := control.NewLoop(f, runner{platform: control.NewPlatformRunner(client, logrus.NewEntry(log), time.Now), peers: runner1}, time.Now)
		runner1.RegisterHandlers(loop)
		running.Go(func() { _ = loop.Run(ctx) })
		running.Go(func() { _ = node.Serve(ctx) })
		m.nodes, m.runners, m.loops = append(m.nodes, node), append(m.runners, runner1), append(m.loops, loop)
	}
	m.committer = control.NewCheckedCommitter(client, control.CheckWith(m.loops[0]))
	m.settle(b, size)
	return m
}

// listenPlatform opens one more address of the platform, so that the bytes of
// each instance are counted apart.
func (m *mesh) listenPlatform(b *testing.B, server *standin.PlatformServer) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counted := &countingListener{Listener: l}
	m.platform = append(m.platform, counted)
	go func() { _ = server.Serve(counted) }()
	return l.Addr().String()
}

func freeUDP(b *testing.B) string {
	b.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// settle waits until every instance knows all members and has evidence.
func (m *mesh) settle(b *testing.B, size meshSize) {
	b.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, loop := range m.loops {
		for {
			reply := make(chan fleet.ConfigStatus, 1)
			if err := loop.Send(context.Background(), fleet.SpreadQuery{Reply: reply}); err != nil {
				b.Fatal(err)
			}
			if s := <-reply; s.Fresh && len(s.Members) == size.centres*size.perCentre-1 {
				break
			}
			if time.Now().After(deadline) {
				b.Fatal("the instances do not find each other")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// settleTime lets the lists of members that follow a start end.
const settleTime = 8 * time.Second

// probeTime is one round of probes.
const probeTime = time.Second

// BenchmarkProbeRound counts the bytes that each instance moves while nothing
// changes. One iteration is one round in real time, so -benchtime 10x counts ten
// seconds.
func BenchmarkProbeRound(b *testing.B) {
	for _, size := range meshSizes {
		b.Run(size.String(), func(b *testing.B) {
			m := startMesh(b, size)
			time.Sleep(settleTime)
			seconds := 0.0
			cpuBefore := cpuTime(b)
			before := make([]usage, len(m.nodes))
			for i := range m.nodes {
				before[i] = m.usage(i)
			}
			for b.Loop() {
				time.Sleep(probeTime)
				seconds += probeTime.Seconds()
			}
			var peers, calls, most, mostPeers float64
			for i := range m.nodes {
				now := m.usage(i)
				p, c := float64(now.peers-before[i].peers)/seconds, float64(now.platform-before[i].platform)/seconds
				peers, calls = peers+p, calls+c
				most, mostPeers = max(most, p+c), max(mostPeers, p)
			}
			n := float64(len(m.nodes))
			b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/seconds/n*100, "cpu-%/instance")
			b.ReportMetric(peers/n, "peers-mean-B/s")
			b.ReportMetric(mostPeers, "peers-most-B/s")
			b.ReportMetric(calls/n, "platform-mean-B/s")
			b.ReportMetric(most, "all-most-B/s")
		})
	}
}

// usage is the bytes that one instance has sent and received.
type usage struct{ peers, platform int64 }

func (m *mesh) usage(i int) usage {
	c := m.nodes[i].Counters()
	return usage{peers: int64(c.SentBytes + c.ReceivedBytes), platform: m.platform[i].bytes.Load()}
}

// cpuTime returns the processor time of this process, which runs all instances
// and the platform stand-in.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRevisionInForce measures the time from the commit of a change until
// every instance has published a snapshot with it. The processes share one
// machine and loopback.
func BenchmarkRevisionInForce(b *testing.B) {
	for _, size := range meshSizes {
		b.Run(size.String(), func(b *testing.B) {
			m := startMesh(b, size)
			base := uint64(0)
			for b.Loop() {
				base = m.changeEverywhere(b, base)
			}
		})
	}
}

// changeEverywhere commits a change of one team through the first instance and
// waits until all have it.
func (m *mesh) changeEverywhere(b *testing.B, base uint64) uint64 {
	b.Helper()
	outcome, err := m.committer.Commit(context.Background(), contract.Change{
		ID: fmt.Sprint(base), Author: "operator", Base: base,
		Object: contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: 1, Share: 1}},
	})
	if err != nil || outcome.Result != contract.ChangeAccepted {
		b.Fatalf("%+v, error %v", outcome, err)
	}
	reply := make(chan fleet.SpreadPlan, 1)
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

package peer

import (
	"testing"
	"time"
)

// BenchmarkExchange measures one exchange of a probe-sized body on an open
// connection, and the bytes and packets that the client sends and receives for
// it. The pause after each exchange lets delayed acknowledgements be sent, as
// they are between probes.
func BenchmarkExchange(b *testing.B) {
	dir := writeTestKeys(b, "entry-north-1", "entry-south-1")
	client, server := newTestNode(b, dir, "entry-north-1"), newTestNode(b, dir, "entry-south-1")
	server.Handle(KindProbe, echo)
	serveNode(b, server)
	body := make([]byte, 20)
	if _, err := client.Exchange(b.Context(), server.Address(), KindProbe, body); err != nil {
		b.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	before := client.Counters()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), server.Address(), KindProbe, body); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		time.Sleep(50 * time.Millisecond)
		b.StartTimer()
	}
	after := client.Counters()
	exchanges := float64(b.N)
	b.ReportMetric(float64(after.SentBytes-before.SentBytes)/exchanges, "sent-B/exchange")
	b.ReportMetric(float64(after.ReceivedBytes-before.ReceivedBytes)/exchanges, "received-B/exchange")
	b.ReportMetric(float64(after.SentPackets+after.ReceivedPackets-before.SentPackets-before.ReceivedPackets)/exchanges, "packets/exchange")
}

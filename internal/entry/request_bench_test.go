package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

const (
	benchSecret  = "secret-of-depots"
	benchService = "bookings"
	// benchEndpoints is the number of endpoints. With 8 requests at each, 256
	// callers are served concurrently.
	benchEndpoints = 32
)

// benchFleet is one entry instance with endpoints and a platform, all in this
// process and connected by loopback.
type benchFleet struct {
	// entry and endpoints are addresses "ip:port".
	entry     string
	endpoints []string
	store     *standin.Store
}

func startBenchFleet(b *testing.B) benchFleet {
	b.Helper()
	store := standin.NewStore(time.Now)
	f := benchFleet{store: store}
	for i := range benchEndpoints {
		address := startBenchServer(b, standin.NewEndpoint(0))
		f.endpoints = append(f.endpoints, address)
		store.UpdateInstance(platform.Instance{
			ID: fmt.Sprintf("e%d", i), Service: benchService, DataCentre: "north", Address: address,
		})
	}
	f.entry = startBenchEntry(b, store)
	return f
}

// benchServer is the server of a stand-in.
type benchServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// startBenchServer starts a server on a free port and returns its address.
func startBenchServer(b *testing.B, s benchServer) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	b.Cleanup(func() {
		_ = s.Shutdown(context.Background())
		<-done
	})
	return l.Addr().String()
}

// startBenchEntry starts and configures an entry instance and returns the
// address of its HTTP server.
func startBenchEntry(b *testing.B, store *standin.Store) string {
	b.Helper()
	dir := b.TempDir()
	if err := peer.WriteTestCertificates(dir, []string{"entry-1"}, time.Now(), time.Hour); err != nil {
		b.Fatal(err)
	}
	files := peer.MemberTLSFiles(dir, "entry-1")
	none := int64(0)
	s := settings.Entry{
		ID: "entry-1", DataCentre: "north", DataCentres: map[string]string{"north": "west"}, HTTP: freeTCPAddress(b), Peer: "127.0.0.1:0",
		TLS: settings.TLS{CA: files.CA, Certificate: files.Certificate, Key: files.Key}, DrainDelayMS: &none,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s, store, logrus.NewEntry(log)) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	configureBenchEntry(b, s.HTTP)
	return s.HTTP
}

func freeTCPAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configureBenchEntry waits until the entry instance is ready. It then stores a
// team whose upper limit no benchmark reaches, a service document and an API
// key.
func configureBenchEntry(b *testing.B, entry string) {
	b.Helper()
	client := &fasthttp.Client{}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		code, _, err := client.Get(nil, "http://"+entry+"/v1/ready")
		if err == nil && code == fasthttp.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			b.Fatalf("not ready: status %d, error %v", code, err)
		}
	}
	objects := []contract.Object{
		{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: 1000, Share: 1}},
		{Ref: contract.Ref{Kind: contract.KindDocument, Name: benchService}, Document: &contract.Document{Service: benchService, Team: "depots", Pool: "main"}},
		{Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"}, Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(benchSecret)}},
	}
	for i, o := range objects {
		body, err := json.Marshal(contract.Change{ID: fmt.Sprint("c", i), Author: "bench", Object: o})
		if err != nil {
			b.Fatal(err)
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + entry + "/v1/config/change")
		req.SetBody(body)
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			b.Fatalf("change %d: status %d %s, error %v", i, resp.StatusCode(), resp.Body(), err)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}

// BenchmarkEntryBesideDirect measures requests through one entry instance and,
// for comparison, the same requests sent directly to the endpoints.
func BenchmarkEntryBesideDirect(b *testing.B) {
	f := startBenchFleet(b)
	for _, callers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			measureRequests(b, callers, func(n int) string { return "http://" + f.endpoints[n%len(f.endpoints)] + "/v1/run/" + benchService })
		})
		b.Run(fmt.Sprintf("entry/callers=%d", callers), func(b *testing.B) {
			measureRequests(b, callers, func(int) string { return "http://" + f.entry + "/v1/work/" + benchService })
		})
	}
}

// BenchmarkKeyedRequest measures requests with and without an idempotency key,
// and the platform writes of each request.
func BenchmarkKeyedRequest(b *testing.B) {
	f := startBenchFleet(b)
	client := &fasthttp.Client{}
	run := func(name string, key func(i int) string) {
		b.Run(name, func(b *testing.B) {
			before := f.store.Calls()
			for i := range b.N {
				if !sendKeyedRequest(client, f.entry, key(i)) {
					b.Fatal("not answered")
				}
			}
			b.ReportMetric(float64(f.store.Calls().Writes-before.Writes)/float64(b.N), "platform-writes/op")
		})
	}
	run("none", func(int) string { return "" })
	run("ticket", func(int) string { return requestTicket(b, client, f.entry) })
	round := 0
	run("chosen", func(i int) string {
		if i == 0 {
			round++
		}
		return fmt.Sprintf("booking-%d-%d", round, i)
	})
}

func sendKeyedRequest(client *fasthttp.Client, entry, key string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + "/v1/work/" + benchService)
	req.Header.Set(front.HeaderKey, benchSecret)
	if key != "" {
		req.Header.Set(front.HeaderIdempotencyKey, key)
	}
	req.SetBodyString("hold washer 7")
	return client.Do(req, resp) == nil && resp.StatusCode() == fasthttp.StatusOK
}

// requestTicket requests a ticket from the entry instance. The benchmark includes
// the time of this request.
func requestTicket(b *testing.B, client *fasthttp.Client, entry string) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + "/v1/tickets")
	req.Header.Set(front.HeaderKey, benchSecret)
	var list front.TicketList
	if err := client.Do(req, resp); err != nil || json.Unmarshal(resp.Body(), &list) != nil || len(list.Tickets) != 1 {
		b.Fatalf("ticket: %s, error %v", resp.Body(), err)
	}
	return list.Tickets[0]
}

// measureRequests sends b.N requests from concurrent callers and reports the
// throughput and the latencies. url returns the URL that a caller sends to.
func measureRequests(b *testing.B, callers int, url func(caller int) string) {
	client := &fasthttp.Client{MaxConnsPerHost: callers, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	total := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	var next, failed atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	for n := range callers {
		group.Go(func() {
			latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for next.Add(1) <= int64(b.N) {
				start := time.Now()
				if !sendBenchRequest(client, url(n)) {
					failed.Add(1)
				}
				_ = latency.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(latency)
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(total.ValueAtPercentile(50)), "p50-µs")
	b.ReportMetric(float64(total.ValueAtPercentile(99)), "p99-µs")
	if n := failed.Load(); n > 0 {
		b.Errorf("%d of %d requests were not answered", n, b.N)
	}
}

// sendBenchRequest sends one request and reports whether it was answered with the
// echoed body.
func sendBenchRequest(client *fasthttp.Client, url string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.Header.Set(front.HeaderKey, benchSecret)
	req.Header.Set(endpointclient.HeaderRequestID, "r")
	req.Header.Set(endpointclient.HeaderAttempt, "1")
	req.SetBodyString("hold washer 7")
	return client.Do(req, resp) == nil && resp.StatusCode() == fasthttp.StatusOK && len(resp.Body()) == 13
}

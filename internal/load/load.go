// Package load sends requests to a running system at a given rate or concurrency
// and measures the outcomes and latencies.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Target is a service that a team sends requests to. Each request goes to a
// random target of the plan.
type Target struct {
	Team, Service, APIKey string
}

// Plan describes the load of one run.
type Plan struct {
	// EntryAddresses are the addresses "ip:port" of entry instances.
	EntryAddresses []string
	Targets        []Target
	// Concurrency is the number of callers. Each sends one request at a time.
	Concurrency int
	// Rate is the mean number of requests a second in an open loop. 0 means a
	// closed loop, in which each caller sends its next request after the answer
	// to the previous one.
	Rate float64
	// Duration is the time during which requests are sent. After that, Run waits
	// for the outstanding answers.
	Duration time.Duration
	// Deadline is the time that each request allows for its answer.
	Deadline time.Duration
	// BodyBytes is the size of a request's body, in bytes.
	BodyBytes int
	// Seed is the seed of the random choices of targets, entry instances and
	// arrival times.
	Seed uint64
}

// maxLatencyMicroseconds is the longest latency that the histograms record. It
// exceeds the longest deadline of a request.
const maxLatencyMicroseconds = int64(2 * time.Minute / time.Microsecond)

// TeamResult is the result of one team's requests.
type TeamResult struct {
	Team     string `json:"team"`
	Answered int64  `json:"answered"`
	NotRun   int64  `json:"not_run"`
	Unknown  int64  `json:"unknown"`
	// Failed counts the requests that failed without an answer, for example
	// because the connection was closed. Each of them may have run.
	Failed int64 `json:"broken"`
	// Throughput is the number of answered requests a second.
	Throughput float64 `json:"throughput"`
	// P50, P90, P99 and Max are latencies of answered requests, in milliseconds.
	// In an open loop, a latency includes the time that the request waited for a
	// free caller.
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	// FirstError is the error of the first failed request.
	FirstError string `json:"first_error,omitempty"`
}

// Result is the result of a run. The teams are in the order of the plan.
type Result struct {
	Seconds float64      `json:"seconds"`
	Teams   []TeamResult `json:"teams"`
}

// Run sends the planned requests until ctx is cancelled or the plan's duration
// has passed, and waits for their answers. When the callers cannot keep up with
// the rate, it returns an error together with the results.
func Run(ctx context.Context, p Plan) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	r := newRunner(p)
	start := time.Now()
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	pollCtx, stopPolling := context.WithCancel(groupCtx)
	defer stopPolling()
	r.balancer.poll()
	pollingDone := make(chan struct{})
	go func() {
		defer close(pollingDone)
		r.balancer.pollUntilDone(pollCtx)
	}()
	due := r.startArrivals(ctx, group)
	for i := range p.Concurrency {
		group.Go(func() error { return r.runCaller(ctx, uint64(i), due) })
	}
	err := group.Wait()
	stopPolling()
	<-pollingDone
	return r.result(time.Since(start)), err
}

type runner struct {
	plan     Plan
	client   *fasthttp.Client
	balancer *balancer
	mu       sync.Mutex
	teams    map[string]*teamRecord
	body     []byte
}

type teamRecord struct {
	result    TeamResult
	latencies *hdrhistogram.Histogram
}

func newRunner(p Plan) *runner {
	r := &runner{
		plan: p, teams: make(map[string]*teamRecord), body: make([]byte, p.BodyBytes),
		client: &fasthttp.Client{
			MaxConnsPerHost: p.Concurrency + 1,
			RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
	r.balancer = newBalancer(p.EntryAddresses, r.client)
	for _, t := range p.Targets {
		r.teams[t.Team] = &teamRecord{result: TeamResult{Team: t.Team}, latencies: hdrhistogram.New(1, maxLatencyMicroseconds, 3)}
	}
	for i := range r.body {
		r.body[i] = 'a' + byte(i%26)
	}
	return r
}

// startArrivals starts a goroutine that generates the due times of the requests
// of an open loop as a Poisson process and sends them to the returned channel. The
// goroutine closes the channel when ctx is done or when the backlog is full. For a
// closed loop, startArrivals returns nil.
func (r *runner) startArrivals(ctx context.Context, group *errgroup.Group) <-chan time.Time {
	if r.plan.Rate <= 0 {
		return nil
	}
	const maxBacklog = 1 << 16
	due := make(chan time.Time, maxBacklog)
	rng := rand.New(rand.NewPCG(r.plan.Seed, 0))
	group.Go(func() error {
		defer close(due)
		next := time.Now()
		for {
			next = next.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
			if !sleepUntil(ctx, next) {
				return nil
			}
			select {
			case due <- next:
			default:
				return fmt.Errorf("more than %d requests are waiting for a caller: the system cannot keep up with %.0f requests/s", maxBacklog, r.plan.Rate)
			}
		}
	})
	return due
}

// sleepUntil waits until at and returns false when ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runCaller sends requests one after the other until ctx is done. In an open
// loop it waits for the next due time before each, and ends when due is closed.
// n, the number of the caller, is part of the seed of its random choices.
func (r *runner) runCaller(ctx context.Context, n uint64, due <-chan time.Time) error {
	rng := rand.New(rand.NewPCG(r.plan.Seed, n+1))
	for ctx.Err() == nil {
		start := time.Now()
		if due != nil {
			var ok bool
			if start, ok = <-due; !ok {
				return nil
			}
		}
		r.sendRequest(rng, start)
	}
	return nil
}

// sendRequest sends one request to a random target and entry instance and
// records its outcome. The latency is measured from start.
func (r *runner) sendRequest(rng *rand.Rand, start time.Time) {
	target := r.plan.Targets[rng.IntN(len(r.plan.Targets))]
	entry := r.balancer.pick(rng.IntN(1 << 20))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + "/v1/work/" + target.Service)
	req.Header.Set(front.HeaderKey, target.APIKey)
	req.Header.Set(front.HeaderDeadline, fmt.Sprint(r.plan.Deadline.Milliseconds()))
	req.SetBodyRaw(r.body)
	const timeoutMargin = 5 * time.Second
	err := r.client.DoTimeout(req, resp, r.plan.Deadline+timeoutMargin)
	r.record(target.Team, string(resp.Header.Peek(front.HeaderOutcome)), time.Since(start), err)
}

func (r *runner) record(team, outcome string, latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.teams[team]
	switch {
	case err != nil:
		t.result.Failed++
		if t.result.FirstError == "" {
			t.result.FirstError = err.Error()
		}
	case outcome == string(traffic.Answered):
		t.result.Answered++
		_ = t.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicroseconds))
	case outcome == string(traffic.NotRun):
		t.result.NotRun++
	default:
		t.result.Unknown++
	}
}

func (r *runner) result(elapsed time.Duration) Result {
	report := Result{Seconds: elapsed.Seconds()}
	seen := make(map[string]bool)
	for _, target := range r.plan.Targets {
		if seen[target.Team] {
			continue
		}
		seen[target.Team] = true
		t := r.teams[target.Team]
		percentileMS := func(percentile float64) float64 { return float64(t.latencies.ValueAtPercentile(percentile)) / 1000 }
		t.result.Throughput = float64(t.result.Answered) / elapsed.Seconds()
		t.result.P50, t.result.P90, t.result.P99, t.result.Max = percentileMS(50), percentileMS(90), percentileMS(99), percentileMS(100)
		report.Teams = append(report.Teams, t.result)
	}
	return report
}

// Package load offers requests to a running system and measures the outcomes.
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

// Target is one team's share of the offered load.
type Target struct {
	Team, Service, Key string
}

// Plan is what to offer.
type Plan struct {
	// Entries are the addresses "ip:port" of entry instances.
	Entries []string
	Targets []Target
	// Concurrency is the number of callers.
	Concurrency int
	// Rate is the number of requests a second of an open loop, 0 for a closed
	// loop in which each caller sends its next request after the last answer.
	Rate float64
	// Duration bounds the time in which requests start.
	Duration time.Duration
	// Deadline is what each request asks for.
	Deadline time.Duration
	// Size is the length of a body in bytes.
	Size int
	// Seed decides the order of targets and entries and the arrival times.
	Seed uint64
}

// latencyMax is the longest latency of the histograms, in microseconds. It
// exceeds the longest deadline.
const latencyMax = int64(2 * time.Minute / time.Microsecond)

// TeamResult are the outcomes of one team.
type TeamResult struct {
	Team     string `json:"team"`
	Answered int64  `json:"answered"`
	NotRun   int64  `json:"not_run"`
	Unknown  int64  `json:"unknown"`
	// Broken counts calls whose connection ended without an outcome. Each may
	// have run.
	Broken int64 `json:"broken"`
	// Throughput is answered requests a second.
	Throughput float64 `json:"throughput"`
	// Latencies are of answered requests, in milliseconds. In an open loop they
	// count from when the request was due.
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	// FirstError is the first broken call's error.
	FirstError string `json:"first_error,omitempty"`
}

// Result is the outcome of a run.
type Result struct {
	Seconds float64      `json:"seconds"`
	Teams   []TeamResult `json:"teams"`
}

// Run offers the planned load until ctx ends or the duration has passed.
func Run(ctx context.Context, p Plan) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	r := newRunner(p)
	began := time.Now()
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	watchCtx, stopWatch := context.WithCancel(groupCtx)
	defer stopWatch()
	r.balancer.poll()
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		r.balancer.watch(watchCtx)
	}()
	work := r.arrivals(ctx, group)
	for i := range p.Concurrency {
		group.Go(func() error { return r.caller(ctx, uint64(i), work) })
	}
	err := group.Wait()
	stopWatch()
	<-watching
	return r.result(time.Since(began)), err
}

type runner struct {
	plan     Plan
	client   *fasthttp.Client
	balancer *balancer
	mu       sync.Mutex
	teams    map[string]*teamTally
	body     []byte
}

type teamTally struct {
	result  TeamResult
	latency *hdrhistogram.Histogram
}

func newRunner(p Plan) *runner {
	r := &runner{
		plan: p, teams: make(map[string]*teamTally), body: make([]byte, p.Size),
		client: &fasthttp.Client{
			MaxConnsPerHost: p.Concurrency + 1,
			RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
	r.balancer = newBalancer(p.Entries, r.client)
	for _, t := range p.Targets {
		r.teams[t.Team] = &teamTally{result: TeamResult{Team: t.Team}, latency: hdrhistogram.New(1, latencyMax, 3)}
	}
	for i := range r.body {
		r.body[i] = 'a' + byte(i%26)
	}
	return r
}

// arrivals returns the due times of an open loop, nil for a closed loop.
// Arrivals are a Poisson process.
func (r *runner) arrivals(ctx context.Context, group *errgroup.Group) <-chan time.Time {
	if r.plan.Rate <= 0 {
		return nil
	}
	const backlog = 1 << 16
	due := make(chan time.Time, backlog)
	random := rand.New(rand.NewPCG(r.plan.Seed, 0))
	group.Go(func() error {
		defer close(due)
		next := time.Now()
		for {
			next = next.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
			if !sleepUntil(ctx, next) {
				return nil
			}
			select {
			case due <- next:
			default:
				return fmt.Errorf("more than %d requests are waiting for a caller: the system does not keep up with %.0f/s", backlog, r.plan.Rate)
			}
		}
	})
	return due
}

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

// caller sends requests one after the other.
func (r *runner) caller(ctx context.Context, n uint64, due <-chan time.Time) error {
	random := rand.New(rand.NewPCG(r.plan.Seed, n+1))
	for ctx.Err() == nil {
		start := time.Now()
		if due != nil {
			var ok bool
			if start, ok = <-due; !ok {
				return nil
			}
		}
		r.call(random, start)
	}
	return nil
}

func (r *runner) call(random *rand.Rand, start time.Time) {
	target := r.plan.Targets[random.IntN(len(r.plan.Targets))]
	entry := r.balancer.pick(random.IntN(1 << 20))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + "/v1/work/" + target.Service)
	req.Header.Set(front.HeaderKey, target.Key)
	req.Header.Set(front.HeaderDeadline, fmt.Sprint(r.plan.Deadline.Milliseconds()))
	req.SetBodyRaw(r.body)
	const grace = 5 * time.Second
	err := r.client.DoTimeout(req, resp, r.plan.Deadline+grace)
	r.tally(target.Team, string(resp.Header.Peek(front.HeaderOutcome)), time.Since(start), err)
}

func (r *runner) tally(team, outcome string, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.teams[team]
	switch {
	case err != nil:
		t.result.Broken++
		if t.result.FirstError == "" {
			t.result.FirstError = err.Error()
		}
	case outcome == string(traffic.Answered):
		t.result.Answered++
		_ = t.latency.RecordValue(min(took.Microseconds(), latencyMax))
	case outcome == string(traffic.NotRun):
		t.result.NotRun++
	default:
		t.result.Unknown++
	}
}

func (r *runner) result(took time.Duration) Result {
	out := Result{Seconds: took.Seconds()}
	seen := make(map[string]bool)
	for _, target := range r.plan.Targets {
		if seen[target.Team] {
			continue
		}
		seen[target.Team] = true
		t := r.teams[target.Team]
		ms := func(percentile float64) float64 { return float64(t.latency.ValueAtPercentile(percentile)) / 1000 }
		t.result.Throughput = float64(t.result.Answered) / took.Seconds()
		t.result.P50, t.result.P90, t.result.P99, t.result.Max = ms(50), ms(90), ms(99), ms(100)
		out.Teams = append(out.Teams, t.result)
	}
	return out
}

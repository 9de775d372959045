package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// benchSize is the size of a simulated fleet. The last of benchSizes is the
// target size.
type benchSize struct{ instances, teams int }

var benchSizes = []benchSize{{8, 6}, {16, 40}, {40, 140}}

func (s benchSize) String() string { return fmt.Sprintf("instances=%d/teams=%d", s.instances, s.teams) }

// Upper limit, in slots, and load of one simulated team; see section 1.3 of the
// design page.
const (
	benchLimitSlots   = 150
	benchMeanSlots    = 20
	benchPeakSlots    = 5 * benchMeanSlots
	benchOffPeakSlots = benchMeanSlots / 20
	peakSeconds       = 5
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// benchConfig returns a configuration with one service for each team.
func benchConfig(teams int, now time.Time) fleet.ConfigLoaded {
	var objects []contract.Object
	for i := range teams {
		name := teamName(i)
		revision := uint64(len(objects) + 1)
		objects = append(objects,
			contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: name}, Revision: revision, Team: &contract.Team{Name: name, UpperLimit: benchLimitSlots, Share: 1}},
			contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: name}, Revision: revision + 1, Document: &contract.Document{Service: name, Team: name, Pool: "p"}},
		)
	}
	head := contract.Head{Revision: uint64(len(objects)), Flushed: uint64(len(objects))}
	return fleet.ConfigLoaded{Before: head, After: head, Objects: objects, SentAt: now}
}

func benchFleet(instance int, now time.Time) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Self:             link.Member{ID: fmt.Sprintf("entry-%02d", instance), Incarnation: uint64(now.UnixNano()), DataCentre: "north"},
		DataCentres:      map[string]string{"north": "west"},
		FreshnessHorizon: 1000 * time.Hour,
	})
}

// limitActionsOnly performs the actions on limits and drops all others.
type limitActionsOnly struct{ limits *control.LimitRunner }

func (r limitActionsOnly) Run(ctx context.Context, a fleet.Action) fleet.Event {
	e, _ := r.limits.Run(ctx, a)
	return e
}

// startBenchLoop starts a control thread and waits until it admits requests of
// all teams. With lockOSThread the control thread has an OS thread of its own.
func startBenchLoop(b *testing.B, teams int, lockOSThread bool) *control.Loop {
	b.Helper()
	store := standin.NewStore(time.Now)
	loop := control.NewLoop(benchFleet(0, time.Now()), limitActionsOnly{control.NewLimitRunner(store, discardLog(), time.Now)}, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if lockOSThread {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
		}
		_ = loop.Run(ctx)
	}()
	b.Cleanup(func() { cancel(); <-stopped })
	if err := loop.Send(ctx, benchConfig(teams, time.Now())); err != nil {
		b.Fatal(err)
	}
	for i := range teams {
		for !admitOnce(loop, teamName(i)) {
			time.Sleep(time.Millisecond)
		}
	}
	return loop
}

// admitOnce admits and releases one request. It returns false when the request
// was refused.
func admitOnce(loop *control.Loop, team string) bool {
	ctx := context.Background()
	reply := make(chan fleet.Admission, 1)
	e := fleet.Admit{RequestID: "r", Team: team, Service: team, Deadline: time.Now().Add(10 * time.Second), Reply: reply}
	if err := loop.SendTraffic(ctx, e); err != nil {
		return false
	}
	if (<-reply).Refusal != nil {
		return false
	}
	return loop.SendTraffic(ctx, fleet.Release{Team: team, Service: team}) == nil
}

// BenchmarkAdmission measures one admission with its release through the
// control thread, from parallel traffic goroutines.
func BenchmarkAdmission(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) { benchAdmission(b, size.teams, false, true) })
	}
}

// BenchmarkLoop compares the control thread with and without an OS thread of
// its own, for one caller at a time and for parallel ones.
func BenchmarkLoop(b *testing.B) {
	for _, lockOSThread := range []bool{false, true} {
		for _, parallel := range []bool{false, true} {
			for _, size := range benchSizes {
				name := fmt.Sprintf("locked=%t/parallel=%t/teams=%d", lockOSThread, parallel, size.teams)
				b.Run(name, func(b *testing.B) { benchAdmission(b, size.teams, lockOSThread, parallel) })
			}
		}
	}
}

func benchAdmission(b *testing.B, teams int, lockOSThread, parallel bool) {
	loop := startBenchLoop(b, teams, lockOSThread)
	b.ReportAllocs()
	b.ResetTimer()
	if !parallel {
		for i := 0; b.Loop(); i++ {
			if !admitOnce(loop, teamName(i%teams)) {
				b.Fatal("refused")
			}
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for i := rand.IntN(teams); pb.Next(); i++ {
			admitOnce(loop, teamName(i%teams))
		}
	})
}

// fillRecords adds an entry of every instance to the record of every team.
func fillRecords(b *testing.B, runner *control.LimitRunner, size benchSize) {
	b.Helper()
	for t := range size.teams {
		for i := range size.instances {
			swapOnce(b, runner, t, benchHolder(i), 1, 2)
		}
	}
}

func benchHolder(i int) contract.Holder {
	return contract.Holder{Instance: fmt.Sprintf("entry-%02d", i), Incarnation: uint64(time.Unix(1_800_000_000, 0).UnixNano())}
}

func swapOnce(b *testing.B, runner *control.LimitRunner, team int, h contract.Holder, sequence uint64, want int) {
	e, _ := runner.Run(context.Background(), fleet.SwapAllotment{
		Limit: contract.Ref{Kind: contract.KindTeam, Name: teamName(team)},
		Request: contract.SwapRequest{
			Purpose: contract.SwapRaise, Holder: h, Limit: contract.Limit{Slots: 1_000_000, Revision: 1}, Sequence: sequence, Want: want,
		},
	})
	if _, ok := e.(fleet.AllotmentSwapped); !ok {
		b.Fatalf("got %T", e)
	}
}

// BenchmarkSwap measures one swap, without contention, of a record with entries
// of all instances.
func BenchmarkSwap(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) {
			store := standin.NewStore(time.Now)
			runner := control.NewLimitRunner(store, discardLog(), time.Now)
			fillRecords(b, runner, benchSize{size.instances, 1})
			record, err := store.Get(context.Background(), control.AllotmentKey(contract.Ref{Kind: contract.KindTeam, Name: teamName(0)}))
			if err != nil {
				b.Fatal(err)
			}
			before := store.Calls()
			n := 0
			for b.Loop() {
				n++
				swapOnce(b, runner, 0, benchHolder(n%size.instances), uint64(n+1), n+2)
			}
			after := store.Calls()
			b.ReportMetric(float64(after.Reads+after.Writes-before.Reads-before.Writes)/float64(n), "calls/op")
			b.ReportMetric(float64(len(record.Value)), "record-bytes")
		})
	}
}

// BenchmarkSwapContended measures concurrent swaps of one record by all
// instances.
func BenchmarkSwapContended(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) {
			store := standin.NewStore(time.Now)
			runner := control.NewLimitRunner(store, discardLog(), time.Now)
			before := store.Calls()
			n := 0
			for b.Loop() {
				n++
				done := make(chan fleet.Event, size.instances)
				for i := range size.instances {
					go func() {
						e, _ := runner.Run(context.Background(), fleet.SwapAllotment{
							Limit: contract.Ref{Kind: contract.KindTeam, Name: teamName(0)},
							Request: contract.SwapRequest{
								Purpose: contract.SwapRaise, Holder: benchHolder(i), Limit: contract.Limit{Slots: 1_000_000, Revision: 1},
								Sequence: uint64(n), Want: n,
							},
						})
						done <- e
					}()
				}
				failed := 0
				for range size.instances {
					if _, ok := (<-done).(fleet.AllotmentSwapped); !ok {
						failed++
					}
				}
				b.ReportMetric(float64(failed), "failed-last-round")
			}
			after := store.Calls()
			swaps := float64(n * size.instances)
			b.ReportMetric(float64(after.Reads-before.Reads)/swaps, "reads/swap")
			b.ReportMetric(float64(after.Writes-before.Writes)/swaps, "writes/swap")
		})
	}
}

// BenchmarkReclaim measures the reclaim of the slots of one expired holder from
// the records of all teams.
func BenchmarkReclaim(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) {
			store := standin.NewStore(time.Now)
			runner := control.NewLimitRunner(store, discardLog(), time.Now)
			fillRecords(b, runner, size)
			records, err := store.List(context.Background(), control.AllotmentPrefix)
			if err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for _, r := range records {
				bytes += len(r.Value)
			}
			var calls int64
			n := 0
			for b.Loop() {
				n++
				before := store.Calls()
				e, _ := runner.Run(context.Background(), fleet.ReclaimSlots{Expired: []contract.Holder{benchHolder(0)}})
				after := store.Calls()
				calls += after.Reads + after.Writes - before.Reads - before.Writes
				if freed := e.(fleet.SlotsReclaimed).Freed; freed == 0 {
					b.Fatal("reclaim freed no slots")
				}
				b.StopTimer()
				for t := range size.teams {
					swapOnce(b, runner, t, benchHolder(0), uint64(n+1), 2)
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(calls)/float64(n), "calls/op")
			b.ReportMetric(float64(bytes), "listed-bytes")
		})
	}
}

// simulatedFleet is a fleet of entry instances in one process that share a
// simulated clock.
type simulatedFleet struct {
	size    benchSize
	store   *standin.Store
	now     time.Time
	fleets  []*fleet.Fleet
	running [][]int
	runner  *control.LimitRunner
	// bytes is the total size of the values that were read and written.
	bytes    int
	loans    int
	refused  int
	admitted int
	byID     map[string]*fleet.Fleet
}

// byteCounter sums the sizes of the values that are read and written.
type byteCounter struct {
	platform.Store
	bytes *int
}

// Get implements platform.Store.
func (c *byteCounter) Get(ctx context.Context, key string) (platform.Record, error) {
	r, err := c.Store.Get(ctx, key)
	*c.bytes += len(r.Value)
	return r, err
}

// List implements platform.Store.
func (c *byteCounter) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	list, err := c.Store.List(ctx, prefix)
	for _, r := range list {
		*c.bytes += len(r.Value)
	}
	return list, err
}

// Swap implements platform.Store.
func (c *byteCounter) Swap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	*c.bytes += len(value)
	return c.Store.Swap(ctx, key, expect, value, lease)
}

func newSimulatedFleet(size benchSize) *simulatedFleet {
	s := &simulatedFleet{size: size, now: time.Unix(1_800_000_000, 0), byID: make(map[string]*fleet.Fleet)}
	clock := func() time.Time { return s.now }
	s.store = standin.NewStore(clock)
	s.runner = control.NewLimitRunner(&byteCounter{Store: s.store, bytes: &s.bytes}, discardLog(), clock)
	s.runner.Sleep = func(context.Context, time.Duration) bool { return true }
	for i := range size.instances {
		f := benchFleet(i, s.now)
		s.fleets = append(s.fleets, f)
		s.running = append(s.running, make([]int, size.teams))
		s.byID[fmt.Sprintf("entry-%02d", i)] = f
		s.perform(f, f.Start(s.now))
		s.perform(f, benchConfig(size.teams, s.now).Apply(f, s.now))
	}
	return s
}

// perform runs actions, and those that follow from their results, until none is
// left.
func (s *simulatedFleet) perform(f *fleet.Fleet, actions []fleet.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if e := s.run(f, a); e != nil {
			actions = append(actions, e.Apply(f, s.now)...)
		}
	}
}

func (s *simulatedFleet) run(f *fleet.Fleet, a fleet.Action) fleet.Event {
	switch a := a.(type) {
	case fleet.RequestLoan:
		s.loans++
		lender := s.byID[a.To.ID]
		reply := make(chan contract.LoanReply, 1)
		s.perform(lender, fleet.LoanRequested{From: link.Member{ID: "taker"}, Limit: a.Limit, Slots: a.Slots, ID: a.ID, Reply: reply}.Apply(lender, s.now))
		answer := <-reply
		if answer.Slots == 0 {
			return fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID}
		}
		return fleet.LoanGranted{From: a.To, Limit: a.Limit, ID: a.ID, Reply: answer, SentAt: s.now}
	case fleet.ReturnLoan:
		lender := s.byID[a.To.ID]
		s.perform(lender, fleet.LoanReturned{Limit: a.Limit, ID: a.ID}.Apply(lender, s.now))
		return nil
	}
	e, _ := s.runner.Run(context.Background(), a)
	return e
}

// advanceSecond advances the clock by one second and adjusts the load of each
// instance. demand returns the demand of a team, in slots, across the fleet.
func (s *simulatedFleet) advanceSecond(demand func(team int) int, random *rand.Rand) {
	s.now = s.now.Add(time.Second)
	for i, f := range s.fleets {
		if at := f.NextTick(); !at.IsZero() && !s.now.Before(at) {
			s.perform(f, f.Tick(s.now))
		}
		for t := range s.size.teams {
			// A fraction of a slot is rounded up with the probability of its size.
			share := float64(demand(t)) / float64(s.size.instances)
			want := int(share + random.Float64())
			s.adjustLoad(i, f, t, want)
		}
	}
}

// adjustLoad admits or releases requests of a team at instance i until want are
// running or one is refused.
func (s *simulatedFleet) adjustLoad(i int, f *fleet.Fleet, team, want int) {
	name := teamName(team)
	for ; s.running[i][team] > want; s.running[i][team]-- {
		s.perform(f, fleet.Release{Team: name, Service: name}.Apply(f, s.now))
	}
	for n := want - s.running[i][team]; n > 0; n-- {
		reply := make(chan fleet.Admission, 1)
		e := fleet.Admit{RequestID: "r", Team: name, Service: name, Deadline: s.now.Add(time.Second), Reply: reply}
		s.perform(f, e.Apply(f, s.now))
		if (<-reply).Refusal != nil {
			s.refused++
			return
		}
		s.admitted++
		s.running[i][team]++
	}
}

// BenchmarkBursts counts the platform calls while the load of one team after
// another peaks at five times its mean. One iteration simulates 5 minutes after
// 2 minutes of warm-up; a figure per day is the count times 288.
func BenchmarkBursts(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) {
			const seconds = 5 * 60
			for b.Loop() {
				s := newSimulatedFleet(size)
				random := rand.New(rand.NewPCG(1, 2))
				s.runSeconds(2*60, random)
				before := s.store.Calls()
				s.loans, s.refused, s.admitted, s.bytes = 0, 0, 0, 0
				s.runSeconds(seconds, random)
				after := s.store.Calls()
				const perDay = 24 * 60 * 60 / seconds
				b.ReportMetric(float64(after.Reads-before.Reads)*perDay, "reads/day")
				b.ReportMetric(float64(after.Writes-before.Writes)*perDay, "writes/day")
				b.ReportMetric(float64(after.Reads+after.Writes-before.Reads-before.Writes)/seconds, "calls/s")
				b.ReportMetric(float64(s.bytes)/seconds/float64(size.instances), "bytes/s/node")
				b.ReportMetric(float64(s.loans)*perDay, "loans/day")
				b.ReportMetric(float64(s.refused)/float64(max(1, s.refused+s.admitted)), "refused-share")
			}
		})
	}
}

// runSeconds simulates n seconds. The teams are at their peak one after
// another, each for peakSeconds.
func (s *simulatedFleet) runSeconds(n int, random *rand.Rand) {
	for i := range n {
		peaking := i / peakSeconds % s.size.teams
		s.advanceSecond(func(team int) int {
			if team == peaking {
				return benchPeakSlots
			}
			return benchOffPeakSlots
		}, random)
	}
}

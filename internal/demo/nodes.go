package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// Sizes of the demo of nodes.
const (
	siteWorkers = 4
	taskTime    = 40 * time.Millisecond
	waveTime    = 15 * time.Second
)

// siteFleet is a site of stand-ins with one node in each data centre.
type siteFleet struct {
	site   *site.Site
	caller site.Caller
	nodes  map[string]*siteNode
	// jobs counts the jobs handed in.
	jobs int
}

// siteNode is one running node.
type siteNode struct {
	front, ready string
	stop         context.CancelFunc
	done         chan error
}

// siteStep is one task of an operator or caller with the claim that it checks.
type siteStep struct {
	name string
	run  func(ctx context.Context, f *siteFleet) (string, error)
}

func siteSteps() []siteStep {
	return []siteStep{
		{"hand in a job of two steps in each data centre", completeJobs},
		{"hand one job in twice", repeatJob},
		{"withdraw the key and grant another", exchangeKey},
		{"take data centre north out and bring it back", emptyCentre},
		{"upkeep of all machines, one at a time", upkeepWave},
		{"stop the node in north while a job runs", stopNode},
	}
}

// RunNodes performs all steps on nodes of the users' platform against the
// stand-ins and writes one table row for each to out. Logs of the nodes go to
// logs. It returns ErrStepFailed when a claim did not hold.
func RunNodes(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startSite(ctx, logs)
	if err != nil {
		return err
	}
	table := newTable(out)
	for _, s := range siteSteps() {
		table.step(s.name, func() (string, error) { return s.run(ctx, f) })
	}
	err = table.end()
	cancel()
	var group errgroup.Group
	for _, n := range f.nodes {
		group.Go(func() error { return <-n.done })
	}
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func startSite(ctx context.Context, logs io.Writer) (*siteFleet, error) {
	queue := site.Queue{Name: service, Host: "deposits.example", Prefix: "/deposits/", Service: service, Attempts: 3}
	s, err := site.Start(ctx, site.Options{
		Queues: []site.Queue{queue}, Teams: []site.Team{{Name: team, Keys: []string{secret}, CPU: 20000}},
		Workers: map[string]int{service: siteWorkers, "reserve": 1}, SparePool: "reserve",
		Zones: []string{centreNorth, centreSouth}, CPU: 8000, MemoryMB: 16000,
		Work: func(string, string, int) (time.Duration, site.Outcome) { return taskTime, site.Done },
	})
	if err != nil {
		return nil, err
	}
	f := &siteFleet{site: s, caller: site.Caller{Queue: queue, Key: secret}, nodes: make(map[string]*siteNode)}
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := f.startNode(ctx, centre, logs); err != nil {
			return nil, err
		}
	}
	return f, eventually(ctx, func() error {
		for centre, n := range f.nodes {
			if !site.Ready(n.ready) {
				return errors.Errorf("the node in %s is not ready", centre)
			}
		}
		return nil
	})
}

func (f *siteFleet) startNode(ctx context.Context, centre string, logs io.Writer) error {
	front, err := site.FreeAddress()
	if err != nil {
		return err
	}
	ready, err := site.FreeAddress()
	if err != nil {
		return err
	}
	ports, err := site.FreePorts(site.NodePorts)
	if err != nil {
		return err
	}
	file := f.site.Settings("edge-"+centre, centre, front, ready, ports)
	nodeCtx, stop := context.WithCancel(ctx)
	n := &siteNode{front: front, ready: ready, stop: stop, done: make(chan error, 1)}
	f.nodes[centre] = n
	go func() { n.done <- node.RunSettings(nodeCtx, file, nil, logs) }()
	return nil
}

// submit hands a job of two steps in and returns its id.
func (f *siteFleet) submit(centre string) (string, error) {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	return id, f.submitAs(centre, id, fasthttp.StatusOK)
}

func (f *siteFleet) submitAs(centre, id string, want int) error {
	task := site.Step{Count: 2, MilliCores: 1000, MemoryMB: 100, Estimate: taskTime}
	after := task
	after.Count, after.After = 1, []int{0}
	status, err := f.caller.Submit(f.nodes[centre].front, id, "settle "+id, task, after)
	if err != nil {
		return err
	}
	if status != want {
		return errors.Errorf("status %d at the node in %s", status, centre)
	}
	return nil
}

// wideTasks of one core each need more than the 16 cores of one data centre.
const wideTasks = 20

// submitWide hands a job in that both data centres are needed for at a time.
func (f *siteFleet) submitWide(centre string) (string, error) {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	status, err := f.caller.Submit(f.nodes[centre].front, id, "settle "+id, site.Step{Count: wideTasks, MilliCores: 1000, MemoryMB: 100, Estimate: taskTime})
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d at the node in %s", status, centre)
	}
	return id, err
}

// awaitCompleted waits until a node shows a job as completed.
func (f *siteFleet) awaitCompleted(ctx context.Context, centre, id string) error {
	return eventually(ctx, func() error {
		state, err := f.caller.State(f.nodes[centre].front, id)
		if err != nil {
			return err
		}
		if state != "completed" {
			return errors.Errorf("job %s is %q", id, state)
		}
		return nil
	})
}

// runsOf returns the runs of a job.
func (f *siteFleet) runsOf(id string) []site.RunRecord {
	var runs []site.RunRecord
	for _, r := range f.site.Runs() {
		if r.Payload == "settle "+id {
			runs = append(runs, r)
		}
	}
	return runs
}

func completeJobs(ctx context.Context, f *siteFleet) (string, error) {
	for from, to := range map[string]string{centreNorth: centreSouth, centreSouth: centreNorth} {
		id, err := f.submit(from)
		if err != nil {
			return "", err
		}
		if err := f.awaitCompleted(ctx, to, id); err != nil {
			return "", err
		}
		if n := len(f.runsOf(id)); n != 3 {
			return "", errors.Errorf("%d runs of 3 tasks", n)
		}
	}
	return "accepted in one data centre, shown as completed in the other; 3 runs each", nil
}

func repeatJob(ctx context.Context, f *siteFleet) (string, error) {
	id, err := f.submit(centreNorth)
	if err != nil {
		return "", err
	}
	if err := f.submitAs(centreSouth, id, fasthttp.StatusOK); err != nil {
		return "", err
	}
	if err := f.awaitCompleted(ctx, centreNorth, id); err != nil {
		return "", err
	}
	if n := len(f.runsOf(id)); n != 3 {
		return "", errors.Errorf("%d runs of 3 tasks", n)
	}
	return "both callers got 200, the tasks ran once", nil
}

func exchangeKey(ctx context.Context, f *siteFleet) (string, error) {
	const next = "next-secret"
	f.site.Configure([]site.Queue{f.caller.Queue}, []site.Team{{Name: team, Keys: []string{next}, CPU: 20000}})
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	for _, centre := range []string{centreNorth, centreSouth} {
		if err := eventually(ctx, func() error { return f.submitAs(centre, id, fasthttp.StatusUnauthorized) }); err != nil {
			return "", err
		}
	}
	f.caller.Key = next
	if err := f.submitAs(centreNorth, id, fasthttp.StatusOK); err != nil {
		return "", err
	}
	return "both data centres refuse the old key and take the new one", f.awaitCompleted(ctx, centreSouth, id)
}

func emptyCentre(ctx context.Context, f *siteFleet) (string, error) {
	f.site.TakeOut(centreNorth)
	err := eventually(ctx, func() error {
		id, err := f.submitWide(centreNorth)
		if err != nil {
			return err
		}
		if err := f.awaitCompleted(ctx, centreNorth, id); err != nil {
			return err
		}
		return f.startedIn(id, centreNorth, false)
	})
	if err != nil {
		return "", err
	}
	f.site.BringBack(centreNorth)
	err = eventually(ctx, func() error {
		id, err := f.submitWide(centreSouth)
		if err != nil {
			return err
		}
		if err := f.awaitCompleted(ctx, centreSouth, id); err != nil {
			return err
		}
		return f.startedIn(id, centreNorth, true)
	})
	return "no task starts in north, then tasks start there again", err
}

// startedIn reports an error unless tasks of a job ran in a data centre, or none
// did.
func (f *siteFleet) startedIn(id, centre string, want bool) error {
	there := make(map[string]bool)
	for _, w := range f.site.Workers() {
		there[w.ID] = w.Zone == centre
	}
	ran := false
	for _, r := range f.runsOf(id) {
		ran = ran || there[r.Worker]
	}
	if ran != want {
		return errors.Errorf("job %s ran in %s: %v", id, centre, ran)
	}
	return nil
}

func upkeepWave(ctx context.Context, f *siteFleet) (string, error) {
	const number = 1
	var names []string
	for i := range siteWorkers {
		names = append(names, fmt.Sprintf("m-%d", i))
	}
	f.site.OrderWave(number, names, waveTime, 1)
	limited, cancel := context.WithTimeout(ctx, waveTime)
	defer cancel()
	for !f.site.WaveCompleted(number) {
		select {
		case <-limited.Done():
			return "", errors.New("the wave is not complete")
		case <-time.After(stepPause):
		}
	}
	done := make(map[string]bool)
	for _, d := range f.site.Machines.Duties() {
		if d.Wave == number && d.Down > 0 {
			return "", errors.Errorf("upkeep of %s began while %d machines were down", d.Machine, d.Down)
		}
		done[d.Machine] = done[d.Machine] || d.Wave == number
	}
	for _, name := range names {
		if !done[name] {
			return "", errors.Errorf("no upkeep of %s", name)
		}
	}
	return fmt.Sprintf("%d machines, never two down", len(names)), nil
}

func stopNode(ctx context.Context, f *siteFleet) (string, error) {
	id, err := f.submit(centreNorth)
	if err != nil {
		return "", err
	}
	f.nodes[centreNorth].stop()
	if err := f.awaitCompleted(ctx, centreSouth, id); err != nil {
		return "", err
	}
	next, err := f.submit(centreSouth)
	if err != nil {
		return "", err
	}
	return "its job and a new one complete in south", f.awaitCompleted(ctx, centreSouth, next)
}
